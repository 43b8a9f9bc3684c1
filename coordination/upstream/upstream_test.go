package upstream

import (
	"fmt"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

var (
	regions = map[string]string{"n1": "north", "n2": "north", "s1": "south"}
	start   = time.Unix(1000, 0)
)

func backend(id, zone string) routing.Backend {
	return routing.Backend{ID: id, StartedAtMs: 1, Service: "stock", Address: "10.0.0.1:" + id[2:], Zone: zone, Slots: 4}
}

func fleet(zone string) *Balancer {
	s := NewBalancer(Locality{Zone: zone, Region: regions[zone]}, regions)
	s.random = func() float64 { return 0 }
	s.Configure(map[string]routing.Service{"stock": {ColdPeriod: 3 * time.Second, ColdRate: 22}})
	for i, z := range []string{"n1", "n1", "n2", "n2", "s1", "s1"} {
		s.Put(backend(fmt.Sprintf("i-%d", 8001+i), z), start)
	}
	return s
}

func ask(key string) Request {
	return Request{
		Service: "stock", Key: key, Route: &routing.Route{}, ObjectiveLeft: 200 * time.Millisecond,
		TimeLeft: time.Second, ColdRate: 22, DaemonCount: 9,
	}
}

func mustChoose(t *testing.T, s *Balancer, r Request, now time.Time) *Choice {
	t.Helper()
	c, refusal := s.Choose(r, now)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return c
}

func TestEveryDaemonSendsAnObjectToTheSameServer(t *testing.T) {
	one, other := fleet("n1"), fleet("s1")
	for i := range 100 {
		r := ask(fmt.Sprint(i))
		a, b := mustChoose(t, one, r, start), mustChoose(t, other, r, start)
		if a.Backend.ID != b.Backend.ID {
			t.Fatalf("object %d: %s and %s", i, a.Backend.ID, b.Backend.ID)
		}
		a.Done(Result{Outcome: Answered}, start)
		b.Done(Result{Outcome: Answered}, start)
	}
}

// TestUnfitServersGetNothing names each state that keeps requests away.
func TestUnfitServersGetNothing(t *testing.T) {
	key := "7"
	home := mustChoose(t, fleet("n1"), ask(key), start).Backend
	cases := map[string]func(s *Balancer) Request{
		"draining": func(s *Balancer) Request { b := home; b.Draining = true; s.Put(b, start); return ask(key) },
		"gone":     func(s *Balancer) Request { s.Remove(home.ID); return ask(key) },
		"evacuated": func(s *Balancer) Request {
			s.SetEvacuated(home.Zone, true, start)
			return ask(key)
		},
		"missing": func(s *Balancer) Request { s.MarkMissing(home.ID); return ask(key) },
		"unreachable": func(s *Balancer) Request {
			mustChoose(t, s, ask(key), start).Done(Result{Outcome: Unreachable}, start)
			return ask(key)
		},
		"misdirected": func(s *Balancer) Request {
			mustChoose(t, s, ask(key), start).Done(Result{Outcome: Misdirected}, start)
			return ask(key)
		},
		"faulty": func(s *Balancer) Request {
			for range 8 {
				mustChoose(t, s, ask(key), start).Done(Result{Outcome: Failed}, start)
			}
			return ask(key)
		},
		"tried": func(*Balancer) Request { r := ask(key); r.Tried = []routing.Incarnation{home.Incarnation()}; return r },
		"outside its route's regions": func(*Balancer) Request {
			r := ask(key)
			r.Route = &routing.Route{Regions: []string{other(regions[home.Zone])}}
			return r
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			s := fleet("n1")
			r := spoil(s)
			if c := mustChoose(t, s, r, start.Add(time.Millisecond)); c.Backend.ID == home.ID {
				t.Errorf("%s still gets the request", home.ID)
			}
		})
	}
}

func other(region string) string {
	if region == "north" {
		return "south"
	}
	return "north"
}

// TestServersThatAllFailAlikeKeepTheirObjects is the fault behind the low
// worth of days on which every server of a service sheds half of its requests.
func TestServersThatAllFailAlikeKeepTheirObjects(t *testing.T) {
	s := fleet("n1")
	homes := map[string]string{}
	for i := range 30 {
		c := mustChoose(t, s, ask(fmt.Sprint(i)), start)
		homes[fmt.Sprint(i)] = c.Backend.ID
		c.Done(Result{Outcome: Answered}, start)
	}
	for range 40 {
		for i := range 30 {
			mustChoose(t, s, ask(fmt.Sprint(i)), start).Done(Result{Outcome: Failed}, start)
		}
	}
	for key, home := range homes {
		c := mustChoose(t, s, ask(key), start)
		if c.Backend.ID != home {
			t.Errorf("object %s moved from %s to %s", key, home, c.Backend.ID)
		}
		c.Done(Result{Outcome: Failed}, start)
	}
}

