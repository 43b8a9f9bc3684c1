package duty

import (
	"fmt"
	"testing"

	"bilberrytiller.example/tiller/coordination/membership"
)

// fleet returns the members of three regions in turn.
func fleet(hosts int) []membership.Member {
	var out []membership.Member
	for i := range hosts {
		out = append(out, membership.Member{ID: fmt.Sprintf("host-%d", i), Incarnation: fmt.Sprintf("inc-%d", i), Region: fmt.Sprintf("region-%d", i%3)})
	}
	return out
}

func viewOf(members []membership.Member) *membership.View {
	return membership.NewView(members[0], members)
}

func TestHolderMovesOnlyWithItsMember(t *testing.T) {
	members := fleet(9)
	before := viewOf(members)
	members = fleet(9)
	members[4].State = membership.Leaving
	after := viewOf(members)
	for i := range 200 {
		name := fmt.Sprintf("upstream/%d", i)
		was, _ := Holder(before, name, "")
		is, ok := Holder(after, name, "")
		if !ok || is.ID == members[4].ID || (was.ID != members[4].ID && is.ID != was.ID) {
			t.Errorf("%s moved from %s to %s", name, was.ID, is.ID)
		}
	}
}

func TestHolderIsOfTheRegionWhileItHasOne(t *testing.T) {
	members := fleet(9)
	if m, _ := Holder(viewOf(members), "upstream/a", "region-1"); m.Region != "region-1" {
		t.Errorf("%s of %s holds a duty of region-1", m.ID, m.Region)
	}
	for i := range members {
		if members[i].Region == "region-1" {
			members[i].State = membership.Dead
		}
	}
	if m, ok := Holder(viewOf(members), "upstream/a", "region-1"); !ok || m.Region == "region-1" {
		t.Errorf("without region-1, %q holds its duty", m.ID)
	}
}

func TestDutyOfSeveralIsCarriedByThatMany(t *testing.T) {
	for _, hosts := range []int{3, 9, 300} {
		members := fleet(hosts)
		members[0].State = membership.Suspect
		members[1].State = membership.Leaving
		view := viewOf(members)
		carriers := map[string]int{}
		for _, m := range members {
			if IsAmongHolders(view, m.ID, "relay", m.Region, 2) {
				carriers[m.Region]++
			}
			if m.State == membership.Leaving && IsAmongHolders(view, m.ID, "relay", m.Region, hosts) {
				t.Errorf("%s carries a duty while it leaves", m.ID)
			}
		}
		usable := map[string]int{"region-0": hosts / 3, "region-1": hosts/3 - 1, "region-2": hosts / 3}
		for region, n := range usable {
			if want := min(n, 2); carriers[region] != want {
				t.Errorf("%d of %d members of %s are relays, want %d", carriers[region], n, region, want)
			}
		}
	}
}
