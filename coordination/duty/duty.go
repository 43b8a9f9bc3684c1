// Package duty assigns duties, such as scheduling the slots of one upstream, to
// daemons by rendezvous hashing.
//
// A duty is held by the usable member with the highest score for the duty's
// name, so a member that joins or leaves moves only its own duties. Members of
// the duty's region are preferred, so that a partition between two regions does
// not lead to a second holder that can still reach the upstream.
package duty

import (
	"github.com/cespare/xxhash/v2"

	"bilberrytiller.example/tiller/coordination/membership"
)

// Holder returns the member that holds the named duty in a region, or false if
// no member is usable. If region is empty, no member is preferred.
func Holder(view *membership.View, name, region string) (membership.Member, bool) {
	return highestScore(view.Members(), name, region)
}

// highestScore returns the usable member with the highest score, or false if
// there is none.
func highestScore(members []membership.Member, name, region string) (membership.Member, bool) {
	var bestScore score
	bestIndex := -1
	for i := range members {
		if !members[i].Usable() {
			continue
		}
		s := scoreOf(members[i], name, region)
		if bestIndex < 0 || s.greaterThan(bestScore) {
			bestScore, bestIndex = s, i
		}
	}
	if bestIndex < 0 {
		return membership.Member{}, false
	}
	return members[bestIndex], true
}

// IsAmongHolders reports whether a member is among the count members of a
// region that share the named duty.
func IsAmongHolders(view *membership.View, id, name, region string, count int) bool {
	self, ok := view.Member(id)
	if !ok || !self.Usable() || self.Region != region {
		return false
	}
	selfScore := scoreOf(self, name, region)
	higher := 0
	for _, m := range view.Members() {
		if m.Usable() && m.Region == region && scoreOf(m, name, region).greaterThan(selfScore) {
			higher++
		}
	}
	return higher < count
}

type score struct {
	regionMatch int
	hash        uint64
}

func (s score) greaterThan(o score) bool {
	if s.regionMatch != o.regionMatch {
		return s.regionMatch > o.regionMatch
	}
	return s.hash > o.hash
}

func scoreOf(m membership.Member, name, region string) score {
	regionMatch := 0
	if region != "" && m.Region == region {
		regionMatch = 1
	}
	return score{regionMatch: regionMatch, hash: hash(m.ID, name)}
}

func hash(member, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to an xxhash.Digest never fail.
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
