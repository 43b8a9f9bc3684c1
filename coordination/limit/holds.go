package limit

import (
	"slices"
	"time"
)

// holds counts the units in use by when their use ends. Ends are rounded up
// to whole steps, so that the list stays short.
type holds struct {
	step  time.Duration
	list  []hold
	total int
}

type hold struct {
	end   time.Time
	units int
}

func (h *holds) round(end time.Time) time.Time {
	rounded := end.Truncate(h.step)
	if rounded.Before(end) {
		rounded = rounded.Add(h.step)
	}
	return rounded
}

func (h *holds) find(end time.Time) (int, bool) {
	return slices.BinarySearchFunc(h.list, end, func(a hold, end time.Time) int { return a.end.Compare(end) })
}

func (h *holds) add(end time.Time, units int) {
	end = h.round(end)
	h.total += units
	i, found := h.find(end)
	if !found {
		h.list = slices.Insert(h.list, i, hold{end: end})
	}
	h.list[i].units += units
}

func (h *holds) remove(end time.Time, units int) {
	i, found := h.find(h.round(end))
	if !found {
		return
	}
	h.total -= units
	h.list[i].units -= units
	if h.list[i].units == 0 {
		h.list = slices.Delete(h.list, i, i+1)
	}
}

// expire forgets what has ended.
func (h *holds) expire(now time.Time) {
	ended := 0
	for _, each := range h.list {
		if each.end.After(now) {
			break
		}
		h.total -= each.units
		ended++
	}
	h.list = slices.Delete(h.list, 0, ended)
}

// latest returns when the last use ends.
func (h *holds) latest() time.Time {
	if len(h.list) == 0 {
		return time.Time{}
	}
	return h.list[len(h.list)-1].end
}
