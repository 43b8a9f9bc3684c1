package upstream

import (
	"fmt"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/state/routing"
)

var (
	regions = map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	start   = time.Unix(1000, 0)
)

func backend(id, zone string) routing.Backend {
	return routing.Backend{ID: id, StartedAtMs: 1, Service: "stock", Address: "10.0.0.1:" + id[2:], Zone: zone, Slots: 4}
}

func newTestBalancer(zone string) *Balancer {
	balancer := NewBalancer(Locality{Zone: zone, Region: regions[zone]}, regions)
	balancer.random = func() float64 { return 0 }
	balancer.Configure(map[string]routing.Service{"stock": {ColdPeriod: 3 * time.Second, ColdRate: 22}})
	for i, z := range []string{"n1", "n1", "n2", "n2", "s1", "s1"} {
		balancer.Put(backend(fmt.Sprintf("i-%d", 8001+i), z), start)
	}
	return balancer
}

func newRequest(key string) Request {
	return Request{
		Service: "stock", Key: key, Route: &routing.Route{}, ObjectiveLeft: 200 * time.Millisecond,
		TimeLeft: time.Second, ColdRate: 22, DaemonCount: 9,
	}
}

func mustChoose(t *testing.T, balancer *Balancer, r Request, now time.Time) *Choice {
	t.Helper()
	c, refusal := balancer.Choose(r, now)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return c
}

func TestDaemonsChooseSameServerForObject(t *testing.T) {
	one, other := newTestBalancer("n1"), newTestBalancer("s1")
	for i := range 100 {
		r := newRequest(fmt.Sprint(i))
		a, b := mustChoose(t, one, r, start), mustChoose(t, other, r, start)
		if a.Backend.ID != b.Backend.ID {
			t.Fatalf("object %d: %s and %s", i, a.Backend.ID, b.Backend.ID)
		}
		a.Done(Result{Outcome: Answered}, start)
		b.Done(Result{Outcome: Answered}, start)
	}
}

func withBody(key string, bytes int64) Request {
	r := newRequest(key)
	r.BodyBytes = bytes
	return r
}

// crashOnBodies lets the home server of an object crash on two bodies of 2 MB, and sends
// another one to it afterwards.
func crashOnBodies(t *testing.T, balancer *Balancer, key string) {
	t.Helper()
	first, second := mustChoose(t, balancer, withBody(key, 2<<20), start), mustChoose(t, balancer, withBody(key, 2<<20), start)
	first.Done(Result{Outcome: Lost}, start)
	second.Done(Result{Outcome: Lost}, start)
	if service, limit := balancer.RecordCrash(first.Backend.Incarnation(), start); service != "stock" || limit != 2<<20 {
		t.Fatalf("got service %q and limit %d, want stock and 2 MB", service, limit)
	}
	if c := mustChoose(t, balancer, withBody(key, 2<<20), start); c.Backend.ID != first.Backend.ID {
		t.Fatalf("the body goes to %s, want the free home server", c.Backend.ID)
	}
}

// TestBodiesThatNoServerCanHoldAreRefused guards against bodies that crash one server after
// the other, and against refusals of small ones beside them.
func TestBodiesThatNoServerCanHoldAreRefused(t *testing.T) {
	balancer := newTestBalancer("n1")
	crashOnBodies(t, balancer, "7")
	for range 5 {
		mustChoose(t, balancer, withBody("7", 2<<20), start)
	}
	if _, refusal := balancer.Choose(withBody("7", 2<<20), start); refusal == nil || refusal.Reason != ReasonBodies || refusal.RetryAfter <= 0 {
		t.Errorf("got %+v, want a refusal because of bodies, with a delay", refusal)
	}
	mustChoose(t, balancer, withBody("7", 4<<10), start)
	if _, limit := balancer.RecordCrash(backend("i-8001", "n1").Incarnation(), start); limit != 0 {
		t.Errorf("got limit %d because of a server that lost no connection, want none", limit)
	}
}

