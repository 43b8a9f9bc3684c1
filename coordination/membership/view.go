// Package membership decides which entry hosts are alive.
//
// A View is an immutable picture of the fleet as one daemon sees it. Views of
// different daemons may differ at any moment; every decision made from a view
// must stay safe when they do.
package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// State is what a daemon believes of a member.
type State int

// The states of a member. Their order is the order in which a member of one
// incarnation passes through them.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

func (s State) String() string { return stateNames[s] }

// Member is one entry host and the daemon that runs on it.
type Member struct {
	// ID names the host.
	ID string
	// Incarnation names one life of the daemon on the host. A restarted
	// daemon has another. It is empty until the daemon was heard from.
	Incarnation string
	DataCentre  string
	Region      string
	Peer        netip.AddrPort
	Caller      netip.AddrPort
	State       State
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool { return m.State == Alive || m.State == Suspect }

// View is an immutable picture of the fleet.
type View struct {
	// Self is the daemon whose view this is.
	Self    Member
	members []Member
	byID    map[string]Member
	byInc   map[string]Member
}

// NewView returns a view of the given members, which include self.
func NewView(self Member, members []Member) *View {
	v := &View{Self: self, byID: map[string]Member{}, byInc: map[string]Member{}}
	v.members = slices.SortedFunc(slices.Values(members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.members {
		v.byID[m.ID] = m
		if m.Incarnation != "" {
			v.byInc[m.Incarnation] = m
		}
	}
	return v
}

// Members returns all members, by ID. The caller must not change the slice.
func (v *View) Members() []Member { return v.members }

// Member returns a member by ID.
func (v *View) Member(id string) (Member, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// ByIncarnation returns the member that runs the given incarnation.
func (v *View) ByIncarnation(inc string) (Member, bool) {
	m, ok := v.byInc[inc]
	return m, ok
}
