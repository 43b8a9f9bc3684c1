// Package relay decides from which daemons a daemon learns what the store
// holds, so that few daemons of a region watch the store.
//
// The first daemon of a region, by data centre and name, watches the store.
// The first ones of its other data centres ask it, and the others ask the
// first ones of their own data centre. A daemon watches the store itself
// while none of those that it asks answers with what is fresh.
package relay

import (
	"cmp"
	"slices"
	"time"
)

// maxRelays is how many daemons of a data centre or region others ask.
const maxRelays = 2

// Member is a daemon of the fleet.
type Member struct {
	ID, Zone, Region, Address string
}

// Choice keeps which relays failed lately. It is not safe for concurrent use.
type Choice struct {
	self Member
	// pause is how long a relay that failed is not asked.
	pause  time.Duration
	failed map[string]time.Time
}

// NewChoice returns the choice of the daemon self.
func NewChoice(self Member, pause time.Duration) *Choice {
	return &Choice{self: self, pause: pause, failed: map[string]time.Time{}}
}

// Failed records that a relay did not answer, or only with what is old.
func (c *Choice) Failed(id string, now time.Time) { c.failed[id] = now }

// Pick returns the relay to ask, or false if the daemon watches the store
// itself.
func (c *Choice) Pick(members []Member, now time.Time) (Member, bool) {
	near, far := c.before(members)
	if len(near) == 0 {
		near = far
	}
	for _, m := range near[:min(maxRelays, len(near))] {
		if at, ok := c.failed[m.ID]; !ok || now.Sub(at) > c.pause {
			return m, true
		}
	}
	return Member{}, false
}

// First reports whether the daemon has no relay, whether or not one failed.
func (c *Choice) First(members []Member) bool {
	near, far := c.before(members)
	return len(near)+len(far) == 0
}

// before returns the daemons before this one in its data centre, and in the
// other data centres of its region.
func (c *Choice) before(members []Member) (near, far []Member) {
	for _, m := range members {
		switch {
		case m.Zone == c.self.Zone && m.ID < c.self.ID:
			near = append(near, m)
		case m.Region == c.self.Region && m.Zone < c.self.Zone:
			far = append(far, m)
		}
	}
	order := func(a, b Member) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID)) }
	slices.SortFunc(near, order)
	slices.SortFunc(far, order)
	return near, far
}
