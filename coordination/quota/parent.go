package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/relay"
)

const (
	// headsPerGroup is how many daemons of a group are tried as its head.
	headsPerGroup = 3
	// issuingGroups is how many groups issue units. The loss of a head leaves the parts
	// of the others in use, and each can save up whole units of small quotas.
	issuingGroups = 3
	// maxRegionGroup is the number of daemons of a region up to which one head serves them.
	maxRegionGroup = 100
	// maxChildren is how many daemons of its group have the same parent, in groups of more
	// than maxFlatGroup. In smaller ones all have the head.
	maxChildren  = 16
	maxFlatGroup = 32
	// parentRetryDelay is how long a daemon that did not reply is not asked. The delay
	// doubles with each failure up to maxParentRetryDelay.
	parentRetryDelay    = 500 * time.Millisecond
	maxParentRetryDelay = 4 * time.Second
	// minSilence is the shortest time after which a daemon that has not replied counts as
	// silent, and replyDelay the time for which one may hold up its reply.
	minSilence = 100 * time.Millisecond
	replyDelay = 60 * time.Millisecond
)

// Parents selects the daemons that a daemon asks for units. The daemons of a group, which
// is a region or, in a fleet of one region or of large ones, a data centre, have the group's first
// daemon as their parent, its head, or in large groups form a tree below it. The heads of
// the first issuingGroups groups have
// no parent and ask each other for units that are left over. The other heads have one
// of those as their parent. Daemons are ordered the same everywhere and a parent comes
// before its children, so that there is no cycle. It is not safe for concurrent use.
type Parents struct {
	self    relay.Member
	parents []relay.Member
	// peers are the first daemons of each other issuing group.
	peers  [][]relay.Member
	failed map[string]failure
	// usual is about the least time that each daemon took to reply.
	usual map[string]time.Duration
	first relay.Member

	maxChildren, maxFlatGroup int
}

// failure is how often a daemon did not reply, and when it may be asked again.
type failure struct {
	delay time.Duration
	until time.Time
}

// NewParents returns the selector of a daemon.
func NewParents(self relay.Member) *Parents {
	return &Parents{self: self, failed: map[string]failure{}, usual: map[string]time.Duration{}, maxChildren: maxChildren, maxFlatGroup: maxFlatGroup}
}

// SetMembers sets the daemons of the fleet. The daemon itself may be missing, since it may
// not be registered yet.
func (p *Parents) SetMembers(members []relay.Member) {
	p.parents, p.peers = nil, nil
	maps.DeleteFunc(p.usual, func(id string, _ time.Duration) bool {
		return !slices.ContainsFunc(members, func(m relay.Member) bool { return m.ID == id })
	})
	self := p.self
	if at := slices.IndexFunc(members, func(m relay.Member) bool { return m.ID == self.ID }); at >= 0 {
		self = members[at]
	} else {
		members = append(slices.Clip(members), self)
	}
	groups, groupOf := groupMembers(members)
	p.first = groups[0][0]
	own := slices.IndexFunc(groups, func(g []relay.Member) bool { return groupOf(g[0]) == groupOf(self) })
	group := groups[own]
	rank := slices.IndexFunc(group, func(m relay.Member) bool { return m.ID == self.ID })
	if len(group) > p.maxFlatGroup && rank > p.maxChildren {
		p.parents = append(p.parents, group[(rank-1)/p.maxChildren])
	}
	p.parents = append(p.parents, group[:min(rank, headsPerGroup)]...)
	for i, g := range groups[:min(issuingGroups, len(groups))] {
		heads := g[:min(headsPerGroup, len(g))]
		switch {
		case i == own:
		case own < issuingGroups:
			p.peers = append(p.peers, heads)
		case i == own%issuingGroups:
			p.parents = append(p.parents, heads...)
		}
	}
}

// groupMembers returns the daemons of each group by rank, in the order of the groups'
// names, and the function that returns the name of a daemon's group.
func groupMembers(members []relay.Member) (groups [][]relay.Member, groupOf func(relay.Member) string) {
	groupOf = func(m relay.Member) string { return m.Region }
	regions := map[string]int{}
	for _, m := range members {
		regions[m.Region]++
	}
	if len(regions) == 1 || slices.Max(slices.Collect(maps.Values(regions))) > maxRegionGroup {
		groupOf = func(m relay.Member) string { return m.Zone }
	}
	byName := map[string][]relay.Member{}
	for _, m := range members {
		byName[groupOf(m)] = append(byName[groupOf(m)], m)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		slices.SortFunc(byName[name], compareRank)
		groups = append(groups, byName[name])
	}
	return groups, groupOf
}

// compareRank orders the daemons of a region by descending capacity, then by ID.
func compareRank(a, b relay.Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

// First returns the first daemon of the fleet, which releases those that start together.
func (p *Parents) First() relay.Member { return p.first }

// Pick returns the parent to ask, or false if there is none.
func (p *Parents) Pick(now time.Time) (relay.Member, bool) { return p.firstWorking(p.parents, now) }

// Peers returns the daemons to ask for units that are left over, if there is no parent.
func (p *Parents) Peers(now time.Time) []relay.Member {
	var out []relay.Member
	for _, heads := range p.peers {
		if m, ok := p.firstWorking(heads, now); ok {
			out = append(out, m)
		}
	}
	return out
}

func (p *Parents) firstWorking(all []relay.Member, now time.Time) (relay.Member, bool) {
	for _, m := range all {
		if !now.Before(p.failed[m.ID].until) {
			return m, true
		}
	}
	return relay.Member{}, false
}

// MarkFailed records that a daemon did not reply.
func (p *Parents) MarkFailed(id string, now time.Time) {
	delay := min(max(2*p.failed[id].delay, parentRetryDelay), maxParentRetryDelay)
	p.failed[id] = failure{delay, now.Add(delay)}
}

// MarkWorking records that a daemon replied after the given time.
func (p *Parents) MarkWorking(id string, took time.Duration) {
	delete(p.failed, id)
	if usual, ok := p.usual[id]; ok {
		took = min(took, usual+usual/8+time.Millisecond)
	}
	p.usual[id] = took
}

// SilentAfter returns how long to wait for a daemon's reply before the next one is asked.
// If it is not known how long the daemon usually takes, its reply may well come later.
func (p *Parents) SilentAfter(id string) (after time.Duration, known bool) {
	usual, known := p.usual[id]
	if !known {
		return minSilence, false
	}
	return max(minSilence, 2*usual+replyDelay), true
}
