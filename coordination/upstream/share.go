package upstream

import (
	"time"
)

const (
	// shareRate is how much of a region's objects may change their region in
	// a second. The users' bound is 0.15 in two seconds.
	shareRate = 0.05
	// fullMark is the part of a region's slots in use above which objects are
	// given to regions that are less full.
	fullMark = 0.9
	// fullerBy is how much fuller than the others the region must be.
	fullerBy = 0.15
	// sharePeriod is how often the part is adjusted.
	sharePeriod = 250 * time.Millisecond
)

// localShare is the part of a service's objects that belongs to the daemon's
// own region.
type localShare struct {
	value float64
	at    time.Time
}

// part returns the part of the objects that belongs to the own region. It
// moves slowly to where all regions would be equally full if each got the
// same traffic, and on while the region is fuller than the others.
func (l *localShare) part(s *Set, v *service, now time.Time) float64 {
	if l.at.IsZero() {
		l.value, l.at = evenShare(s, v), now
		return l.value
	}
	elapsed := now.Sub(l.at)
	if elapsed < sharePeriod {
		return l.value
	}
	l.at = now
	step := shareRate * min(elapsed, time.Second).Seconds()
	own, others := use(s, v, now)
	target := evenShare(s, v)
	switch {
	case own > fullMark && own > others+fullerBy:
		l.value = max(0, l.value-step)
	case l.value < target:
		l.value = min(target, l.value+step)
	default:
		l.value = max(target, l.value-step)
	}
	return l.value
}

// slotsByRegion returns the slots of a service's servers that take requests.
func slotsByRegion(s *Set, v *service) (byRegion map[string]int, total int) {
	byRegion = map[string]int{}
	for _, srv := range v.servers {
		if srv.Draining || srv.misdirected || s.evacuated[srv.Zone] {
			continue
		}
		byRegion[srv.region] += srv.slots()
		total += srv.slots()
	}
	return byRegion, total
}

// evenShare returns the part that the region's slots can take of its traffic
// if every region gets the same.
func evenShare(s *Set, v *service) float64 {
	byRegion, total := slotsByRegion(s, v)
	if total == 0 {
		return 1
	}
	return min(1, float64(byRegion[s.place.Region]*s.regionCount)/float64(total))
}

// spare returns for each region the slots beyond those that its own traffic
// needs if every region gets the same.
func spare(s *Set, v *service) map[string]int {
	byRegion, total := slotsByRegion(s, v)
	for region, slots := range byRegion {
		byRegion[region] = max(0, slots-total/max(1, s.regionCount))
	}
	return byRegion
}

// use returns the parts of the slots that are in use in the daemon's region
// and in the others.
func use(s *Set, v *service, now time.Time) (own, others float64) {
	var held, slots [2]int
	for _, srv := range v.servers {
		if !s.usable(srv, Request{}, now) {
			continue
		}
		i := 0
		if srv.region != s.place.Region {
			i = 1
		}
		held[i] += srv.estimate(now)
		slots[i] += srv.slots()
	}
	return ratio(held[0], slots[0]), ratio(held[1], slots[1])
}

func ratio(held, slots int) float64 {
	if slots == 0 {
		return 1
	}
	return float64(held) / float64(slots)
}
