package duty

import (
	"cmp"
	"slices"

	"bilberrytiller.example/tiller/coordination/membership"
)

// Index looks up the holders of many duties in one view. It is immutable.
type Index struct {
	usable   []membership.Member
	byRegion map[string][]membership.Member
}

// NewIndex returns an index of a view.
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

// Holder returns the same result as the function Holder for the indexed view.
func (x *Index) Holder(name, region string) (membership.Member, bool) {
	if inRegion := x.byRegion[region]; region != "" && len(inRegion) > 0 {
		return highestScore(inRegion, name, region)
	}
	return highestScore(x.usable, name, region)
}

// HasUsableMember reports whether a region has a usable member. If so, the
// region's duties are held by members of the region.
func (x *Index) HasUsableMember(region string) bool { return len(x.byRegion[region]) > 0 }

// Candidates returns the members that are next in line for a duty of a region,
// regardless of their state: at most the given numbers of members inside and
// outside the region. The holder in any view is among them, unless as many
// members fail at once as are listed.
func Candidates(view *membership.View, name, region string, inside, outside int) []membership.Member {
	members := slices.Clone(view.Members())
	slices.SortFunc(members, func(a, b membership.Member) int {
		scoreA, scoreB := scoreOf(a, name, region), scoreOf(b, name, region)
		return cmp.Or(cmp.Compare(scoreB.regionMatch, scoreA.regionMatch), cmp.Compare(scoreB.hash, scoreA.hash))
	})
	split := slices.IndexFunc(members, func(m membership.Member) bool { return m.Region != region })
	if split < 0 {
		split = len(members)
	}
	outsiders := members[split:]
	return slices.Concat(members[:min(split, inside)], outsiders[:min(len(outsiders), outside)])
}
