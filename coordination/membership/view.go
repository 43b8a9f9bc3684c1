// Package membership tracks which entry hosts are alive. It implements a
// heartbeat failure detector with suspicion and refutation, as in SWIM: daemons
// exchange heartbeats with their neighbours, suspect a silent neighbour before
// they declare it dead, and let a suspected member refute the suspicion.
//
// A View is an immutable snapshot of the fleet as one daemon sees it. At any
// moment two daemons may have different views, and every decision that is based
// on a view must be safe even then.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// State is the state of a member as recorded by a daemon.
type State int

// The member states, in the order in which one incarnation of a member passes
// through them.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

func (s State) String() string { return stateNames[s] }

// Member is an entry host and the daemon that runs on it.
type Member struct {
	// ID identifies the host.
	ID string
	// Incarnation identifies one run of the daemon; it changes when the daemon
	// restarts. It is empty until the daemon has been heard from.
	Incarnation string
	DataCentre  string
	Region      string
	Peer        netip.AddrPort
	Caller      netip.AddrPort
	State       State
}

// Usable reports whether new work may be assigned to the member.
func (m Member) Usable() bool { return m.State == Alive || m.State == Suspect }

// View is an immutable snapshot of the fleet.
type View struct {
	// Self is the daemon that the view belongs to.
	Self          Member
	members       []Member
	byID          map[string]Member
	byIncarnation map[string]Member
}

// NewView returns a view of the given members, which must include self.
func NewView(self Member, members []Member) *View {
	v := &View{Self: self, byID: map[string]Member{}, byIncarnation: map[string]Member{}}
	v.members = slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.members {
		v.byID[m.ID] = m
		if m.Incarnation != "" {
			v.byIncarnation[m.Incarnation] = m
		}
	}
	return v
}

// Members returns all members, sorted by ID. The caller must not modify the
// slice.
func (v *View) Members() []Member { return v.members }

// Member returns the member with the given ID.
func (v *View) Member(id string) (Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// ByIncarnation returns the member that runs the given incarnation.
func (v *View) ByIncarnation(inc string) (Member, bool) {
	m, ok := v.byIncarnation[inc]
	return m, ok
}