// TestExcludedServersAreNotChosen covers each state that excludes a server.
func TestExcludedServersAreNotChosen(t *testing.T) {
	key := "7"
	home := mustChoose(t, newTestBalancer("n1"), newRequest(key), start).Backend
	cases := map[Standing]func(balancer *Balancer) Request{
		Standing(availability.Draining): func(balancer *Balancer) Request {
			b := home
			b.Draining = true
			balancer.Put(b, start)
			return newRequest(key)
		},
		"removed": func(balancer *Balancer) Request { balancer.Remove(home.ID, start); return newRequest(key) },
		StandingEvacuated: func(balancer *Balancer) Request {
			balancer.SetEvacuated(home.Zone, true, start)
			return newRequest(key)
		},
		StandingMissing: func(balancer *Balancer) Request { balancer.MarkMissing(home.ID); return newRequest(key) },
		Standing(availability.Unreachable): func(balancer *Balancer) Request {
			mustChoose(t, balancer, newRequest(key), start).Done(Result{Outcome: Unreachable}, start)
			return newRequest(key)
		},
		Standing(availability.Misdirected): func(balancer *Balancer) Request {
			mustChoose(t, balancer, newRequest(key), start).Done(Result{Outcome: Misdirected}, start)
			return newRequest(key)
		},
		StandingUnhealthy: func(balancer *Balancer) Request {
			for range 8 {
				mustChoose(t, balancer, newRequest(key), start).Done(Result{Outcome: Failed}, start)
			}
			return newRequest(key)
		},
		// Where most entries are missing, a server is not left out for that.
		Standing(availability.Leaving): func(balancer *Balancer) Request {
			mustChoose(t, balancer, newRequest(key), start).Done(Result{Outcome: Answered, Signal: availability.Signal{Leaving: true}}, start)
			for id := range balancer.servers {
				balancer.MarkMissing(id)
			}
			return newRequest(key)
		},
		StandingRateLimit: func(balancer *Balancer) Request {
			limit := RateLimit(1)
			mustChoose(t, balancer, newRequest(key), start).Done(Result{Outcome: Answered, RateLimit: &limit}, start.Add(time.Millisecond))
			return newRequest(key)
		},
		StandingBodies: func(balancer *Balancer) Request {
			crashOnBodies(t, balancer, key)
			return withBody(key, 2<<20)
		},
		StandingTried: func(*Balancer) Request {
			r := newRequest(key)
			r.Tried = []routing.Incarnation{home.Incarnation()}
			return r
		},
		StandingOtherRegion: func(*Balancer) Request {
			r := newRequest(key)
			r.Route = &routing.Route{Regions: []string{otherRegion(regions[home.Zone])}}
			return r
		},
	}
	for standing, prepare := range cases {
		t.Run(string(standing), func(t *testing.T) {
			balancer := newTestBalancer("n1")
			r := prepare(balancer)
			for _, s := range balancer.Explain(r, start.Add(time.Millisecond)).Servers {
				if s.ID == home.ID && s.Standing != standing {
					t.Errorf("explained the server as %s, want %s", s.Standing, standing)
				}
			}
			if c := mustChoose(t, balancer, r, start.Add(time.Millisecond)); c.Backend.ID == home.ID {
				t.Errorf("chose %s, which is excluded", home.ID)
			}
		})
	}
}

// TestServersAreExplainedInOrder guards against an explanation that lists the servers in
// another order than that in which a request is sent to them.
func TestServersAreExplainedInOrder(t *testing.T) {
	for i := range 10 {
		balancer, r := newTestBalancer("n1"), newRequest(fmt.Sprint(i))
		for place, s := range balancer.Explain(r, start).Servers {
			c := mustChoose(t, balancer, r, start)
			if c.Backend.ID != s.ID {
				t.Errorf("object %d: chose %s in place %d, explained was %s", i, c.Backend.ID, place, s.ID)
			}
			r.Tried = append(r.Tried, c.Backend.Incarnation())
		}
	}
}

func otherRegion(region string) string {
	if region == "north" {
		return "south"
	}
	return "north"
}

// TestObjectsStayWhenAllServersFailAlike guards against moving objects while
// every server of a service sheds half of its requests. Objects then moved to
// other servers, which failed as often and had not cached them, so the worth of
// the requests served on such days was low.
func TestObjectsStayWhenAllServersFailAlike(t *testing.T) {
	balancer := newTestBalancer("n1")
	homes := map[string]string{}
	for i := range 30 {
		c := mustChoose(t, balancer, newRequest(fmt.Sprint(i)), start)
		homes[fmt.Sprint(i)] = c.Backend.ID
		c.Done(Result{Outcome: Answered}, start)
	}
	for range 40 {
		for i := range 30 {
			mustChoose(t, balancer, newRequest(fmt.Sprint(i)), start).Done(Result{Outcome: Failed}, start)
		}
	}
	for key, home := range homes {
		c := mustChoose(t, balancer, newRequest(key), start)
		if c.Backend.ID != home {
			t.Errorf("object %s moved from %s to %s", key, home, c.Backend.ID)
		}
		c.Done(Result{Outcome: Failed}, start)
	}
}

