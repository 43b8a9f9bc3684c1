package duty

import (
	"cmp"
	"slices"

	"bilberrytiller.example/tiller/coordination/membership"
)

// Index finds the holders of many duties in one view. It is immutable.
type Index struct {
	usable   []membership.Member
	byRegion map[string][]membership.Member
}

// NewIndex returns the index of a view.
func NewIndex(view *membership.View) *Index {
	x := &Index{byRegion: map[string][]membership.Member{}}
	for _, m := range view.Members() {
		if m.Usable() {
			x.usable = append(x.usable, m)
			x.byRegion[m.Region] = append(x.byRegion[m.Region], m)
		}
	}
	return x
}

// Holder returns what the function Holder returns for the index's view.
func (x *Index) Holder(name, region string) (membership.Member, bool) {
	if near := x.byRegion[region]; region != "" && len(near) > 0 {
		return best(near, name, region)
	}
	return best(x.usable, name, region)
}

// HasUsableMember reports whether a region has a usable member, which then holds the
// region's duties.
func (x *Index) HasUsableMember(region string) bool { return len(x.byRegion[region]) > 0 }

// Candidates returns the members that a duty of a region goes to first as
// members come and go, whatever their state: the given numbers of members
// inside the region and outside of it. Whoever holds the duty by some view is
// among them, unless that many members are lost at once.
func Candidates(view *membership.View, name, region string, inside, outside int) []membership.Member {
	members := slices.Clone(view.Members())
	slices.SortFunc(members, func(a, b membership.Member) int {
		one, other := scoreOf(a, name, region), scoreOf(b, name, region)
		return cmp.Or(cmp.Compare(other.nearness, one.nearness), cmp.Compare(other.hash, one.hash))
	})
	near := slices.IndexFunc(members, func(m membership.Member) bool { return m.Region != region })
	if near < 0 {
		near = len(members)
	}
	far := members[near:]
	return slices.Concat(members[:min(near, inside)], far[:min(len(far), outside)])
}
