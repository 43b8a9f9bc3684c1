package daemon

import (
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/limit"
	"bilberrytiller.example/tiller/coordination/membership"
)

func TestFirstSharesAreLeftToOtherHosts(t *testing.T) {
	const region = "region-0"
	self := membership.Member{ID: "host-0", Incarnation: "0", Region: region}
	alive := membership.Member{ID: "alive", Incarnation: "1", Region: region}
	dead := membership.Member{ID: "dead", Incarnation: "1", Region: region, State: membership.Dead}
	leaving := membership.Member{ID: "leaving", Incarnation: "1", Region: region, State: membership.Leaving}
	starting := membership.Member{ID: "starting", Region: region, State: membership.Dead}
	elsewhere := membership.Member{ID: "elsewhere", Incarnation: "1", Region: "region-1"}
	for _, c := range []struct {
		name    string
		group   string
		members []membership.Member
		// ranFor and plannedFor are the times since the start and the first plan.
		ranFor, plannedFor time.Duration
		// owners is the number of hosts that the parts are divided among, or 0 if
		// the daemon owns none.
		owners int
	}{
		{"alone and just started", fleetGroup, nil, 0, 0, 0},
		{"alone", fleetGroup, nil, firstMemberTimeout, 0, 1},
		{"one of three", fleetGroup, []membership.Member{alive, elsewhere}, 0, 0, 3},
		{"one of two in its region", regionGroup(region), []membership.Member{alive, elsewhere}, 0, 0, 2},
		{"a listed host may be starting", fleetGroup, []membership.Member{starting}, 0, 0, 2},
		{"hosts that end", fleetGroup, []membership.Member{dead, leaving}, 0, 0, 1},
		{"hosts that took no share in time", fleetGroup, []membership.Member{alive, starting}, firstSharesPeriod, firstSharesPeriod, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := benchDaemon(t, 1, "error")
			d.view.Store(membership.NewView(self, append(c.members, self)))
			s := d.limits.shares[c.group]
			d.limits.started = time.Now().Add(-c.ranFor)
			s.firstPlan = time.Now().Add(-c.plannedFor)
			planned, _, ready := d.limits.planShares(s)
			want := 0
			if c.owners > 0 {
				want = limit.TotalParts / c.owners
			}
			if got := planned.Owners[self.ID].Parts(); got != want || ready != (c.owners > 0) {
				t.Errorf("planned %d parts, ready %v, want %d", got, ready, want)
			}
		})
	}
}
