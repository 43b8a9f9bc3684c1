package upstream

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/state/routing"
)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and override these.
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// model is a balancer together with the inputs it was given.
type model struct {
	balancer  *Balancer
	now       time.Time
	entries   map[string]routing.Backend
	evacuated map[string]bool
	// misdirected are the incarnations whose address belongs to another server.
	misdirected map[routing.Incarnation]bool
	// leaving are the incarnations that announced that they leave, and pausedUntil when
	// the pauses end that incarnations asked for.
	leaving     map[routing.Incarnation]bool
	pausedUntil map[routing.Incarnation]time.Time
	open        []*Choice
	// cold holds the times of requests to each server while it was cold.
	cold map[string][]time.Time
}

func newModel() *model {
	m := &model{
		balancer: NewBalancer(Locality{Zone: "n1", Region: "north"}, regions), now: start, entries: map[string]routing.Backend{},
		evacuated: map[string]bool{}, misdirected: map[routing.Incarnation]bool{}, cold: map[string][]time.Time{},
		leaving: map[routing.Incarnation]bool{}, pausedUntil: map[routing.Incarnation]time.Time{},
	}
	m.balancer.random = func() float64 { return 0 }
	m.balancer.Configure(map[string]routing.Service{"stock": {ColdPeriod: 3 * time.Second, ColdRate: coldRate}})
	return m
}

const coldRate = 22

func (m *model) put(t *rapid.T) {
	b := backend(fmt.Sprint("i-", 8001+rapid.IntRange(0, 5).Draw(t, "server")), rapid.SampledFrom([]string{"n1", "n2", "s1"}).Draw(t, "zone"))
	b.StartedAtMs = int64(rapid.IntRange(1, 3).Draw(t, "born"))
	b.Draining = rapid.IntRange(0, 4).Draw(t, "draining") == 0
	b.ColdRemaining = time.Duration(rapid.IntRange(0, 2).Draw(t, "cold")) * time.Second
	if old, ok := m.entries[b.ID]; !ok || old.Incarnation() != b.Incarnation() {
		delete(m.misdirected, b.Incarnation())
		delete(m.cold, b.ID)
	}
	m.entries[b.ID] = b
	m.balancer.Put(b, m.now)
}

func (m *model) remove(t *rapid.T) {
	id := fmt.Sprint("i-", 8001+rapid.IntRange(0, 5).Draw(t, "server"))
	delete(m.entries, id)
	delete(m.cold, id)
	m.balancer.Remove(id, m.now)
}

func (m *model) evacuate(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"n1", "n2", "s1"}).Draw(t, "zone")
	m.evacuated[zone] = rapid.Bool().Draw(t, "on")
	m.balancer.SetEvacuated(zone, m.evacuated[zone], m.now)
}

func (m *model) choose(t *rapid.T) {
	r := newRequest(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "object")))
	r.ColdRate, r.DaemonCount = coldRate, 1
	if rapid.Bool().Draw(t, "home") {
		r.Route = &routing.Route{Regions: []string{"north"}}
	}
	for _, c := range m.open {
		if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
			r.Tried = append(r.Tried, c.Backend.Incarnation())
		}
	}
	explained := m.balancer.Explain(r, m.now)
	choice, refusal := m.balancer.Choose(r, m.now)
	if (choice == nil) == (refusal == nil) {
		t.Fatalf("got choice %v and refusal %v, want exactly one of them", choice, refusal)
	}
	if refusal != nil && refusal.RetryAfter <= 0 {
		t.Fatalf("refusal %+v has no retry delay", refusal)
	}
	if choice != nil && (explained.Chosen != choice.Backend.ID || explained.Reason != choice.Reason || explained.Refusal != nil) {
		t.Fatalf("explained %+v, then chose %s because of %s", explained, choice.Backend.ID, choice.Reason)
	}
	if refusal != nil && (explained.Refusal == nil || *explained.Refusal != *refusal || explained.Chosen != "") {
		t.Fatalf("explained %+v, then refused with %+v", explained, *refusal)
	}
	if choice != nil {
		m.check(t, r, choice)
		m.open = append(m.open, choice)
	}
}