func TestHealthIsRelativeToServiceBaseline(t *testing.T) {
	srv := newServer(backend("i-8001", "n1"), "north")
	for range 10 {
		srv.updateFailureAverage(failureWeight, 1, start)
	}
	if srv.healthy(serviceBaseline{}, start) {
		t.Errorf("server with failure average %.2f is healthy among servers without failures", srv.failureAverage(start))
	}
	if !srv.healthy(serviceBaseline{failures: 0.5}, start) {
		t.Error("server that fails as often as the others is unhealthy")
	}
}

func TestServerFailingInRegionGetsOnlyProbes(t *testing.T) {
	balancer := newTestBalancer("n1")
	home := mustChoose(t, balancer, newRequest("7"), start)
	home.Done(Result{Outcome: Answered}, start)
	balancer.SetRegionFailures([]FailureCount{{ID: home.Backend.ID, Failed: 5, Total: 10}}, start)
	sent := 0
	for i := range 10 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		balancer.SetRegionFailures([]FailureCount{{ID: home.Backend.ID, Failed: 5, Total: 10}}, now)
		c := mustChoose(t, balancer, newRequest("7"), now)
		c.Done(Result{Outcome: Answered}, now)
		if c.Backend.ID == home.Backend.ID {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d of 10 requests in 1 s went to a server that fails half of the region's requests, want 1 probe", sent)
	}
	if c := mustChoose(t, balancer, newRequest("7"), start.Add(20*time.Second)); c.Backend.ID != home.Backend.ID {
		t.Error("server is still avoided 20 s after the last reported failures")
	}
}

func TestHungServerIsAvoided(t *testing.T) {
	balancer := newTestBalancer("n1")
	var home string
	for i := range 40 {
		key := fmt.Sprint(i)
		c := mustChoose(t, balancer, newRequest(key), start)
		home = c.Backend.ID
		c.Done(Result{Outcome: Answered, Load: &Load{Slots: 4}, Latency: 50 * time.Millisecond}, start)
	}
	now := start.Add(time.Second)
	for range 8 {
		c := mustChoose(t, balancer, newRequest("39"), now)
		if c.Backend.ID != home {
			return
		}
		c.Done(Result{Outcome: Abandoned, Latency: 300 * time.Millisecond}, now)
	}
	t.Error("8 consecutive requests went to a hung server")
}

func TestObjectsStayWhenAllServersFailInRegion(t *testing.T) {
	balancer := newTestBalancer("n1")
	home := mustChoose(t, balancer, newRequest("7"), start).Backend.ID
	var all []FailureCount
	for i := range 6 {
		all = append(all, FailureCount{ID: fmt.Sprint("i-", 8001+i), Failed: 5, Total: 10})
	}
	balancer.SetRegionFailures(all, start)
	for i := range 3 {
		if c := mustChoose(t, balancer, newRequest("7"), start.Add(time.Duration(i+1)*200*time.Millisecond)); c.Backend.ID != home {
			t.Errorf("object moved to %s", c.Backend.ID)
		}
	}
}

// TestOnlyAvoidedServersAreSuspected guards against reporting servers that fail as often
// as the others of their service, and so are not avoided.
func TestOnlyAvoidedServersAreSuspected(t *testing.T) {
	balancer := newTestBalancer("n1")
	var alike []FailureCount
	for i := range 6 {
		alike = append(alike, FailureCount{ID: fmt.Sprint("i-", 8001+i), Failed: 5, Total: 10})
	}
	if suspected, _ := balancer.SetRegionFailures(alike, start); len(suspected) != 0 {
		t.Errorf("%v are suspected although all fail alike", suspected)
	}
	alike[0].Failed = 9
	if suspected, _ := balancer.SetRegionFailures(alike, start); len(suspected) != 1 || suspected[0] != "i-8001" {
		t.Errorf("%v are suspected, want the one that fails more than the others", suspected)
	}
	alike[0].Failed = 5
	if _, cleared := balancer.SetRegionFailures(alike, start); len(cleared) != 1 || cleared[0] != "i-8001" {
		t.Errorf("%v are cleared, want the one that was suspected", cleared)
	}
}