func TestFaultsAreJudgedBesideWhatIsUsual(t *testing.T) {
	srv := newServer(backend("i-8001", "n1"), "north")
	for range 10 {
		srv.takeFault(faultWeight, 1, start)
	}
	if srv.healthy(average{}, start) {
		t.Errorf("a server of which %.2f of the answers fail is healthy among good ones", srv.faultAverage(start))
	}
	if !srv.healthy(average{faults: 0.5}, start) {
		t.Error("a server that fails as the others do is avoided")
	}
}

func TestServerThatFailsOtherDaemonsIsLeftToTrials(t *testing.T) {
	s := fleet("n1")
	home := mustChoose(t, s, ask("7"), start)
	home.Done(Result{Outcome: Answered}, start)
	s.SetRegionFailures([]FailureCount{{ID: home.Backend.ID, Failed: 5, Total: 10}}, start)
	sent := 0
	for i := range 10 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		s.SetRegionFailures([]FailureCount{{ID: home.Backend.ID, Failed: 5, Total: 10}}, now)
		c := mustChoose(t, s, ask("7"), now)
		c.Done(Result{Outcome: Answered}, now)
		if c.Backend.ID == home.Backend.ID {
			sent++
		}
	}
	if sent != 1 {
		t.Errorf("%d of 10 requests in 1 s went to a server that fails half of others', want one trial", sent)
	}
	if c := mustChoose(t, s, ask("7"), start.Add(20*time.Second)); c.Backend.ID != home.Backend.ID {
		t.Error("a server is left though nobody told of failures for 20 s")
	}
}

func TestServerThatHangsIsLeft(t *testing.T) {
	s := fleet("n1")
	var home string
	for i := range 40 {
		key := fmt.Sprint(i)
		c := mustChoose(t, s, ask(key), start)
		home = c.Backend.ID
		c.Done(Result{Outcome: Answered, Load: &Load{Slots: 4}, Latency: 50 * time.Millisecond}, start)
	}
	now := start.Add(time.Second)
	for range 8 {
		c := mustChoose(t, s, ask("39"), now)
		if c.Backend.ID != home {
			return
		}
		c.Done(Result{Outcome: Abandoned, Latency: 300 * time.Millisecond}, now)
	}
	t.Error("eight requests in a row were left without an answer")
}

func TestServersThatFailAllDaemonsAlikeKeepTheirObjects(t *testing.T) {
	s := fleet("n1")
	home := mustChoose(t, s, ask("7"), start).Backend.ID
	var all []FailureCount
	for i := range 6 {
		all = append(all, FailureCount{ID: fmt.Sprint("i-", 8001+i), Failed: 5, Total: 10})
	}
	s.SetRegionFailures(all, start)
	for i := range 3 {
		if c := mustChoose(t, s, ask("7"), start.Add(time.Duration(i+1)*200*time.Millisecond)); c.Backend.ID != home {
			t.Errorf("the object moved to %s", c.Backend.ID)
		}
	}
}

func TestDaemonTellsFailuresAndWhatItSawOfDoubtedServers(t *testing.T) {
	s := fleet("n1")
	c := mustChoose(t, s, ask("7"), start)
	c.Done(Result{Outcome: Answered}, start)
	if told := s.FailureCounts(start); len(told) != 0 {
		t.Errorf("tells %+v of a server that nobody doubts", told)
	}
	s.SetRegionFailures([]FailureCount{{ID: c.Backend.ID, Failed: 2, Total: 3}}, start)
	if told := s.FailureCounts(start); len(told) != 1 || told[0] != (FailureCount{c.Backend.ID, 0, 1}) {
		t.Errorf("tells %+v, want its one good answer", told)
	}
	c = mustChoose(t, s, ask("7"), start)
	c.Done(Result{Outcome: Failed}, start)
	if told := s.FailureCounts(start); len(told) != 1 || told[0].Failed != 1 {
		t.Errorf("tells %+v, want one failure", told)
	}
}

func TestServersWhoseEntriesRanOutTogetherAreUsed(t *testing.T) {
	s := fleet("n1")
	for _, id := range s.ServerIDs() {
		s.MarkMissing(id)
	}
	mustChoose(t, s, ask("7"), start)
}

