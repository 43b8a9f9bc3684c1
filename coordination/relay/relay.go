// Package relay selects the daemon from which a daemon receives the store's
// content, so that few daemons per region watch the store and none has to serve
// many others.
//
// The daemons of a data centre form a tree with a fixed fan-out, with the
// daemons of the highest capacity at the top. The root of a region's first data
// centre watches the store, the roots of its other data centres use that root
// as their relay, and all other daemons use their parent. A daemon watches the
// store itself while none of its relays returns up-to-date content.
package relay

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRelays is the maximum number of relays in other data centres that a
	// root daemon tries before it watches the store itself.
	maxRelays = 2
	// fanOut is the number of children of a daemon in its data centre's tree.
	// With 6 children each, the 89 daemons of a data centre of the planned size
	// form a tree of depth three.
	fanOut = 6
)

// Member is a daemon of the fleet. Its zone is its data centre.
type Member struct {
	ID, Zone, Region, Address string
	// Capacity is the relative capacity of the host.
	Capacity float64
}

// Selector selects the relay of a daemon and avoids relays that failed
// recently. It is not safe for concurrent use.
type Selector struct {
	self Member
	// retryAfter is how long a failed relay is skipped.
	retryAfter time.Duration
	failedAt   map[string]time.Time
}

// NewSelector returns the selector of the daemon self.
func NewSelector(self Member, retryAfter time.Duration) *Selector {
	return &Selector{self: self, retryAfter: retryAfter, failedAt: map[string]time.Time{}}
}

// MarkFailed records that a relay did not respond or returned outdated content.
// It reports whether the relay worked, or was not known, before.
func (s *Selector) MarkFailed(id string, now time.Time) bool {
	_, failed := s.failedAt[id]
	s.failedAt[id] = now
	return !failed
}

// MarkWorking records that a relay returned current content. It reports whether
// the relay had failed before.
func (s *Selector) MarkWorking(id string) bool {
	_, failed := s.failedAt[id]
	delete(s.failedAt, id)
	return failed
}

// Pick returns the relay to use, or false if the daemon has to watch the store
// itself.
func (s *Selector) Pick(members []Member, now time.Time) (Member, bool) {
	for _, m := range s.relays(members) {
		if at, ok := s.failedAt[m.ID]; !ok || now.Sub(at) > s.retryAfter {
			return m, true
		}
	}
	return Member{}, false
}

// Neighbour returns the daemon to ask when no relay returns current content and the store
// turns this daemon away: its relays are above it in the tree, but others may read the
// store. Each attempt asks another one, first those of the same data centre. It returns
// false if there is none.
func (s *Selector) Neighbour(members []Member, attempt int) (Member, bool) {
	var others []Member
	for _, m := range members {
		if m.ID != s.self.ID {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return Member{}, false
	}
	rank := func(m Member) int {
		switch {
		case m.Zone == s.self.Zone:
			return 0
		case m.Region == s.self.Region:
			return 1
		}
		return 2
	}
	slices.SortFunc(others, func(a, b Member) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), compareMembers(a, b)) })
	return others[attempt%len(others)], true
}

// IsRoot reports whether the daemon has no relays at all, regardless of
// failures.
func (s *Selector) IsRoot(members []Member) bool { return len(s.relays(members)) == 0 }

// relays returns the relays of the daemon in order of preference.
func (s *Selector) relays(members []Member) []Member {
	zone, earlier := s.splitByZone(members)
	position := slices.IndexFunc(zone, func(m Member) bool { return m.ID == s.self.ID })
	if position == 0 {
		return earlier[:min(maxRelays, len(earlier))]
	}
	parent := (position - 1) / fanOut
	relays := []Member{zone[parent]}
	if fallback := zone[min(1, position-1)]; parent > 0 {
		relays = append(relays, zone[0])
	} else if fallback.ID != zone[parent].ID {
		relays = append(relays, fallback)
	}
	return relays
}

// splitByZone returns the sorted daemons of the daemon's own data centre,
// including itself, and those of the data centres that come before it in the
// region.
func (s *Selector) splitByZone(members []Member) (zone, earlier []Member) {
	for _, m := range members {
		switch {
		case m.ID == s.self.ID:
		case m.Zone == s.self.Zone:
			zone = append(zone, m)
		case m.Region == s.self.Region && m.Zone < s.self.Zone:
			earlier = append(earlier, m)
		}
	}
	zone = append(zone, s.self)
	slices.SortFunc(zone, compareMembers)
	slices.SortFunc(earlier, compareMembers)
	return zone, earlier
}

// compareMembers orders daemons by data centre, then by descending capacity,
// then by ID.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}
