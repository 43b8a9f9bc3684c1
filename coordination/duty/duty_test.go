package duty

import (
	"fmt"
	"testing"

	"bilberrytiller.example/tiller/coordination/membership"
)

// fleet returns hosts that are distributed evenly over three regions.
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

func TestHolderChangesOnlyForLeavingMember(t *testing.T) {
	members := fleet(9)
	before := viewOf(members)
	members = fleet(9)
	members[4].State = membership.Leaving
	after := viewOf(members)
	for i := range 200 {
		name := fmt.Sprintf("upstream/%d", i)
		oldHolder, _ := Holder(before, name, "")
		newHolder, ok := Holder(after, name, "")
		if !ok || newHolder.ID == members[4].ID || (oldHolder.ID != members[4].ID && newHolder.ID != oldHolder.ID) {
			t.Errorf("%s moved from %s to %s", name, oldHolder.ID, newHolder.ID)
		}
	}
}

func TestHolderPrefersRegion(t *testing.T) {
	members := fleet(9)
	if m, _ := Holder(viewOf(members), "upstream/a", "region-1"); m.Region != "region-1" {
		t.Errorf("%s of %s holds a duty of region-1, want a member of region-1", m.ID, m.Region)
	}
	for i := range members {
		if members[i].Region == "region-1" {
			members[i].State = membership.Dead
		}
	}
	if m, ok := Holder(viewOf(members), "upstream/a", "region-1"); !ok || m.Region == "region-1" {
		t.Errorf("without usable members in region-1 the holder is %q, want one of another region", m.ID)
	}
}

func TestIsAmongHoldersSelectsCountMembers(t *testing.T) {
	for _, hosts := range []int{3, 9, 300} {
		members := fleet(hosts)
		members[0].State = membership.Suspect
		members[1].State = membership.Leaving
		view := viewOf(members)
		holders := map[string]int{}
		for _, m := range members {
			if IsAmongHolders(view, m.ID, "relay", m.Region, 2) {
				holders[m.Region]++
			}
			if m.State == membership.Leaving && IsAmongHolders(view, m.ID, "relay", m.Region, hosts) {
				t.Errorf("%s is among the holders although it is leaving", m.ID)
			}
		}
		usable := map[string]int{"region-0": hosts / 3, "region-1": hosts/3 - 1, "region-2": hosts / 3}
		for region, n := range usable {
			if want := min(n, 2); holders[region] != want {
				t.Errorf("%d of %d members of %s are holders, want %d", holders[region], n, region, want)
			}
		}
	}
}