func TestNewIncarnationStartsWithoutHistory(t *testing.T) {
	s := fleet("n1")
	home := mustChoose(t, s, ask("7"), start)
	home.Done(Result{Outcome: Misdirected}, start)
	again := home.Backend
	again.StartedAtMs = 2
	s.Put(again, start)
	if c := mustChoose(t, s, ask("7"), start); c.Backend.ID != again.ID {
		t.Errorf("got %s, want the new incarnation of %s", c.Backend.ID, again.ID)
	}
}

func TestColdServerGetsItsRateOnly(t *testing.T) {
	s := fleet("n1")
	home := mustChoose(t, s, ask("7"), start).Backend
	home.ColdRemaining = 3 * time.Second
	s.Put(home, start)
	got := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		c := mustChoose(t, s, ask("7"), start.Add(at))
		if c.Backend.ID == home.ID {
			got++
		}
		c.Done(Result{Outcome: Answered}, start.Add(at))
	}
	if got < 1 || got > 3 {
		t.Errorf("%d requests in a second, want this daemon's part of 22, which is 2.4", got)
	}
}

func TestServersOfAReturnedZoneAreTakenForCold(t *testing.T) {
	s := fleet("n1")
	home := mustChoose(t, s, ask("7"), start).Backend
	s.SetEvacuated(home.Zone, true, start)
	s.SetEvacuated(home.Zone, false, start)
	if c := mustChoose(t, s, ask("7"), start); c.Backend.ID == home.ID {
		t.Error("a server that may be cold gets a request at once")
	}
}

func TestFullServersRefuseAndSayWhen(t *testing.T) {
	s := fleet("n1")
	var refusal *Refusal
	for i := 0; refusal == nil; i++ {
		if i > 1000 {
			t.Fatal("the queue has no end")
		}
		_, refusal = s.Choose(ask("7"), start)
	}
	if refusal.Reason != ReasonFull || refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > maxRetryAfter {
		t.Errorf("refusal %+v", refusal)
	}
}

// busyHome returns a set in which the server of an object has a queue and takes
// 150 ms for a request, as do all others for a cold one.
func busyHome(t *testing.T, queued int) (s *Balancer, home string) {
	t.Helper()
	s = fleet("n1")
	first := mustChoose(t, s, ask("7"), start)
	first.Done(Result{Outcome: Answered, Load: &Load{Slots: 4}, Latency: 150 * time.Millisecond}, start)
	for range 4 + queued {
		if c := mustChoose(t, s, ask("7"), start); c.Backend.ID != first.Backend.ID {
			t.Fatalf("sent to %s while %s would do", c.Backend.ID, first.Backend.ID)
		}
	}
	return s, first.Backend.ID
}

func TestNextServerTakesWhatTheHomeWouldAnswerTooLate(t *testing.T) {
	s, home := busyHome(t, 1)
	if c := mustChoose(t, s, ask("7"), start); c.Backend.ID == home {
		t.Error("a queue that misses the objective was joined")
	}
	late := ask("7")
	late.ObjectiveLeft = 100 * time.Millisecond
	if c := mustChoose(t, s, late, start); c.Backend.ID != home {
		t.Error("a cold server was chosen that misses the objective too")
	}
}

func TestQueueThatOutlastsTheRequestIsNotJoined(t *testing.T) {
	s, home := busyHome(t, 1)
	r := ask("7")
	r.ObjectiveLeft, r.TimeLeft = 100*time.Millisecond, 200*time.Millisecond
	if c, refusal := s.Choose(r, start); refusal == nil || refusal.Reason != ReasonFull || refusal.BestCandidate != home {
		t.Errorf("got %+v, %+v, want a refusal for want of time", c, refusal)
	}
}

func TestSlowServerIsAvoidedAndTriedAgain(t *testing.T) {
	s := fleet("n1")
	load := &Load{Slots: 4}
	home := mustChoose(t, s, ask("7"), start)
	home.Done(Result{Outcome: Answered, Load: load, Latency: time.Second}, start)
	for i := range 50 {
		c := mustChoose(t, s, ask(fmt.Sprint("o", i)), start)
		latency := 50 * time.Millisecond
		if c.Backend.ID == home.Backend.ID {
			latency = time.Second
		}
		c.Done(Result{Outcome: Answered, Load: load, Latency: latency}, start)
	}
	later := start.Add(usualPeriod)
	trials := 0
	for at := time.Duration(0); at < 2*time.Second; at += 20 * time.Millisecond {
		c := mustChoose(t, s, ask("7"), later.Add(at))
		if c.Backend.ID == home.Backend.ID {
			trials++
		}
		c.Done(Result{Outcome: Abandoned}, later.Add(at))
	}
	if trials < 2 || trials > 5 {
		t.Errorf("%d requests to a slow server in 2 s, want a trial each %s", trials, trialPause)
	}
}
