package upstream

import (
	"time"
)

const (
	// shareRate is how much of a zone's objects may change their zone in a
	// second. The users' bound for a region is 0.15 in two seconds.
	shareRate = 0.05
	// fullMark is the part of a zone's slots in use above which objects are
	// given to zones that are less full.
	fullMark = 0.75
	// fullerBy is how much fuller than the others the zone must be.
	fullerBy = 0.1
	// sharePeriod is how often the part is adjusted.
	sharePeriod = 250 * time.Millisecond
)

// balance is how the objects of a service are spread over zones.
type balance struct {
	// own is the part of the daemon's objects that belongs to its own zone.
	own float64
	// even is what own would be if each zone got the same traffic and all
	// servers were equally full.
	even float64
	// spare are the slots of each zone beyond those that its own traffic
	// needs then.
	spare map[string]int
	// pressed is what own has been lowered by because the zone is full.
	pressed float64
	at      time.Time
}

// refresh works out the balance. It follows changes of the servers at once,
// and those of the traffic slowly.
func (b *balance) refresh(s *Set, v *service, now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed < sharePeriod {
		return
	}
	b.at = now
	b.spread(s, v)
	step := shareRate * min(elapsed, time.Second).Seconds()
	own, others := use(s, v, now)
	if own > fullMark && own > others+fullerBy {
		b.pressed = min(b.even, b.pressed+step)
	} else if own < fullMark {
		b.pressed = max(0, b.pressed-step)
	}
	b.own = max(0, b.even-b.pressed)
}

// spread works out the even part and what the zones have to spare.
func (b *balance) spread(s *Set, v *service) {
	byZone := map[string]int{}
	total := 0
	for _, srv := range v.servers {
		if srv.Draining || srv.misdirected || s.evacuated[srv.Zone] {
			continue
		}
		byZone[srv.Zone] += srv.slots()
		total += srv.slots()
	}
	zones := max(1, len(s.regions))
	b.even = 1
	if total > 0 {
		b.even = min(1, float64(byZone[s.place.Zone]*zones)/float64(total))
	}
	for zone, slots := range byZone {
		byZone[zone] = max(0, slots-total/zones)
	}
	b.spare = byZone
}

// use returns the parts of the slots that are in use in the daemon's zone and
// in the others.
func use(s *Set, v *service, now time.Time) (own, others float64) {
	var held, slots [2]int
	for _, srv := range v.servers {
		if !s.usable(srv, Request{}, now) {
			continue
		}
		i := 0
		if srv.Zone != s.place.Zone {
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