// check fails if the chosen server must not get the request.
func (m *model) check(t *rapid.T, r Request, c *Choice) {
	entry, known := m.entries[c.Backend.ID]
	switch {
	case !known || entry.Incarnation() != c.Backend.Incarnation():
		t.Fatalf("chose %v, which was removed or replaced", c.Backend.Incarnation())
	case entry.Draining || m.evacuated[entry.Zone] || m.misdirected[entry.Incarnation()]:
		t.Fatalf("chose %+v, which is draining, evacuated or misdirected", entry)
	case m.leaving[entry.Incarnation()] || m.now.Before(m.pausedUntil[entry.Incarnation()]) || !c.maySendAt(m.now):
		t.Fatalf("chose %v, which announced that it leaves or asked for a pause", entry.Incarnation())
	case !r.Route.AllowsRegion(regions[entry.Zone]):
		t.Fatalf("chose zone %s, which the route does not allow", entry.Zone)
	}
	for _, tried := range r.Tried {
		if tried == c.Backend.Incarnation() {
			t.Fatalf("chose %v, which was already tried", tried)
		}
	}
	if c.server.isCold(m.now) {
		m.checkColdRate(t, c.Backend.ID)
	}
}

// checkColdRate checks the number of requests in the last second to a cold
// server. This daemon is the only one, so it may use the whole rate.
func (m *model) checkColdRate(t *rapid.T, id string) {
	m.cold[id] = append(m.cold[id], m.now)
	n := 0
	for _, at := range m.cold[id] {
		if at.After(m.now.Add(-time.Second)) {
			n++
		}
	}
	if float64(n) > coldRate*1.5+5 {
		t.Fatalf("%d requests in a second to the cold server %s", n, id)
	}
}

func (m *model) done(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no request in flight")
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "choice")
	c := m.open[i]
	m.open = append(m.open[:i:i], m.open[i+1:]...)
	outcome := Outcome(rapid.IntRange(int(Answered), int(Abandoned)).Draw(t, "outcome"))
	// If the entry was replaced meanwhile, the ID belongs to another server now
	// and the result does not apply to it.
	if outcome == Misdirected && m.balancer.servers[c.Backend.ID] == c.server {
		m.misdirected[c.Backend.Incarnation()] = true
	}
	latency := time.Duration(rapid.IntRange(1, 500).Draw(t, "latency")) * time.Millisecond
	signal := m.drawSignal(t, c.Backend.Incarnation(), outcome)
	c.Done(Result{Outcome: outcome, Latency: latency, Load: &Load{Running: rapid.IntRange(0, 4).Draw(t, "running"), Slots: 4}, Signal: signal}, m.now)
	for _, waiting := range m.open {
		if i := waiting.Backend.Incarnation(); waiting.maySendAt(m.now) && (m.leaving[i] || m.now.Before(m.pausedUntil[i])) {
			t.Fatalf("a request that waits may be sent to %v after its announcement", i)
		}
	}
	if c.server.inflight < 0 {
		t.Fatalf("%d requests in flight at %s, want 0 or more", c.server.inflight, c.Backend.ID)
	}
}

// drawSignal returns what an answer announces, and records it.
func (m *model) drawSignal(t *rapid.T, i routing.Incarnation, outcome Outcome) (signal availability.Signal) {
	kind := rapid.IntRange(0, 9).Draw(t, "signal")
	switch {
	case kind == 0 && (outcome == Answered || outcome == Failed || outcome == Shed):
		signal.Leaving, m.leaving[i] = true, true
	case kind <= 2 && outcome == Shed:
		signal.Pause = time.Duration(rapid.IntRange(1, 3000).Draw(t, "paused")) * time.Millisecond
		if until := m.now.Add(signal.Pause); until.After(m.pausedUntil[i]) {
			m.pausedUntil[i] = until
		}
	}
	return signal
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
}

// TestExcludedServersAreNeverChosen runs random sequences of entries,
// evacuations, answers and time steps.
func TestExcludedServersAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range 4 {
			m.put(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "remove": m.remove, "evacuate": m.evacuate, "choose": m.choose, "choose again": m.choose, "done": m.done, "pass": m.advance,
		})
	})
}

// BenchmarkFailureCounts exchanges failure counts while none of many servers
// fails.
func BenchmarkFailureCounts(b *testing.B) {
	for _, servers := range []int{400, 3000, 19000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			balancer := NewBalancer(Locality{Zone: "n1", Region: "north"}, regions)
			for i := range servers {
				balancer.Put(backend(fmt.Sprint("i-", 8000+i), "n1"), start)
			}
			for b.Loop() {
				balancer.SetRegionFailures(balancer.FailureCounts(start), start)
			}
		})
	}
}
