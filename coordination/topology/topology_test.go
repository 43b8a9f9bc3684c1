package topology

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
)

const largeHosts, largeRegions, largeDataCentres = 5500, 16, 62

// largeFleet returns the nodes and the graph of a large fleet.
var largeFleet = lazyFleet(largeHosts, largeRegions, largeDataCentres)

// lazyFleet returns a function that builds a fleet and its graph on its first
// call.
func lazyFleet(hosts, regions, dataCentres int) func() ([]Node, map[string][]string) {
	return sync.OnceValues(func() ([]Node, map[string][]string) {
		nodes := newFleet(hosts, regions, dataCentres)
		return nodes, buildGraph(nodes)
	})
}

// newFleet returns nodes distributed round-robin over data centres and regions.
func newFleet(hosts, regions, dataCentres int) []Node {
	var out []Node
	for i := range hosts {
		dc := i % dataCentres
		out = append(out, Node{ID: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc%regions)})
	}
	return out
}

func buildGraph(nodes []Node) map[string][]string {
	g := map[string][]string{}
	for _, n := range nodes {
		g[n.ID] = Neighbours(nodes, n.ID)
	}
	return g
}

// distances returns the number of hops from one member to every member that it
// reaches without the failed ones.
func distances(g map[string][]string, from string, failed ...string) map[string]int {
	dist := map[string]int{from: 0}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range g[queue[0]] {
			if _, seen := dist[next]; !seen && !slices.Contains(failed, next) {
				dist[next] = dist[queue[0]] + 1
				queue = append(queue, next)
			}
		}
	}
	return dist
}

func TestDegreeAndDiameterBounds(t *testing.T) {
	for _, size := range []struct {
		hosts    int
		fleet    func() ([]Node, map[string][]string)
		degree   int
		diameter int
	}{
		{9, lazyFleet(9, 3, 6), 8, 3},
		{100, lazyFleet(100, 4, 10), MaxDegree, 7},
		{largeHosts, largeFleet, MaxDegree, 20},
	} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			nodes, g := size.fleet()
			for id, neighbours := range g {
				if len(neighbours) > size.degree {
					t.Errorf("%s has %d neighbours, want at most %d", id, len(neighbours), size.degree)
				}
				for _, n := range neighbours {
					if !slices.Contains(g[n], id) {
						t.Errorf("%s is a neighbour of %s, but not vice versa", n, id)
					}
				}
			}
			diameter := 0
			for _, n := range nodes[:min(20, len(nodes))] {
				dist := distances(g, n.ID)
				if len(dist) != len(nodes) {
					t.Fatalf("%s reaches %d of %d members", n.ID, len(dist), len(nodes))
				}
				for _, d := range dist {
					diameter = max(diameter, d)
				}
			}
			t.Logf("diameter %d", diameter)
			if diameter > size.diameter {
				t.Errorf("diameter %d, want at most %d", diameter, size.diameter)
			}
		})
	}
}

func TestConnectedAfterAnyTwoFailures(t *testing.T) {
	for _, size := range [][3]int{{9, 3, 6}, {100, 4, 10}} {
		nodes := newFleet(size[0], size[1], size[2])
		g := buildGraph(nodes)
		for a := range nodes {
			for b := range a {
				checkConnected(t, nodes, g, nodes[a].ID, nodes[b].ID)
			}
		}
	}
}

// TestLargeFleetConnectedAfterTwoFailures removes random pairs of neighbours.
func TestLargeFleetConnectedAfterTwoFailures(t *testing.T) {
	nodes, g := largeFleet()
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		a := nodes[random.IntN(len(nodes))].ID
		b := g[a][random.IntN(len(g[a]))]
		checkConnected(t, nodes, g, a, b)
	}
}

func checkConnected(t *testing.T, nodes []Node, g map[string][]string, failed ...string) {
	t.Helper()
	start := slices.IndexFunc(nodes, func(n Node) bool { return !slices.Contains(failed, n.ID) })
	if got := len(distances(g, nodes[start].ID, failed...)); got != len(nodes)-len(failed) {
		t.Errorf("without %v, %d of %d members are connected", failed, got, len(nodes)-len(failed))
	}
}

func TestOrderOfMembersDoesNotMatter(t *testing.T) {
	nodes := newFleet(100, 4, 10)
	reversed := slices.Clone(nodes)
	slices.Reverse(reversed)
	for _, n := range nodes {
		if !slices.Equal(Neighbours(nodes, n.ID), Neighbours(reversed, n.ID)) {
			t.Errorf("neighbours of %s depend on the order of the list", n.ID)
		}
	}
}
