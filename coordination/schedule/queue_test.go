package schedule

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrytiller.example/tiller/state/request"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	start    = time.Unix(1_000_000, 0)
	payments = Class{Service: "payments", Owner: "a", Rank: request.RankPayment, Guaranteed: 0.2, Worth: 10}
	lookups  = Class{Service: "lookups", Owner: "a", Rank: request.RankLookup, Guaranteed: 0.3, Worth: 5}
	reports  = Class{Service: "reports", Owner: "a", Rank: request.RankReport, Guaranteed: 0.1, Worth: 1}
	far      = start.Add(time.Hour)
)

// model checks the decisions of a queue against its invariants after every
// step.
type model struct {
	t       *rapid.T
	q       *Queue
	limits  Limits
	waiting map[*Ticket]bool
	running []*Ticket
	// order holds the waiting tickets of each service in order of arrival.
	order map[string][]*Ticket
}

func (m *model) apply(decisions []Decision) {
	for _, d := range decisions {
		if !m.waiting[d.Ticket] {
			m.t.Fatalf("ticket %d ended twice", d.Ticket.sequence)
		}
		m.end(d.Ticket)
		if d.Err != nil {
			continue
		}
		m.running = append(m.running, d.Ticket)
		if len(m.running)+m.q.reserved > m.limits.Slots {
			m.t.Fatalf("%d granted and %d reserved of %d slots", len(m.running), m.q.reserved, m.limits.Slots)
		}
	}
}

func (m *model) end(t *Ticket) {
	delete(m.waiting, t)
	m.order[t.class.Service] = slices.DeleteFunc(m.order[t.class.Service], func(o *Ticket) bool { return o == t })
}

func (m *model) offer(c Class, deadline, now time.Time) {
	t, decisions := m.q.Offer(c, deadline, now)
	m.waiting[t] = true
	m.order[c.Service] = append(m.order[c.Service], t)
	m.apply(decisions)
}

func (m *model) check() {
	inUse, waiting := m.q.Load()
	if inUse != len(m.running) || waiting != len(m.waiting) {
		m.t.Fatalf("load is %d in use, %d waiting; want %d, %d", inUse, waiting, len(m.running), len(m.waiting))
	}
	if waiting > m.limits.MaxWaiting {
		m.t.Fatalf("%d tickets wait, want at most %d", waiting, m.limits.MaxWaiting)
	}
	if waiting > 0 && inUse+m.q.reserved < m.limits.Slots && m.limits.MaxRankShare == 0 {
		m.t.Fatalf("%d tickets wait while %d of %d slots are in use", waiting, inUse, m.limits.Slots)
	}
	for service, list := range m.order {
		if got := m.q.waitingOf(service); !slices.Equal(got, list) {
			m.t.Fatalf("tickets of %s are out of order", service)
		}
	}
}

func (q *Queue) waitingOf(service string) []*Ticket {
	for _, c := range q.classes {
		if c.Service == service {
			return c.waiting
		}
	}
	return nil
}

// step performs one random operation.
func (m *model) step(now time.Time) {
	switch rapid.IntRange(0, 9).Draw(m.t, "step") {
	case 0:
		m.limits.Slots = rapid.IntRange(1, 8).Draw(m.t, "slots")
		m.apply(m.q.SetLimits(m.limits, now))
	case 1:
		m.apply(m.q.SetReserved(rapid.IntRange(0, 3).Draw(m.t, "reserved"), now))
	case 2, 3, 4:
		if len(m.running) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "released")
		t := m.running[i]
		m.running = slices.Delete(m.running, i, i+1)
		m.apply(m.q.Release(t, now))
	case 5:
		waiting := slices.SortedFunc(maps.Keys(m.waiting), func(a, b *Ticket) int { return cmp.Compare(a.sequence, b.sequence) })
		if len(waiting) == 0 {
			return
		}
		t := rapid.SampledFrom(waiting).Draw(m.t, "cancelled")
		m.end(t)
		m.apply(m.q.Cancel(t, now))
	default:
		class := rapid.SampledFrom([]Class{payments, lookups, reports}).Draw(m.t, "class")
		left := time.Duration(rapid.IntRange(1, 500).Draw(m.t, "left")) * time.Millisecond
		m.offer(class, now.Add(left), now)
	}
}

func TestQueueKeepsItsLimitsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Slots: 4, MaxWaiting: rapid.IntRange(1, 20).Draw(t, "waiting")}
		m := &model{t: t, q: NewQueue(limits), limits: limits, waiting: map[*Ticket]bool{}, order: map[string][]*Ticket{}}
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "passed")) * time.Millisecond)
			m.step(now)
			m.check()
		}
		m.apply(m.q.RefuseAll(ErrQueueFull))
		if len(m.waiting) != 0 {
			t.Fatalf("%d tickets were neither granted nor refused", len(m.waiting))
		}
	})
}

// flow is a stream of requests of one class in a simulation.
type flow struct {
	class       Class
	serviceTime time.Duration
	// waiting is the number of requests that the flow keeps waiting in the
	// queue.
	waiting int
}

// simulate runs flows for a period and returns the slot time that each service
// used.
func simulate(limits Limits, flows []flow, length time.Duration) map[string]time.Duration {
	q := NewQueue(limits)
	used := map[string]time.Duration{}
	ends := map[*Ticket]time.Time{}
	now := start
	apply := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Err == nil {
				ends[d.Ticket] = now.Add(serviceTimeOf(flows, d.Ticket))
			}
		}
	}
	for now.Before(start.Add(length)) {
		for _, f := range flows {
			for len(q.waitingOf(f.class.Service)) < f.waiting {
				_, decisions := q.Offer(f.class, far, now)
				apply(decisions)
			}
		}
		t, end := soonest(ends)
		now = end
		delete(ends, t)
		used[t.class.Service] += serviceTimeOf(flows, t)
		apply(q.Release(t, now))
	}
	return used
}

func serviceTimeOf(flows []flow, t *Ticket) time.Duration {
	i := slices.IndexFunc(flows, func(f flow) bool { return f.class.Service == t.class.Service })
	return flows[i].serviceTime
}

func soonest(ends map[*Ticket]time.Time) (*Ticket, time.Time) {
	var best *Ticket
	for t, end := range ends {
		if best == nil || end.Before(ends[best]) || end.Equal(ends[best]) && t.sequence < best.sequence {
			best = t
		}
	}
	return best, ends[best]
}

func TestFloodLeavesEachServiceItsMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		drawServiceTime := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(1, 40).Draw(t, name)) * time.Millisecond
		}
		flows := []flow{
			{payments, drawServiceTime("payments"), 40},
			{lookups, drawServiceTime("lookups"), 4},
			{reports, drawServiceTime("reports"), 2},
		}
		const length = 20 * time.Second
		used := simulate(Limits{Slots: slots, MaxWaiting: 100}, flows, length)
		for _, f := range flows {
			least := time.Duration(f.class.Guaranteed * float64(slots) * float64(length))
			if used[f.class.Service] < least*95/100 {
				t.Errorf("%s used %v of slot time, want at least 95%% of %v", f.class.Service, used[f.class.Service], least)
			}
		}
	})
}

func TestServiceWithoutGuaranteeIsNotStarved(t *testing.T) {
	idle := Class{Service: "idle", Owner: "b", Rank: request.RankReport}
	used := simulate(Limits{Slots: 3, MaxWaiting: 100}, []flow{{payments, 5 * time.Millisecond, 40}, {idle, 50 * time.Millisecond, 1}}, 20*time.Second)
	if used["idle"] == 0 {
		t.Fatal("the service got no slot in 20s")
	}
}

func TestFloodOfOneOwnerLeavesAnotherItsShare(t *testing.T) {
	flood := Class{Service: "flood", Owner: "a", Rank: request.RankLookup}
	other := Class{Service: "other", Owner: "b", Rank: request.RankLookup}
	used := simulate(Limits{Slots: 4, MaxWaiting: 100}, []flow{{flood, 10 * time.Millisecond, 60}, {other, 10 * time.Millisecond, 4}}, 10*time.Second)
	if used["other"] < used["flood"]*9/10 {
		t.Fatalf("slot time used is %v, want at least 90%% of flood for other", used)
	}
}

