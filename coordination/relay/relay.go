// Package relay decides from which daemons a daemon learns what the store
// holds, so that few daemons of a region watch the store and none has many to
// tell.
//
// The daemons of a data centre form a tree of a fixed fan-out, those that can
// carry most at its top. The top one of a region's first data centre watches
// the store, the top ones of its other data centres ask that one, and all
// others ask the one above them. A daemon watches the store itself while none
// of those that it asks answers with what is fresh.
package relay

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRelays is how many daemons a daemon asks before the store.
	maxRelays = 2
	// fanOut is how many daemons of its data centre ask one daemon. With it the
	// 89 daemons of a data centre of the size to come are three steps deep.
	fanOut = 6
)

// Member is a daemon of the fleet.
type Member struct {
	ID, Zone, Region, Address string
	// Capacity compares what the hosts can carry.
	Capacity float64
}

// Selector keeps which relays failed lately. It is not safe for concurrent use.
type Selector struct {
	self Member
	// pause is how long a relay that failed is not asked.
	pause  time.Duration
	failed map[string]time.Time
}

// NewSelector returns the choice of the daemon self.
func NewSelector(self Member, pause time.Duration) *Selector {
	return &Selector{self: self, pause: pause, failed: map[string]time.Time{}}
}

// MarkFailed records that a relay did not answer, or only with what is old.
func (c *Selector) MarkFailed(id string, now time.Time) { c.failed[id] = now }

// Pick returns the relay to ask, or false if the daemon watches the store
// itself.
func (c *Selector) Pick(members []Member, now time.Time) (Member, bool) {
	for _, m := range c.relays(members) {
		if at, ok := c.failed[m.ID]; !ok || now.Sub(at) > c.pause {
			return m, true
		}
	}
	return Member{}, false
}

// IsRoot reports whether the daemon has no relay, whether or not one failed.
func (c *Selector) IsRoot(members []Member) bool { return len(c.relays(members)) == 0 }

// relays returns the daemons to ask, best first.
func (c *Selector) relays(members []Member) []Member {
	zone, earlier := c.around(members)
	at := slices.IndexFunc(zone, func(m Member) bool { return m.ID == c.self.ID })
	if at == 0 {
		return earlier[:min(maxRelays, len(earlier))]
	}
	above := (at - 1) / fanOut
	relays := []Member{zone[above]}
	if spare := zone[min(1, at-1)]; above > 0 {
		relays = append(relays, zone[0])
	} else if spare.ID != zone[above].ID {
		relays = append(relays, spare)
	}
	return relays
}

// around returns the daemons of the own data centre, this one among them, and
// those of the region's earlier data centres, in their order.
func (c *Selector) around(members []Member) (zone, earlier []Member) {
	for _, m := range members {
		switch {
		case m.ID == c.self.ID:
		case m.Zone == c.self.Zone:
			zone = append(zone, m)
		case m.Region == c.self.Region && m.Zone < c.self.Zone:
			earlier = append(earlier, m)
		}
	}
	zone = append(zone, c.self)
	slices.SortFunc(zone, order)
	slices.SortFunc(earlier, order)
	return zone, earlier
}

// order puts daemons by data centre, then those that can carry most first.
func order(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}
