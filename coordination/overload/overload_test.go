package overload

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const ms = time.Millisecond

// threeRanks is the policy of a service with three ranks.
func threeRanks() *Policy {
	return NewPolicy([]Class{{2, 600 * ms}, {0, 500 * ms}, {5, 800 * ms}, {2, 700 * ms}})
}

func serverWith(requests, sustainedPerSlot float64) Server {
	return Server{Requests: requests, Slots: 4, Sustained: 4 * sustainedPerSlot, ServiceTime: 240 * ms, RoundTrip: 20 * ms}
}

func firstAttempt(rank int) Request {
	return Request{Rank: rank, ObjectiveLeft: 600 * ms, TimeLeft: 1500 * ms, ClientTimeLeft: 4 * time.Second}
}

// TestPolicyIsOnlyForCompetingRanks guards services with one rank against the
// limits of others.
func TestPolicyIsOnlyForCompetingRanks(t *testing.T) {
	if NewPolicy(nil) != nil || NewPolicy([]Class{{1, 0}, {1, 500 * ms}}) != nil {
		t.Error("a service with one rank has a policy")
	}
	p := threeRanks()
	if p == nil || p.Positions() != 3 || p.Position(0) != 0 || p.Position(2) != 1 || p.Position(5) != 2 || p.Position(9) != 2 {
		t.Errorf("ranks are not numbered from the most urgent: %+v", p)
	}
}

// TestDecide has one case for each reason to send, to wait and to refuse.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		edit   func(r *Request, s *Server)
		rank   int
		server Server
		action Action
		reason Reason
	}{
		{name: "free slot", rank: 5, server: serverWith(1, 0.5)},
		{name: "short queue where there is room for all", rank: 5, server: serverWith(6, 0.5)},
		{name: "the same queue where there is not", rank: 5, server: serverWith(6, 1.2), action: Refuse, reason: ReasonYields},
		{name: "it is open to the most urgent", rank: 0, server: serverWith(6, 1.2)},
		{name: "the last free slot is kept for the more urgent", rank: 5, server: serverWith(3, 1.2), action: Refuse, reason: ReasonYields},
		{name: "wait for the end of a peak", rank: 5, server: serverWith(8, 0.7), action: Wait, reason: ReasonYields},
		{name: "but not from a rank below its minimum", rank: 5, server: serverWith(3, 1.2), edit: func(r *Request, _ *Server) { r.BelowMinimum = true }},
		{name: "late requests yield to more urgent ones", rank: 2, server: serverWith(5, 1.2), edit: func(r *Request, _ *Server) { r.ObjectiveLeft = 0 }, action: Refuse, reason: ReasonYields},
		{name: "late requests of the most urgent do not", rank: 0, server: serverWith(5, 1.2), edit: func(r *Request, _ *Server) { r.ObjectiveLeft = 0 }},
		{name: "late requests are sent where there is room", rank: 5, server: serverWith(5, 0.5), edit: func(r *Request, _ *Server) { r.ObjectiveLeft = 0 }},
		{name: "no answer before the deadline", rank: 0, server: serverWith(0, 0.1), edit: func(r *Request, _ *Server) { r.TimeLeft = 200 * ms }, action: Refuse, reason: ReasonTooLate},
		{name: "cold work where all are full", rank: 2, server: serverWith(1, 0.5), edit: func(r *Request, s *Server) { r.Overflow, s.NearbyPerSlot = true, 2.5 }, action: Wait, reason: ReasonYields},
		{name: "cold work where others have room", rank: 2, server: serverWith(1, 0.5), edit: func(r *Request, s *Server) { r.Overflow, s.NearbyPerSlot = true, 1.5 }},
		{name: "cold work of the most urgent in time", rank: 0, server: serverWith(1, 0.5), edit: func(r *Request, s *Server) { r.Overflow, s.NearbyPerSlot = true, 2.5 }},
		{name: "one that callers lose more by waits", rank: 0, server: serverWith(1, 0.5), edit: func(r *Request, _ *Server) { r.Overtaken = true }, action: Wait, reason: ReasonYields},
		{name: "no wait past the objective", rank: 5, server: serverWith(8, 0.7), edit: func(r *Request, _ *Server) { r.ObjectiveLeft = 270 * ms }, action: Refuse, reason: ReasonYields},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, s := firstAttempt(c.rank), c.server
			if c.edit != nil {
				c.edit(&r, &s)
			}
			if d := threeRanks().Decide(r, s, 0.5); d.Action != c.action || d.Reason != c.reason {
				t.Errorf("decided %+v, want action %d for %q", d, c.action, c.reason)
			}
		})
	}
}