func TestUrgentRequestPassesFloodOfReports(t *testing.T) {
	q := NewQueue(Limits{Slots: 1, MaxWaiting: 100})
	running, _ := q.Offer(reports, far, start)
	for range 50 {
		q.Offer(reports, far, start)
	}
	urgent, _ := q.Offer(payments, far, start)
	if decisions := q.Release(running, start.Add(time.Millisecond)); decisions[0].Ticket != urgent {
		t.Fatalf("granted %s first, want payments", decisions[0].Ticket.class.Service)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	q := NewQueue(Limits{Slots: 1, MaxWaiting: 100})
	now := start
	for range 20 {
		running, _ := q.Offer(lookups, far, now)
		now = now.Add(10 * time.Millisecond)
		q.Release(running, now)
	}
	for range 10 {
		q.Offer(lookups, far, now)
	}
	_, decisions := q.Offer(lookups, now.Add(50*time.Millisecond), now)
	if len(decisions) != 1 || !errors.Is(decisions[0].Err, ErrTooLate) {
		t.Fatalf("got %v, want ErrTooLate", decisions)
	}
	if _, decisions := q.Offer(lookups, now.Add(150*time.Millisecond), now); len(decisions) != 0 {
		t.Fatalf("got %v, want the request to wait", decisions)
	}
}

func TestFullQueueDropsTheLeastWorth(t *testing.T) {
	q := NewQueue(Limits{Slots: 1, MaxWaiting: 10})
	q.Offer(payments, far, start)
	var newest *Ticket
	for range 10 {
		newest, _ = q.Offer(reports, far, start)
	}
	_, decisions := q.Offer(payments, far, start)
	if len(decisions) != 1 || decisions[0].Ticket != newest || !errors.Is(decisions[0].Err, ErrQueueFull) {
		t.Fatalf("got %v, want the newest report dropped", decisions)
	}
	ticket, decisions := q.Offer(reports, far, start)
	if len(decisions) != 1 || decisions[0].Ticket != ticket {
		t.Fatalf("got %v, want the new report refused", decisions)
	}
}

func TestFullQueueDropsByWorthBeforeRank(t *testing.T) {
	valuable := Class{Service: "valuable", Owner: "a", Rank: request.RankReport, Worth: 20}
	q := NewQueue(Limits{Slots: 1, MaxWaiting: 10})
	var newest *Ticket
	for range 11 {
		newest, _ = q.Offer(lookups, far, start)
	}
	// The first request is certain of a place, because a service keeps its
	// guaranteed fraction of the queue.
	if _, decisions := q.Offer(valuable, far, start); len(decisions) != 1 || decisions[0].Ticket != newest {
		t.Fatalf("got %v, want the newest lookup dropped", decisions)
	}
	if ticket, decisions := q.Offer(valuable, far, start); len(decisions) != 1 || decisions[0].Ticket == ticket {
		t.Fatalf("got %v, want another lookup dropped", decisions)
	}
}

// TestEstimateDecaysUntilARequestRuns guards against an estimate that refuses
// every request. Such an estimate gets no new samples, so it must decay until a
// request runs again.
func TestEstimateDecaysUntilARequestRuns(t *testing.T) {
	q := NewQueue(Limits{Slots: 1, MaxWaiting: 10})
	running, _ := q.Offer(lookups, far, start)
	now := start.Add(10 * time.Second)
	q.Release(running, now)
	for range 60 {
		now = now.Add(time.Second)
		if _, decisions := q.Offer(lookups, now.Add(100*time.Millisecond), now); decisions[0].Err == nil {
			return
		}
	}
	t.Fatal("refused for 60s after one slow answer")
}

func TestRankShareLeavesSlotsToOtherRanks(t *testing.T) {
	q := NewQueue(Limits{Slots: 10, MaxWaiting: 100, MaxRankShare: 0.6})
	granted := 0
	for range 50 {
		if _, decisions := q.Offer(reports, far, start); len(decisions) > 0 && decisions[0].Err == nil {
			granted++
		}
	}
	if granted != 6 {
		t.Fatalf("reports got %d of 10 slots, want 6", granted)
	}
	if _, decisions := q.Offer(lookups, far, start); len(decisions) != 1 || decisions[0].Err != nil {
		t.Fatalf("got %v, want a slot at once", decisions)
	}
}

func BenchmarkOfferAndRelease(b *testing.B) {
	for _, waiting := range []int{0, 100} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := NewQueue(Limits{Slots: 8, MaxWaiting: 1000})
			var running []*Ticket
			for range 8 + waiting {
				t, decisions := q.Offer(lookups, far, start)
				if len(decisions) == 1 {
					running = append(running, t)
				}
			}
			now := start
			for b.Loop() {
				now = now.Add(time.Microsecond)
				_, decisions := q.Offer(payments, far, now)
				for _, d := range append(decisions, q.Release(running[0], now)...) {
					running = append(running, d.Ticket)
				}
				running = running[1:]
			}
		})
	}
}
