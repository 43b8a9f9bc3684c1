// Package duty decides which daemon carries a duty, such as scheduling the
// slots of one upstream.
//
// A duty goes to the usable member with the highest rendezvous score for the
// duty's name, so that a member that comes or goes moves only its own duties.
// Members of the duty's region come first, so that a cut between two regions
// does not give a duty a second holder that can still reach its upstream.
package duty

import (
	"github.com/cespare/xxhash/v2"

	"bilberrytiller.example/tiller/coordination/membership"
)

// Holder returns the member that carries the named duty in a region, and
// false if no member is usable. An empty region prefers no member.
func Holder(view *membership.View, name, region string) (membership.Member, bool) {
	return best(view.Members(), name, region)
}

// best returns the usable member with the highest score, and false for none.
func best(members []membership.Member, name, region string) (membership.Member, bool) {
	var top score
	found := -1
	for i := range members {
		if !members[i].Usable() {
			continue
		}
		s := scoreOf(members[i], name, region)
		if found < 0 || s.above(top) {
			top, found = s, i
		}
	}
	if found < 0 {
		return membership.Member{}, false
	}
	return members[found], true
}

// IsAmongHolders reports whether a member is among the count members of a region
// that carry the named duty together.
func IsAmongHolders(view *membership.View, id, name, region string, count int) bool {
	self, ok := view.Member(id)
	if !ok || !self.Usable() || self.Region != region {
		return false
	}
	own := scoreOf(self, name, region)
	above := 0
	for _, m := range view.Members() {
		if m.Usable() && m.Region == region && scoreOf(m, name, region).above(own) {
			above++
		}
	}
	return above < count
}

type score struct {
	nearness int
	hash     uint64
}

func (s score) above(o score) bool {
	if s.nearness != o.nearness {
		return s.nearness > o.nearness
	}
	return s.hash > o.hash
}

func scoreOf(m membership.Member, name, region string) score {
	nearness := 0
	if region != "" && m.Region == region {
		nearness = 1
	}
	return score{nearness: nearness, hash: hash(m.ID, name)}
}

func hash(member, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
