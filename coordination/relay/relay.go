// Package relay decides from which daemons a daemon learns what the store
// holds, so that few daemons of a data centre watch the store.
//
// The first daemon of a data centre, by name, watches the store. The others
// ask the first ones before them, and watch the store themselves while none
// of those answers with what is fresh.
package relay

import (
	"cmp"
	"slices"
	"time"
)

// maxRelays is how many daemons of a data centre others ask.
const maxRelays = 2

// Member is a daemon of the fleet.
type Member struct {
	ID, Zone, Address string
}

// Choice keeps which relays failed lately. It is not safe for concurrent use.
type Choice struct {
	self Member
	// Pause is how long a relay that failed is not asked.
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
	var before []Member
	for _, m := range members {
		if m.Zone == c.self.Zone && m.ID < c.self.ID {
			before = append(before, m)
		}
	}
	slices.SortFunc(before, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range before[:min(maxRelays, len(before))] {
		if at, ok := c.failed[m.ID]; !ok || now.Sub(at) > c.pause {
			return m, true
		}
	}
	return Member{}, false
}
