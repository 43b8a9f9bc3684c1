package daemon

import (
	"sync"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

// assignments tells who holds each upstream by one view and one catalogue.
type assignments struct {
	set   *catalogue.Set
	view  *membership.View
	index *duty.Index
	// own are the upstreams that this daemon is to hold.
	own []*catalogue.Upstream
	// found keeps the holders that were asked for, by upstream.
	found sync.Map
}

// assignment is one upstream's holder, if there is one.
type assignment struct {
	holder membership.Member
	ok     bool
}

// assigned returns the assignments of this moment.
func (d *Daemon) assigned() *assignments {
	set, view := d.catalogue.Load(), d.view.Load()
	held := d.assignedNow.Load()
	if held != nil && held.set == set && held.view == view {
		return held
	}
	made := newAssignments(set, view)
	d.assignedNow.Store(made)
	return made
}

func newAssignments(set *catalogue.Set, view *membership.View) *assignments {
	a := &assignments{set: set, view: view, index: duty.NewIndex(view)}
	for _, u := range set.AllUpstreams() {
		region := set.RegionOf(u.DataCentre)
		// Only a region without usable members has holders in other regions.
		if region != view.Self.Region && a.index.HasUsableMember(region) {
			continue
		}
		if holder, ok := a.holder(u); ok && holder.ID == view.Self.ID {
			a.own = append(a.own, u)
		}
	}
	return a
}

// holder returns the member that is to hold an upstream.
func (a *assignments) holder(u *catalogue.Upstream) (membership.Member, bool) {
	if known, ok := a.found.Load(u.Name); ok {
		found := known.(assignment)
		return found.holder, found.ok
	}
	holder, ok := a.index.Holder(dutyOf(u.Name), a.set.RegionOf(u.DataCentre))
	a.found.Store(u.Name, assignment{holder: holder, ok: ok})
	return holder, ok
}

// dutyOf names the duty of holding an upstream.
func dutyOf(upstream string) string { return "upstream/" + upstream }

// holderOf returns the member that is to hold an upstream.
func (d *Daemon) holderOf(u *catalogue.Upstream) (membership.Member, bool) {
	return d.assigned().holder(u)
}

// isHolder reports whether this daemon is to hold an upstream.
func (d *Daemon) isHolder(u *catalogue.Upstream) bool {
	holder, ok := d.holderOf(u)
	return ok && holder.ID == d.self.ID && !d.superseded()
}