// TestLessUrgentFindsNoMoreRoom checks for any load that a more urgent request is
// sent wherever a less urgent one is, and that a refused one is told a time that
// its client can use, if there is one.
func TestLessUrgentFindsNoMoreRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := threeRanks()
		s := serverWith(rapid.Float64Range(0, 14).Draw(t, "requests"), rapid.Float64Range(0, 3).Draw(t, "sustained"))
		s.ServiceTime = time.Duration(rapid.IntRange(10, 900).Draw(t, "work")) * ms
		objective := time.Duration(rapid.IntRange(-500, 1000).Draw(t, "objective")) * ms
		jitter := rapid.Float64Range(0, 0.999).Draw(t, "jitter")
		var demand []float64
		if rapid.Bool().Draw(t, "known") {
			urgent := rapid.Float64Range(0, 1).Draw(t, "urgent")
			demand = []float64{urgent, 0.6 * (1 - urgent), 0.4 * (1 - urgent)}
		}
		var decisions []Decision
		for _, rank := range []int{0, 2, 5} {
			r := firstAttempt(rank)
			r.ObjectiveLeft, r.Demand = objective, demand
			decisions = append(decisions, p.Decide(r, s, jitter))
		}
		for i, d := range decisions {
			if d.Action == Send {
				if i > 0 && decisions[i-1].Action != Send {
					t.Fatalf("rank %d is sent and a more urgent one is not: %+v", i, decisions)
				}
				continue
			}
			drained := time.Duration(s.Requests / float64(s.Slots) * float64(s.ServiceTime))
			if most := 4 * time.Second / 3; d.RetryAfter < minRetryAfter || d.RetryAfter > max(most, drained+2*s.ServiceTime) {
				t.Fatalf("rank %d returns after %s, clients wait for %s: %+v", i, d.RetryAfter, most, s)
			}
			if d.Action == Wait && d.MaxWait > objective/4 {
				t.Fatalf("waits %s of %s", d.MaxWait, objective)
			}
		}
	})
}

// TestReturnsAreOrderedByRank guards against all refused requests returning at the
// same moment, and against the less urgent ones returning first.
func TestReturnsAreOrderedByRank(t *testing.T) {
	var last time.Duration
	for _, rank := range []int{0, 2, 5} {
		for _, jitter := range []float64{0, 0.5, 0.99} {
			r := firstAttempt(rank)
			r.ObjectiveLeft = 0
			d := threeRanks().Decide(r, serverWith(11, 2.5), jitter)
			if d.Action != Refuse || d.RetryAfter <= last {
				t.Errorf("rank %d, jitter %.2f: %+v, want a refusal with a return after %s", rank, jitter, d, last)
			}
			last = d.RetryAfter
		}
	}
}

// compareLoss orders waiters by what callers lose by them, the most first.
func compareLoss(a, b *Waiter) int {
	switch {
	case a.Rank != b.Rank:
		return a.Rank - b.Rank
	case a.Returning != b.Returning && a.Returning:
		return -1
	case a.Returning != b.Returning:
		return 1
	case a.Work != b.Work:
		return int(a.Work - b.Work)
	}
	return a.LatestStart.Compare(b.LatestStart)
}

