package upstream

import "time"

const (
	// shareRate is how much of a region's objects may change their region in
	// a second. The users' bound is 0.15 in two seconds.
	shareRate = 0.05
	// fullMark and freeMark are the parts of a region's slots in use above
	// and below which objects are given to other regions or taken back.
	fullMark = 0.9
	freeMark = 0.7
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
// starts where all regions would be equally full if each got the same
// traffic, and then moves slowly with the use of the region's servers.
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
	switch use := localUse(s, v, now); {
	case use > fullMark:
		l.value = max(0, l.value-step)
	case use < freeMark:
		l.value = min(1, l.value+step)
	}
	return l.value
}

// evenShare returns the part that the region's slots can take of its traffic
// if every region gets the same.
func evenShare(s *Set, v *service) float64 {
	byRegion := map[string]int{}
	total := 0
	for _, srv := range v.servers {
		byRegion[srv.region] += srv.slots()
		total += srv.slots()
	}
	if total == 0 {
		return 1
	}
	return min(1, float64(byRegion[s.place.Region]*len(byRegion))/float64(total))
}

// localUse returns the part of the region's slots that is in use.
func localUse(s *Set, v *service, now time.Time) float64 {
	held, slots := 0, 0
	for _, srv := range v.servers {
		if srv.region != s.place.Region || !s.usable(srv, Request{}, now) {
			continue
		}
		held += srv.estimate(now)
		slots += srv.slots()
	}
	if slots == 0 {
		return 1
	}
	return float64(held) / float64(slots)
}