func TestFailureCountsCoverFailedAndSuspectedServers(t *testing.T) {
	balancer := newTestBalancer("n1")
	c := mustChoose(t, balancer, newRequest("7"), start)
	c.Done(Result{Outcome: Answered}, start)
	if counts := balancer.FailureCounts(start); len(counts) != 0 {
		t.Errorf("got counts %+v for a server without failures", counts)
	}
	balancer.SetRegionFailures([]FailureCount{{ID: c.Backend.ID, Failed: 2, Total: 3}}, start)
	if counts := balancer.FailureCounts(start); len(counts) != 1 || counts[0] != (FailureCount{c.Backend.ID, 0, 1}) {
		t.Errorf("got counts %+v, want one successful answer", counts)
	}
	c = mustChoose(t, balancer, newRequest("7"), start)
	c.Done(Result{Outcome: Failed}, start)
	if counts := balancer.FailureCounts(start); len(counts) != 1 || counts[0].Failed != 1 {
		t.Errorf("got counts %+v, want one failure", counts)
	}
}

func TestServersAreUsedWhenAllEntriesAreMissing(t *testing.T) {
	balancer := newTestBalancer("n1")
	for _, id := range balancer.ServerIDs() {
		balancer.MarkMissing(id)
	}
	mustChoose(t, balancer, newRequest("7"), start)
}

func TestNewIncarnationStartsWithoutHistory(t *testing.T) {
	balancer := newTestBalancer("n1")
	home := mustChoose(t, balancer, newRequest("7"), start)
	home.Done(Result{Outcome: Misdirected}, start)
	again := home.Backend
	again.StartedAtMs = 2
	balancer.Put(again, start)
	if c := mustChoose(t, balancer, newRequest("7"), start); c.Backend.ID != again.ID {
		t.Errorf("got %s, want the new incarnation of %s", c.Backend.ID, again.ID)
	}
}

func TestColdServerIsRateLimited(t *testing.T) {
	balancer := newTestBalancer("n1")
	home := mustChoose(t, balancer, newRequest("7"), start).Backend
	home.ColdRemaining = 3 * time.Second
	balancer.Put(home, start)
	got := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		c := mustChoose(t, balancer, newRequest("7"), start.Add(at))
		if c.Backend.ID == home.ID {
			got++
		}
		c.Done(Result{Outcome: Answered}, start.Add(at))
	}
	if got < 1 || got > 3 {
		t.Errorf("%d requests in 1 s, want about 2.4, this daemon's share of 22", got)
	}
}

func TestServersAreColdAfterEvacuationEnds(t *testing.T) {
	balancer := newTestBalancer("n1")
	home := mustChoose(t, balancer, newRequest("7"), start).Backend
	balancer.SetEvacuated(home.Zone, true, start)
	balancer.SetEvacuated(home.Zone, false, start)
	if c := mustChoose(t, balancer, newRequest("7"), start); c.Backend.ID == home.ID {
		t.Error("server that may be cold got a request immediately")
	}
}

func TestFullServerRefusesWithRetryAfter(t *testing.T) {
	balancer := newTestBalancer("n1")
	var refusal *Refusal
	for i := 0; refusal == nil; i++ {
		if i > 1000 {
			t.Fatal("no request was refused")
		}
		_, refusal = balancer.Choose(newRequest("7"), start)
	}
	if refusal.Reason != ReasonFull || refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > maxRetryAfter {
		t.Errorf("got refusal %+v, want ReasonFull and a retry delay within bounds", refusal)
	}
}

// newBalancerWithQueue returns a balancer in which the home server of an object
// has a queue and takes 150 ms for a request, as all others do for a cold object.
func newBalancerWithQueue(t *testing.T, queued int) (balancer *Balancer, home string) {
	t.Helper()
	balancer = newTestBalancer("n1")
	first := mustChoose(t, balancer, newRequest("7"), start)
	first.Done(Result{Outcome: Answered, Load: &Load{Slots: 4}, Latency: 150 * time.Millisecond}, start)
	for range 4 + queued {
		if c := mustChoose(t, balancer, newRequest("7"), start); c.Backend.ID != first.Backend.ID {
			t.Fatalf("chose %s, but %s still has capacity", c.Backend.ID, first.Backend.ID)
		}
	}
	return balancer, first.Backend.ID
}

func TestNextServerIsChosenWhenHomeWouldMissObjective(t *testing.T) {
	balancer, home := newBalancerWithQueue(t, 1)
	if c := mustChoose(t, balancer, newRequest("7"), start); c.Backend.ID == home {
		t.Error("request joined a queue that misses its objective")
	}
	late := newRequest("7")
	late.ObjectiveLeft = 100 * time.Millisecond
	if c := mustChoose(t, balancer, late, start); c.Backend.ID != home {
		t.Error("request went to a cold server that misses the objective too")
	}
}