// TestQueueNeverDisplacesWhatCallersLoseMoreBy plays arrivals at a bounded queue
// against a sorted list of all that arrived.
func TestQueueNeverDisplacesWhatCallersLoseMoreBy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Queue{Capacity: rapid.IntRange(1, 6).Draw(t, "capacity")}
		var model []*Waiter
		start := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 40).Draw(t, "arrivals") {
			w := &Waiter{
				Server: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server"), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
				Returning: rapid.Bool().Draw(t, "returning"), Work: time.Duration(rapid.IntRange(1, 3).Draw(t, "work")) * ms,
				LatestStart: start.Add(time.Duration(i) * ms), Ready: make(chan struct{}, 1),
			}
			model = append(model, w)
			slices.SortStableFunc(model, compareLoss)
			displaced := q.Add(w)
			if len(model) <= q.Capacity {
				if displaced != nil {
					t.Fatal("displaced a waiter although there was room")
				}
			} else {
				if worst := model[len(model)-1]; displaced != worst {
					t.Fatalf("displaced %+v, want %+v", displaced, worst)
				}
				model = model[:len(model)-1]
			}
			if !slices.Equal(q.waiters, model) {
				t.Fatal("waiters are not ordered by what callers lose")
			}
			for _, other := range model {
				first := q.First(other.Server)
				if compareLoss(first, other) > 0 || q.Overtakes(first) || other != first && !q.Overtakes(other) {
					t.Fatal("a waiter may be sent before one that callers lose more by")
				}
			}
		}
	})
}

// TestSharesGuaranteeAMinimum guards against a rank that gets nothing while others
// are served.
func TestSharesGuaranteeAMinimum(t *testing.T) {
	var s Shares
	now := time.Unix(1000, 0)
	for i := range 20 {
		s.Record(0, 2, true, now)
		s.Record(1, 2, i%10 == 0, now)
	}
	if s.BelowMinimum(0, 2, now) || !s.BelowMinimum(1, 2, now) {
		t.Error("the rank with a tenth of its requests sent is not below its minimum, or the other is")
	}
	if later := now.Add(time.Minute); s.BelowMinimum(1, 2, later) {
		t.Error("refusals of a minute ago still count")
	}
}

// TestRareUrgentRankKeepsLittleRoom guards against room that is kept for an urgent rank
// which hardly sends any requests, while less urgent ones are refused.
func TestRareUrgentRankKeepsLittleRoom(t *testing.T) {
	s := serverWith(5, 1.2)
	r := firstAttempt(2)
	if d := threeRanks().Decide(r, s, 0.5); d.Action == Send {
		t.Fatalf("unknown demand: %+v, want room kept for the urgent rank", d)
	}
	r.Demand = []float64{0.4, 0.3, 0.3}
	if d := threeRanks().Decide(r, s, 0.5); d.Action == Send {
		t.Errorf("four in ten requests are urgent: %+v, want room kept for them", d)
	}
	r.Demand = []float64{0.006, 0.4, 0.594}
	if d := threeRanks().Decide(r, s, 0.5); d.Action != Send {
		t.Errorf("six in a thousand requests are urgent: %+v, want the request sent", d)
	}
}

// TestDemandIsKnownFromSomeRequests guards against fractions of a few requests.
func TestDemandIsKnownFromSomeRequests(t *testing.T) {
	var s Shares
	now := time.Unix(1000, 0)
	for i := range 9 {
		s.Record(i%3, 3, i%2 == 0, now)
	}
	if got := s.Demand(3, now); got != nil {
		t.Errorf("demand is %v after 9 requests, want unknown", got)
	}
	s.Record(0, 3, false, now)
	if got := s.Demand(3, now); !slices.Equal(got, []float64{0.4, 0.3, 0.3}) {
		t.Errorf("demand is %v, want 0.4, 0.3 and 0.3", got)
	}
}
