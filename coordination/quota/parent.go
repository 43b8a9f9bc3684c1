package quota

import (
	"cmp"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/relay"
)

const (
	// parentsPerRegion is how many daemons of a region are tried as its root.
	parentsPerRegion = 3
	// parentRetryDelay is how long a daemon that did not reply is not asked. The delay
	// doubles with each failure up to maxParentRetryDelay.
	parentRetryDelay    = 500 * time.Millisecond
	maxParentRetryDelay = 4 * time.Second
)

// Parents selects the parent of a daemon. All daemons of a region have the region's
// first daemon as their parent, and that has the first daemon of the first region. A
// daemon without a parent is the root. Daemons are ordered the same everywhere and a
// parent comes before its children, so that there is no cycle. It is not safe for
// concurrent use.
type Parents struct {
	self       string
	candidates []relay.Member
	failed     map[string]failure
}

// failure is how often a daemon did not reply, and when it may be asked again.
type failure struct {
	delay time.Duration
	until time.Time
}

// NewParents returns the selector of a daemon.
func NewParents(self string) *Parents {
	return &Parents{self: self, failed: map[string]failure{}}
}

// SetMembers sets the daemons of the fleet.
func (p *Parents) SetMembers(members []relay.Member) {
	p.candidates = nil
	at := slices.IndexFunc(members, func(m relay.Member) bool { return m.ID == p.self })
	if at < 0 {
		return
	}
	self := members[at]
	byRegion := map[string][]relay.Member{}
	for _, m := range members {
		if m.Region < self.Region || m.Region == self.Region && compareRank(m, self) < 0 {
			byRegion[m.Region] = append(byRegion[m.Region], m)
		}
	}
	// The daemons of the own region come first, then the regions in their order.
	regions := make([]string, 0, len(byRegion))
	for region, all := range byRegion {
		slices.SortFunc(all, compareRank)
		byRegion[region] = all[:min(parentsPerRegion, len(all))]
		if region != self.Region {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	p.candidates = append(p.candidates, byRegion[self.Region]...)
	for _, region := range regions {
		p.candidates = append(p.candidates, byRegion[region]...)
	}
}

// compareRank orders the daemons of a region by descending capacity, then by ID.
func compareRank(a, b relay.Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

// Pick returns the parent to ask, or false if the daemon is the root.
func (p *Parents) Pick(now time.Time) (relay.Member, bool) {
	for _, m := range p.candidates {
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

// MarkWorking records that a daemon replied.
func (p *Parents) MarkWorking(id string) { delete(p.failed, id) }
