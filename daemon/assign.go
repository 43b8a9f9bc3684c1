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
	// ownUpstreams are the upstreams that this daemon is to hold.
	ownUpstreams []*catalogue.Upstream
	// holderCache keeps the holders that were asked for, by upstream.
	holderCache sync.Map
}

// cachedHolder is one upstream's holder, if there is one.
type cachedHolder struct {
	holder membership.Member
	ok     bool
}

// currentAssignments returns the assignments of this moment.
func (d *Daemon) currentAssignments() *assignments {
	set, view := d.catalogue.Load(), d.view.Load()
	held := d.cachedAssignments.Load()
	if held != nil && held.set == set && held.view == view {
		return held
	}
	made := newAssignments(set, view)
	d.cachedAssignments.Store(made)
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
			a.ownUpstreams = append(a.ownUpstreams, u)
		}
	}
	return a
}

// holder returns the member that is to hold an upstream.
func (a *assignments) holder(u *catalogue.Upstream) (membership.Member, bool) {
	if known, ok := a.holderCache.Load(u.Name); ok {
		found := known.(cachedHolder)
		return found.holder, found.ok
	}
	holder, ok := a.index.Holder(upstreamDuty(u.Name), a.set.RegionOf(u.DataCentre))
	a.holderCache.Store(u.Name, cachedHolder{holder: holder, ok: ok})
	return holder, ok
}

// upstreamDuty names the duty of holding an upstream.
func upstreamDuty(upstream string) string { return "upstream/" + upstream }

// holderOf returns the member that is to hold an upstream.
func (d *Daemon) holderOf(u *catalogue.Upstream) (membership.Member, bool) {
	return d.currentAssignments().holder(u)
}

// isHolder reports whether this daemon is to hold an upstream.
func (d *Daemon) isHolder(u *catalogue.Upstream) bool {
	holder, ok := d.holderOf(u)
	return ok && holder.ID == d.self.ID && !d.superseded()
}
