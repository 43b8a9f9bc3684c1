// Package topology decides which daemons exchange heartbeats and facts.
//
// The neighbours of a daemon are computed from the list of members alone, so
// that daemons with equal lists agree without exchanging messages. Each data
// centre forms a ring with shortcuts. A few members of each data centre, its
// bridges, connect it to the other data centres of its region, and a few
// bridges of each region, in different data centres where there are several,
// connect it to the other regions. The same rules hold for any size; a small
// fleet is almost fully meshed.
//
// The graph is symmetric and stays connected when any two members fail.
package topology

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// bridgeCount is the number of members that connect a group, which is a
	// data centre or a region, to other groups. It is one more than the number
	// of members that may fail.
	bridgeCount = 3
	// memberShortcuts, dataCentreShortcuts and regionShortcuts bound the
	// neighbours on each side of a ring of members, of data centres and of
	// regions.
	memberShortcuts     = 3
	dataCentreShortcuts = 3
	regionShortcuts     = 2
)

// MaxDegree is the largest number of neighbours of a member, provided that
// every data centre has at least three members.
const MaxDegree = 2 * (memberShortcuts + dataCentreShortcuts + regionShortcuts)

// Node is a member and its location.
type Node struct {
	ID         string
	DataCentre string
	Region     string
}

// Neighbours returns the IDs of the neighbours of the member named self. The
// order of nodes does not matter.
func Neighbours(nodes []Node, self string) []string {
	g := neighbourSet{self: self, ids: map[string]bool{}}
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.ID == self })
	if i < 0 {
		return nil
	}
	node := nodes[i]
	byDataCentre, byRegion := groupNodes(nodes)
	g.addRing(byDataCentre[node.DataCentre])
	g.addBridges(node.DataCentre, byRegion[node.Region], dataCentreShortcuts, func(dc string) []string {
		return sortedByHash(byDataCentre[dc], "datacentre/"+dc)
	})
	g.addBridges(node.Region, sortedKeys(byRegion), regionShortcuts, func(region string) []string {
		return regionBridges(region, byRegion[region], byDataCentre)
	})
	return sortedKeys(g.ids)
}

// neighbourSet collects the neighbours of one member.
type neighbourSet struct {
	self string
	ids  map[string]bool
}

func (g *neighbourSet) add(id string) {
	if id != g.self {
		g.ids[id] = true
	}
}

// addRing adds the neighbours in the member's own data centre.
func (g *neighbourSet) addRing(members []string) {
	order := sortedByHash(members, "ring")
	for _, i := range ringNeighbours(len(order), slices.Index(order, g.self), memberShortcuts) {
		g.add(order[i])
	}
}

// addBridges adds the neighbours in other groups if the member is a bridge of
// its own group. Each bridge of a group is connected to the bridge of the same
// rank in the neighbouring groups on the ring of groups; a group with too few
// bridges uses them repeatedly.
func (g *neighbourSet) addBridges(ownGroup string, groups []string, shortcuts int, bridgesOf func(string) []string) {
	ownBridges := bridgesOf(ownGroup)
	if !slices.Contains(ownBridges[:min(bridgeCount, len(ownBridges))], g.self) {
		return
	}
	order := sortedByHash(groups, "groups")
	for _, i := range ringNeighbours(len(order), slices.Index(order, ownGroup), shortcuts) {
		otherBridges := bridgesOf(order[i])
		for rank := range bridgeCount {
			if ownBridges[rank%len(ownBridges)] == g.self {
				g.add(otherBridges[rank%len(otherBridges)])
			}
		}
	}
}

// regionBridges returns the members that connect a region to other regions,
// best first: one from each data centre in turn.
func regionBridges(region string, dataCentres []string, byDataCentre map[string][]string) []string {
	order := sortedByHash(dataCentres, "region/"+region)
	var out []string
	for round := 0; len(out) < bridgeCount; round++ {
		before := len(out)
		for _, dc := range order {
			members := sortedByHash(byDataCentre[dc], "region/"+region)
			if round < len(members) && len(out) < bridgeCount {
				out = append(out, members[round])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// ringNeighbours returns the positions that are connected to position i on a
// ring of n positions.
func ringNeighbours(n, i, shortcuts int) []int {
	var out []int
	for _, step := range ringOffsets(n, shortcuts) {
		for _, j := range []int{(i + step) % n, (i - step + n) % n} {
			if j != i && !slices.Contains(out, j) {
				out = append(out, j)
			}
		}
	}
	return out
}

// ringOffsets returns the distances that the shortcuts of a ring of n positions
// span: every distance up to half the ring if those are few, otherwise powers
// of a root of n that span the ring.
func ringOffsets(n, shortcuts int) []int {
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

// sortedByHash returns names sorted by a salted hash, so that the order differs
// from one purpose to another.
func sortedByHash(names []string, salt string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{name, xxhash.Sum64String(salt + "\x00" + name)})
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

// groupNodes returns the members of each data centre and the data centres of
// each region.
func groupNodes(nodes []Node) (byDataCentre, byRegion map[string][]string) {
	byDataCentre, byRegion = map[string][]string{}, map[string][]string{}
	for _, n := range nodes {
		if len(byDataCentre[n.DataCentre]) == 0 {
			byRegion[n.Region] = append(byRegion[n.Region], n.DataCentre)
		}
		byDataCentre[n.DataCentre] = append(byDataCentre[n.DataCentre], n.ID)
	}
	return byDataCentre, byRegion
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
