package upstream

import (
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

// competing returns a balancer for whose service two ranks compete.
func competing() *Balancer {
	b := newTestBalancer("n1")
	var routes []routing.Route
	for rank := range 2 {
		routes = append(routes, routing.Route{Priority: rank, TrafficSplit: []routing.WeightedService{{Service: "stock", Weight: 1}}})
	}
	b.ConfigureRanks(routing.New(1, routes, nil, routing.ClientLimits{}))
	return b
}

// TestSharedLoads guards against loads that go back up the relay tree, that replace
// newer ones, and that are told where no ranks compete.
func TestSharedLoads(t *testing.T) {
	b, child := competing(), competing()
	mustChoose(t, child, newRequest("7"), start).Done(Result{Outcome: Answered, Load: &Load{Running: 4, Waiting: 5, Slots: 4}}, start)
	told := child.SharedLoads(false, start)
	if len(told) != 1 || told[0].Requests != 9 {
		t.Fatalf("told %+v, want one server with 9 requests", told)
	}
	now := start.Add(200 * time.Millisecond)
	b.ApplySharedLoads(told, true, now)
	if up, down := b.SharedLoads(false, now), b.SharedLoads(true, now); len(up) != 0 || len(down) != 1 || down[0] != told[0] {
		t.Errorf("told the relay %+v and callers %+v, want only callers to be told %+v", up, down, told[0])
	}
	home := b.bySharedID[told[0].Server]
	if got := home.expectedRequests(now); got < 6 || got > 9 {
		t.Errorf("%.1f requests expected, want nearly 9", got)
	}
	older := SharedLoad{Server: told[0].Server, Requests: 1, At: start.Add(-time.Millisecond)}
	b.ApplySharedLoads([]SharedLoad{older}, true, now)
	if home.learned.total != 9 {
		t.Errorf("an older load replaced the latest one: %+v", home.learned)
	}
	if got := b.SharedLoads(true, start.Add(2*maxSharedLoadAge)); len(got) != 0 {
		t.Errorf("told %+v, which is too old", got)
	}
	alone := newTestBalancer("n1")
	mustChoose(t, alone, newRequest("7"), start).Done(Result{Outcome: Answered, Load: &Load{Running: 4, Slots: 4}}, start)
	alone.ApplySharedLoads(told, true, now)
	if got := alone.SharedLoads(true, now); len(got) != 0 {
		t.Errorf("told %+v although no ranks compete", got)
	}
}

// TestRanksOfAConfiguration guards against limits for services that only one rank
// uses, and against missing those that organisations bring.
func TestRanksOfAConfiguration(t *testing.T) {
	split := []routing.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "unused", Weight: 0}}
	routes := []routing.Route{{Name: "r", Priority: 1, TrafficSplit: split}, {Name: "s", Priority: 2, TrafficSplit: split[1:]}}
	c := routing.New(1, routes, nil, routing.ClientLimits{})
	if got := policies(c); len(got) != 1 || got["b"] == nil {
		t.Errorf("ranks compete for %v, want only b", got)
	}
	zero := 0
	if err := c.SetOrganisations([]routing.Organisation{{Name: "x", Priority: &zero}, {Name: "y"}}, nil); err != nil {
		t.Fatal(err)
	}
	if got := policies(c); len(got) != 2 || got["a"].Positions() != 2 || got["b"].Positions() != 3 {
		t.Errorf("ranks compete for %v, want two for a and three for b", got)
	}
}

// TestExplainingCountsNothing guards against explanations that change which requests are
// sent, by counting as requests of their rank.
func TestExplainingCountsNothing(t *testing.T) {
	b := competing()
	r := newRequest("7")
	r.Rank = 1
	for range 100 {
		if x := b.Explain(r, start); x.Chosen == "" || x.Reason != ReasonRank {
			t.Fatalf("got %+v, want a server chosen by rank", x)
		}
	}
	if demand := b.competitions["stock"].shares.Demand(2, start); demand != nil {
		t.Errorf("got demand %v by rank after explanations alone, want none", demand)
	}
	if c := mustChoose(t, b, r, start); c.EstimatedRequests != 0 {
		t.Errorf("%d requests at the server after explanations alone, want none", c.EstimatedRequests)
	}
}
