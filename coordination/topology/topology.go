// Package topology decides which daemons exchange heartbeats and facts.
//
// The neighbours of a daemon follow from the list of members alone, so that
// daemons with equal lists agree without a word. Each data centre forms a
// ring with shortcuts. A few heads of each data centre join it to the other
// data centres of its region, and a few heads of each region, in different
// data centres where there are several, join it to the other regions. The
// same rules hold for any size; a small fleet comes out almost fully meshed.
//
// The graph is symmetric and stays connected when any two members are gone.
package topology

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// heads is how many members join a group to other groups. One more than
	// the number of members that may be gone.
	heads = 3
	// memberShortcuts and groupShortcuts bound the neighbours on each side of
	// a ring of members and of data centres, regionShortcuts of regions.
	memberShortcuts = 3
	groupShortcuts  = 3
	regionShortcuts = 2
)

// MaxDegree is the most neighbours of a member, if every data centre has at
// least three members.
const MaxDegree = 2 * (memberShortcuts + groupShortcuts + regionShortcuts)

// Node is one member and where it stands.
type Node struct {
	ID         string
	DataCentre string
	Region     string
}

// Neighbours returns the neighbours of the member named self, by ID. The
// order of nodes does not matter.
func Neighbours(nodes []Node, self string) []string {
	g := graph{self: self, found: map[string]bool{}}
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == self })
	if i < 0 {
		return nil
	}
	own := nodes[i]
	byDataCentre, byRegion := group(nodes)
	g.ring(byDataCentre[own.DataCentre])
	g.join(own.DataCentre, byRegion[own.Region], groupShortcuts, func(dc string) []string {
		return ranked(byDataCentre[dc], "datacentre/"+dc)
	})
	g.join(own.Region, keys(byRegion), regionShortcuts, func(region string) []string {
		return regionHeads(region, byRegion[region], byDataCentre)
	})
	return keys(g.found)
}

// graph collects the neighbours of one member.
type graph struct {
	self  string
	found map[string]bool
}

func (g *graph) add(id string) {
	if id != g.self {
		g.found[id] = true
	}
}

// ring adds the neighbours in the own data centre.
func (g *graph) ring(members []string) {
	order := ranked(members, "ring")
	for _, i := range around(len(order), slices.Index(order, g.self), memberShortcuts) {
		g.add(order[i])
	}
}

// join adds the neighbours in other groups. Head i of a group is joined to
// head i of the groups near it on the ring of groups.
func (g *graph) join(own string, groups []string, shortcuts int, headsOf func(string) []string) {
	mine := headsOf(own)
	if !slices.Contains(mine[:min(heads, len(mine))], g.self) {
		return
	}
	order := ranked(groups, "groups")
	for _, i := range around(len(order), slices.Index(order, own), shortcuts) {
		theirs := headsOf(order[i])
		for plane := range heads {
			if mine[plane%len(mine)] == g.self {
				g.add(theirs[plane%len(theirs)])
			}
		}
	}
}

// regionHeads returns the members that join a region to others, best first:
// one of each data centre in turn.
func regionHeads(region string, dataCentres []string, byDataCentre map[string][]string) []string {
	order := ranked(dataCentres, "region/"+region)
	var out []string
	for round := 0; len(out) < heads; round++ {
		before := len(out)
		for _, dc := range order {
			members := ranked(byDataCentre[dc], "region/"+region)
			if round < len(members) && len(out) < heads {
				out = append(out, members[round])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// around returns the positions joined to position i on a ring of n.
func around(n, i, shortcuts int) []int {
	var out []int
	for _, step := range steps(n, shortcuts) {
		for _, j := range []int{(i + step) % n, (i - step + n) % n} {
			if j != i && !slices.Contains(out, j) {
				out = append(out, j)
			}
		}
	}
	return out
}

// steps returns how far the shortcuts of a ring of n reach: each position up
// to half the ring where that is few, or else powers that span the ring.
func steps(n, shortcuts int) []int {
	var out []int
	for k := range shortcuts {
		step := k + 1
		if n > 2*shortcuts+1 {
			step = int(math.Round(math.Pow(float64(n), float64(k)/float64(shortcuts))))
		}
		if step <= n/2 {
			out = append(out, max(step, k+1))
		}
	}
	return out
}

// ranked returns names in an order that differs from one purpose to another.
func ranked(names []string, purpose string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{name, xxhash.Sum64String(purpose + "\x00" + name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(all))
	for _, s := range all {
		out = append(out, s.name)
	}
	return out
}

// group returns the members of each data centre and the data centres of each
// region.
func group(nodes []Node) (byDataCentre, byRegion map[string][]string) {
	byDataCentre, byRegion = map[string][]string{}, map[string][]string{}
	for _, n := range nodes {
		if len(byDataCentre[n.DataCentre]) == 0 {
			byRegion[n.Region] = append(byRegion[n.Region], n.DataCentre)
		}
		byDataCentre[n.DataCentre] = append(byDataCentre[n.DataCentre], n.ID)
	}
	return byDataCentre, byRegion
}

func keys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
