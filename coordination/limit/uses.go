package limit

import (
	"slices"
	"time"
)

// activeUses counts the units in use, grouped by the end of their use. Ends
// are rounded up to whole steps to keep the list short.
type activeUses struct {
	step  time.Duration
	list  []activeUse
	total int
}

type activeUse struct {
	end   time.Time
	units int
}

func (u *activeUses) roundUp(end time.Time) time.Time {
	rounded := end.Truncate(u.step)
	if rounded.Before(end) {
		rounded = rounded.Add(u.step)
	}
	return rounded
}

func (u *activeUses) find(end time.Time) (int, bool) {
	return slices.BinarySearchFunc(u.list, end, func(a activeUse, end time.Time) int { return a.end.Compare(end) })
}

func (u *activeUses) add(end time.Time, units int) {
	end = u.roundUp(end)
	u.total += units
	i, found := u.find(end)
	if !found {
		u.list = slices.Insert(u.list, i, activeUse{end: end})
	}
	u.list[i].units += units
}

func (u *activeUses) remove(end time.Time, units int) {
	i, found := u.find(u.roundUp(end))
	if !found {
		return
	}
	u.total -= units
	u.list[i].units -= units
	if u.list[i].units == 0 {
		u.list = slices.Delete(u.list, i, i+1)
	}
}

// expire removes the uses that have ended.
func (u *activeUses) expire(now time.Time) {
	ended := 0
	for _, use := range u.list {
		if use.end.After(now) {
			break
		}
		u.total -= use.units
		ended++
	}
	u.list = slices.Delete(u.list, 0, ended)
}

// latest returns the end of the last use.
func (u *activeUses) latest() time.Time {
	if len(u.list) == 0 {
		return time.Time{}
	}
	return u.list[len(u.list)-1].end
}
