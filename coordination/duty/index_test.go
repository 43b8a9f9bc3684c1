package duty

import (
	"fmt"
	"slices"
	"testing"

	"bilberrytiller.example/tiller/coordination/membership"
)

// fleetView returns a view of hosts in 62 data centres and 16 regions, some of
// them dead.
func fleetView(hosts int) *membership.View {
	const dataCentres, regions = 62, 16
	members := make([]membership.Member, hosts)
	for i := range members {
		members[i] = membership.Member{
			ID: fmt.Sprintf("host-%d", i), Incarnation: fmt.Sprint(i),
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Region: fmt.Sprintf("region-%d", i%dataCentres%regions),
		}
		if i%7 == 0 || i%dataCentres%regions == 3 {
			members[i].State = membership.Dead
		}
	}
	return membership.NewView(members[1], members)
}

func TestIndexMatchesHolder(t *testing.T) {
	view := fleetView(200)
	index := NewIndex(view)
	for i := range 500 {
		name, region := fmt.Sprintf("upstream/%d", i), fmt.Sprintf("region-%d", i%17)
		want, wantOK := Holder(view, name, region)
		if got, ok := index.Holder(name, region); got != want || ok != wantOK {
			t.Fatalf("%s in %s: index returned %s, want %s", name, region, got.ID, want.ID)
		}
	}
}

func TestCandidatesAreFailoverOrder(t *testing.T) {
	const inside, outside = 4, 2
	view := fleetView(200)
	members := slices.Clone(view.Members())
	for i := range members {
		members[i].State = membership.Alive
	}
	candidates := Candidates(view, "upstream/1", "region-1", inside, outside)
	insideFound := 0
	for _, want := range candidates {
		holder, ok := Holder(membership.NewView(view.Self, members), "upstream/1", "region-1")
		if !ok || holder.ID != want.ID && want.Region == "region-1" {
			t.Fatalf("holder is %s, want candidate %s", holder.ID, want.ID)
		}
		if want.Region == "region-1" {
			insideFound++
		}
		i := slices.IndexFunc(members, func(m membership.Member) bool { return m.ID == holder.ID })
		members[i].State = membership.Dead
	}
	if len(candidates) != inside+outside || insideFound != inside {
		t.Errorf("%d candidates, %d of them in the region, want %d and %d", len(candidates), insideFound, inside+outside, inside)
	}
}

func BenchmarkHolder(b *testing.B) {
	for _, hosts := range []int{9, 100, 1_000, 5_500} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			index := NewIndex(fleetView(hosts))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				index.Holder("upstream/upstream-17", "region-1")
			}
		})
	}
}
