package daemon

import (
	"sync"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/state/catalogue"
)

// assignments maps each upstream to its holder, for one view and one catalogue.
type assignments struct {
	set   *catalogue.Set
	view  *membership.View
	index *duty.Index
	// ownUpstreams are the upstreams that are assigned to this daemon.
	ownUpstreams []*catalogue.Upstream
	// holderCache holds a cachedHolder by upstream name.
	holderCache sync.Map
}

// cachedHolder is the holder of an upstream. If ok is false, there is none.
type cachedHolder struct {
	holder membership.Member
	ok     bool
}

// currentAssignments returns the assignments for the current view and
// catalogue. They are kept until one of the two changes.
func (d *Daemon) currentAssignments() *assignments {
	set, view := d.catalogue.Load(), d.view.Load()
	cached := d.cachedAssignments.Load()
	if cached != nil && cached.set == set && cached.view == view {
		return cached
	}
	created := newAssignments(set, view)
	d.cachedAssignments.Store(created)
	return created
}

func newAssignments(set *catalogue.Set, view *membership.View) *assignments {
	a := &assignments{set: set, view: view, index: duty.NewIndex(view)}
	for _, u := range set.AllUpstreams() {
		region := set.RegionOf(u.DataCentre)
		// An upstream has a holder in another region only if its own region
		// has no usable member.
		if region != view.Self.Region && a.index.HasUsableMember(region) {
			continue
		}
		if holder, ok := a.holder(u); ok && holder.ID == view.Self.ID {
			a.ownUpstreams = append(a.ownUpstreams, u)
		}
	}
	return a
}

// holder returns the member that an upstream is assigned to, or false if no
// member is usable.
func (a *assignments) holder(u *catalogue.Upstream) (membership.Member, bool) {
	if entry, ok := a.holderCache.Load(u.Name); ok {
		cached := entry.(cachedHolder)
		return cached.holder, cached.ok
	}
	holder, ok := a.index.Holder(upstreamDuty(u.Name), a.set.RegionOf(u.DataCentre))
	a.holderCache.Store(u.Name, cachedHolder{holder: holder, ok: ok})
	return holder, ok
}

// upstreamDuty returns the name of the duty of holding an upstream.
func upstreamDuty(upstream string) string { return "upstream/" + upstream }

// holderOf returns the member that an upstream is currently assigned to.
func (d *Daemon) holderOf(u *catalogue.Upstream) (membership.Member, bool) {
	return d.currentAssignments().holder(u)
}

// isHolder reports whether an upstream is assigned to this daemon, and no later
// daemon on this host has superseded it.
func (d *Daemon) isHolder(u *catalogue.Upstream) bool {
	holder, ok := d.holderOf(u)
	return ok && holder.ID == d.self.ID && !d.superseded()
}