// TestQueueLongerThanTimeLeftIsRefused refuses at once what neither the home
// server nor one that finds the object cold can answer before the deadline.
func TestQueueLongerThanTimeLeftIsRefused(t *testing.T) {
	balancer, home := newBalancerWithQueue(t, 1)
	r := newRequest("7")
	r.ObjectiveLeft, r.TimeLeft = 100*time.Millisecond, 140*time.Millisecond
	if c, refusal := balancer.Choose(r, start); refusal == nil || refusal.Reason != ReasonFull || refusal.BestCandidate != home {
		t.Errorf("got %+v, %+v, want a refusal because the queue is longer than the time left", c, refusal)
	}
}

func TestRequestThatHomeWouldRefuseGoesToFreeServer(t *testing.T) {
	balancer, home := newBalancerWithQueue(t, 1)
	r := newRequest("7")
	r.ObjectiveLeft, r.TimeLeft = 100*time.Millisecond, 200*time.Millisecond
	if c := mustChoose(t, balancer, r, start); c.Backend.ID == home {
		t.Error("request joined a queue that outlasts its deadline although another server has free slots")
	}
}

// TestWorkFactorIsNotTheServersFault guards against avoiding servers that are
// slow only because of their neighbours, and against counting on a speed that
// was reported long ago.
func TestWorkFactorIsNotTheServersFault(t *testing.T) {
	srv := newServer(backend("i-8001", "n1"), "north")
	usual := newServer(backend("i-8002", "n1"), "north")
	for range 50 {
		srv.recordLoad(Load{Slots: 4, WorkFactor: 4}, 400*time.Millisecond, start)
		usual.recordLoad(Load{Slots: 4}, 100*time.Millisecond, start)
	}
	if baseline := (serviceBaseline{latency: 0.1}); !srv.healthy(baseline, start) {
		t.Error("a server that its neighbours slow down is not healthy")
	}
	sel := &selection{now: start}
	if got := sel.serviceTime(srv); got < 0.39 || got > 0.41 {
		t.Errorf("service time is %.3f s just after a report of factor 4, want 0.4 s", got)
	}
	sel.now = start.Add(10 * workFactorHalfLife)
	if got := sel.serviceTime(srv); got < 0.09 || got > 0.11 {
		t.Errorf("service time is %.3f s long after the report, want 0.1 s", got)
	}
	if got := sel.serviceTime(usual); got < 0.09 || got > 0.11 {
		t.Errorf("service time is %.3f s without a factor, want 0.1 s", got)
	}
}

// TestRoundTripIsNotQueueTime guards against refusing requests to distant
// servers because each request in their queue was counted with a round trip.
func TestRoundTripIsNotQueueTime(t *testing.T) {
	srv := newServer(backend("i-8001", "s1"), "south")
	srv.recordRoundTrip(100 * time.Millisecond)
	srv.recordLoad(Load{Slots: 4}, 150*time.Millisecond, start)
	srv.inflight, srv.report.at = 7, time.Time{}
	sel := &selection{now: start}
	if got, want := sel.expectedLatency(srv), 200*time.Millisecond; got < want-time.Millisecond || got > want+time.Millisecond {
		t.Errorf("expected latency is %s, want %s: a round trip of 100 ms, 50 ms in the queue and 50 ms of work", got, want)
	}
}

func TestSlowServerIsAvoidedAndProbed(t *testing.T) {
	balancer := newTestBalancer("n1")
	load := &Load{Slots: 4}
	home := mustChoose(t, balancer, newRequest("7"), start)
	home.Done(Result{Outcome: Answered, Load: load, Latency: time.Second}, start)
	for i := range 50 {
		c := mustChoose(t, balancer, newRequest(fmt.Sprint("o", i)), start)
		latency := 50 * time.Millisecond
		if c.Backend.ID == home.Backend.ID {
			latency = time.Second
		}
		c.Done(Result{Outcome: Answered, Load: load, Latency: latency}, start)
	}
	later := start.Add(baselineInterval)
	probes := 0
	for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
		c := mustChoose(t, balancer, newRequest("7"), later.Add(at))
		if c.Backend.ID == home.Backend.ID {
			probes++
		}
		c.Done(Result{Outcome: Abandoned}, later.Add(at))
	}
	if probes < 2 || probes > 5 {
		t.Errorf("%d requests to a slow server in 2 s, want one probe per %s", probes, probeInterval)
	}
}
