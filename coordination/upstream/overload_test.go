package upstream

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/state/routing"
)

// overloadKind is a kind of request with its share of the load and the worth of an
// answer in time; one that is late has a fifth of it.
type overloadKind struct {
	name      string
	rank      int
	objective time.Duration
	share     float64
	worth     float64
	route     *routing.Route
}

// overloadResult counts what callers of one kind got.
type overloadResult struct {
	total, inTime, late, refusedAgain, failed int
	// Of the attempts, sentAfterWait waited at a daemon and were sent then. Those
	// refused count as refusedAfterWait if they were held for over an eighth of the
	// objective.
	refusedAtOnce, refusedAfterWait, sentAfterWait int
	// unreachable counts the sends to servers that had ended.
	unreachable int
}

func (r overloadResult) served() float64 { return float64(r.inTime+r.late) / float64(r.total) }

const (
	overloadSlots    = 4
	overloadWarm     = 240 * time.Millisecond
	overloadCold     = 800 * time.Millisecond
	overloadMemory   = 60 // objects that a server keeps warm
	overloadOneWay   = 10 * time.Millisecond
	overloadBudget   = 4 * time.Second
	overloadTimeout  = 1500 * time.Millisecond
	overloadDuration = 6 * time.Second
	// Loads are told to the other daemons at this interval and arrive this late.
	overloadShareInterval = 200 * time.Millisecond
	overloadShareLag      = 500 * time.Millisecond
	// A server sheds requests beyond these per slot.
	overloadShedAt = 3
	// In the middle third of the run, the first kind sends this many times as much.
	overloadBurst = 1.7
	lateWorth     = 0.2
)

// overloadRun plays clients, daemons and servers in simulated time.
type overloadRun struct {
	layout  overloadLayout
	now     time.Time
	events  eventQueue
	random  *rand.Rand
	kinds   []*overloadKind
	daemons []*Balancer
	servers map[string]*overloadServer
	results []overloadResult
	// steady leaves out the burst. Requests from countFrom on are counted.
	steady    bool
	countFrom time.Time
}

type overloadServer struct {
	running int
	queue   []overloadWork
	memory  []string // the object used last is the last
	// announce, unless it is nil, returns what the server says in an answer. A pause
	// is a rejection. The server ends at gone, unless that is zero.
	announce func(now time.Time) availability.Signal
	gone     time.Time
	peak     int // the most requests at the server
	arrived  int
}

type overloadWork struct {
	key      string
	deadline time.Time
	run      func()
	shed     func()
}

// overloadLayout is a number of servers and of the objects of all kinds.
type overloadLayout struct {
	name             string
	servers, objects int
}

var (
	// fewObjects has some servers with most of the load, which takes seconds to
	// become warm. manyObjects has the load spread evenly.
	fewObjects  = overloadLayout{"few objects", 36, 51}
	manyObjects = overloadLayout{"many objects", 24, 300}
)

// newOverloadRun prepares a run. compete sets whether the daemons know that the
// kinds' ranks compete.
func newOverloadRun(layout overloadLayout, kinds []*overloadKind, daemons int, compete bool, seed uint64) *overloadRun {
	s := &overloadRun{
		layout: layout, now: start, random: rand.New(rand.NewPCG(seed, uint64(daemons))), kinds: kinds,
		servers: map[string]*overloadServer{}, results: make([]overloadResult, len(kinds)),
	}
	var routes []routing.Route
	for _, k := range kinds {
		k.route = &routing.Route{
			Name: k.name, Host: "h", PathPrefix: "/" + k.name + "/", Priority: k.rank, LatencyObjective: k.objective,
			TrafficSplit: []routing.WeightedService{{Service: "stock", Weight: 1}},
		}
		routes = append(routes, *k.route)
	}
	configuration := routing.New(1, routes, nil, routing.ClientLimits{})
	for range daemons {
		b := NewBalancer(Locality{Zone: "n1", Region: "north"}, map[string]string{"n1": "north"})
		b.random = s.random.Float64
		if compete {
			b.ConfigureRanks(configuration)
		}
		s.daemons = append(s.daemons, b)
	}
	for i := range layout.servers {
		id := fmt.Sprint("i-", i)
		s.servers[id] = &overloadServer{}
		for _, b := range s.daemons {
			b.Put(routing.Backend{ID: id, StartedAtMs: 1, Service: "stock", Address: id, Zone: "n1", Slots: overloadSlots}, start)
			b.RecordRoundTrip(id, 2*overloadOneWay)
		}
	}
	return s
}

func (s *overloadRun) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now.Add(d), do})
}

// play sends load times what the servers handle if every object is warm.
func (s *overloadRun) play(load float64) []overloadResult {
	capacity := float64(s.layout.servers*overloadSlots) / overloadWarm.Seconds()
	for i, k := range s.kinds {
		for at := time.Duration(0); at < overloadDuration; {
			rate := capacity * load * k.share
			if i == 0 && !s.steady && at > overloadDuration/3 && at < overloadDuration*2/3 {
				rate *= overloadBurst
			}
			s.after(at, func() { s.arrive(i) })
			at += seconds(s.random.ExpFloat64() / rate)
		}
	}
	for at := time.Duration(0); at < overloadDuration; at += overloadShareInterval {
		s.after(at, s.shareLoads)
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	return s.results
}

// overloadCall is a client's request.
type overloadCall struct {
	kind     int
	key      string
	began    time.Time
	returned bool
}

func (s *overloadRun) arrive(kind int) {
	c := &overloadCall{kind: kind, key: fmt.Sprint(kind, "-", s.random.IntN(int(s.kinds[kind].share*float64(s.layout.objects)))), began: s.now}
	s.result(c).total++
	s.attempt(c)
}

// result returns where to count what the caller gets.
func (s *overloadRun) result(c *overloadCall) *overloadResult {
	if c.began.Before(s.countFrom) {
		return &overloadResult{}
	}
	return &s.results[c.kind]
}

func (s *overloadRun) attempt(c *overloadCall) {
	a := &overloadAttempt{overloadCall: c, arrived: s.now, daemon: s.daemons[s.random.IntN(len(s.daemons))]}
	s.decide(a)
}

// overloadAttempt is one attempt at a daemon.
type overloadAttempt struct {
	*overloadCall
	arrived time.Time
	daemon  *Balancer
	tried   []routing.Incarnation
	waiter  *Waiter
	until   time.Time
	mustEnd bool
}

func (a *overloadAttempt) clientDeadline() time.Time { return a.began.Add(overloadBudget) }

func (a *overloadAttempt) deadline() time.Time {
	deadline := a.arrived.Add(overloadTimeout)
	if deadline.After(a.clientDeadline()) {
		return a.clientDeadline()
	}
	return deadline
}

func (s *overloadRun) decide(a *overloadAttempt) {
	k := s.kinds[a.kind]
	choice, refusal := a.daemon.Choose(Request{
		Service: "stock", Key: a.key, Route: k.route, Rank: k.rank, Tried: a.tried, ObjectiveLeft: k.objective - s.now.Sub(a.arrived),
		TimeLeft: a.deadline().Sub(s.now), ClientTimeLeft: a.clientDeadline().Sub(s.now), Returning: a.returned,
		DaemonCount: len(s.daemons), Waiter: a.waiter, MustNotWait: a.mustEnd,
	}, s.now)
	if refusal != nil && refusal.Waiter != nil {
		s.wait(a, refusal)
		return
	}
	if a.waiter != nil {
		a.daemon.EndWait(a.waiter)
		a.waiter = nil
	}
	if refusal != nil {
		s.refused(a, refusal.RetryAfter)
		return
	}
	if !a.until.IsZero() {
		s.result(a.overloadCall).sentAfterWait++
	}
	a.tried = append(a.tried, choice.Backend.Incarnation())
	s.after(overloadOneWay, func() { s.receive(a, choice) })
}

// wait lets an attempt wait and decides about it again after a while.
func (s *overloadRun) wait(a *overloadAttempt, refusal *Refusal) {
	if a.until.IsZero() {
		a.until = s.now.Add(refusal.MaxWait)
	}
	if a.waiter != refusal.Waiter {
		if a.waiter != nil {
			a.daemon.EndWait(a.waiter)
		}
		a.waiter = refusal.Waiter
		a.mustEnd = !a.daemon.Wait(a.waiter, s.now)
	}
	s.after(min(25*time.Millisecond, a.until.Sub(s.now)), func() {
		a.mustEnd = a.mustEnd || a.waiter.Displaced() || !s.now.Before(a.until)
		s.decide(a)
	})
}

// refused lets the client return once.
func (s *overloadRun) refused(a *overloadAttempt, retryAfter time.Duration) {
	r := s.result(a.overloadCall)
	if s.now.Sub(a.arrived) > s.kinds[a.kind].objective/8 {
		r.refusedAfterWait++
	} else {
		r.refusedAtOnce++
	}
	if a.returned {
		r.refusedAgain++
		return
	}
	a.returned = true
	left := a.clientDeadline().Sub(s.now)
	s.after(min(retryAfter, left/3)+2*overloadOneWay, func() { s.attempt(a.overloadCall) })
}

// shareLoads tells all daemons the loads that each of them knows, as the relays do.
func (s *overloadRun) shareLoads() {
	newest := map[uint32]SharedLoad{}
	for _, b := range s.daemons {
		for _, load := range b.SharedLoads(false, s.now) {
			if load.At.After(newest[load.Server].At) {
				newest[load.Server] = load
			}
		}
	}
	all := slices.Collect(maps.Values(newest))
	s.after(overloadShareLag, func() {
		for _, b := range s.daemons {
			b.ApplySharedLoads(all, true, s.now)
		}
	})
}

func (s *overloadRun) receive(a *overloadAttempt, choice *Choice) {
	srv, sent := s.servers[choice.Backend.ID], s.now
	var signal availability.Signal
	finish := func(outcome Outcome) {
		load := &Load{Running: srv.running, Waiting: len(srv.queue), Slots: overloadSlots}
		s.after(overloadOneWay, func() {
			choice.Done(Result{Outcome: outcome, Load: load, Latency: s.now.Sub(sent) + overloadOneWay, Signal: signal}, s.now)
			s.ended(a, outcome)
		})
	}
	work := overloadWork{key: a.key, deadline: a.deadline(), shed: func() { finish(Shed) }}
	work.run = func() {
		srv.running++
		s.after(srv.duration(a.key, s.random), func() {
			srv.running--
			finish(Answered)
			s.next(srv)
		})
	}
	if !srv.gone.IsZero() && s.now.After(srv.gone) {
		s.after(overloadOneWay, func() {
			choice.Done(Result{Outcome: Unreachable}, s.now)
			s.result(a.overloadCall).unreachable++
			s.ended(a, Unreachable)
		})
		return
	}
	if srv.announce != nil {
		signal = srv.announce(s.now)
	}
	srv.arrived++
	switch {
	case signal.Pause > 0:
		work.shed()
	case srv.running < overloadSlots:
		work.run()
	case srv.running+len(srv.queue) >= overloadShedAt*overloadSlots:
		work.shed()
	default:
		srv.queue = append(srv.queue, work)
	}
	srv.peak = max(srv.peak, srv.running+len(srv.queue))
}

func (s *overloadRun) next(srv *overloadServer) {
	for len(srv.queue) > 0 {
		w := srv.queue[0]
		srv.queue = srv.queue[1:]
		if s.now.Before(w.deadline) {
			w.run()
			return
		}
		w.shed()
	}
}

// duration returns the time to work on an object, which is then warm.
func (srv *overloadServer) duration(key string, random *rand.Rand) time.Duration {
	d := overloadCold
	if i := slices.Index(srv.memory, key); i >= 0 {
		d = overloadWarm
		srv.memory = slices.Delete(srv.memory, i, i+1)
	}
	srv.memory = append(srv.memory, key)
	srv.memory = srv.memory[max(0, len(srv.memory)-overloadMemory):]
	return seconds(d.Seconds() * (0.85 + 0.3*random.Float64()))
}

func (s *overloadRun) ended(a *overloadAttempt, outcome Outcome) {
	r, took := s.result(a.overloadCall), s.now.Sub(a.began)
	switch {
	case outcome == Shed && len(a.tried) < 2 && s.now.Before(a.deadline()), outcome == Unreachable:
		s.decide(a)
	case outcome == Shed:
		s.refused(a, 100*time.Millisecond)
	case s.now.After(a.arrived.Add(overloadTimeout)) || s.now.After(a.clientDeadline()):
		r.failed++
	case took <= s.kinds[a.kind].objective:
		r.inTime++
	default:
		r.late++
	}
}

// lost returns the fraction of the worth that callers do not get.
func lost(kinds []*overloadKind, results []overloadResult) float64 {
	owed, earned := 0.0, 0.0
	for i, r := range results {
		owed += kinds[i].worth * float64(r.total)
		earned += kinds[i].worth * (float64(r.inTime) + lateWorth*float64(r.late))
	}
	return 1 - earned/owed
}

// refusedAgain returns the fraction of the worth that is refused to requests that
// returned.
func refusedAgain(kinds []*overloadKind, results []overloadResult) float64 {
	owed, refused := 0.0, 0.0
	for i, r := range results {
		owed += kinds[i].worth * float64(r.total)
		refused += kinds[i].worth * float64(r.refusedAgain)
	}
	return refused / owed
}

// overloadSeeds are the seeds of the runs that results are summed over. The worth lost
// in single runs differs by up to 0.03.
var overloadSeeds = []uint64{11, 12}

// playAll returns the sums of the results of the runs with overloadSeeds.
func playAll(layout overloadLayout, kinds []*overloadKind, daemons int, compete bool, load float64) []overloadResult {
	sums := make([]overloadResult, len(kinds))
	for _, seed := range overloadSeeds {
		for i, r := range newOverloadRun(layout, kinds, daemons, compete, seed).play(load) {
			s := &sums[i]
			s.total, s.inTime, s.late, s.refusedAgain, s.failed = s.total+r.total, s.inTime+r.inTime, s.late+r.late, s.refusedAgain+r.refusedAgain, s.failed+r.failed
			s.refusedAtOnce, s.refusedAfterWait, s.sentAfterWait = s.refusedAtOnce+r.refusedAtOnce, s.refusedAfterWait+r.refusedAfterWait, s.sentAfterWait+r.sentAfterWait
		}
	}
	return sums
}

// leastShare returns the least share served of any kind, relative to that of all.
func leastShare(results []overloadResult) float64 {
	total, served, least := 0.0, 0.0, 1.0
	for _, r := range results {
		total += float64(r.total)
		served += float64(r.inTime + r.late)
		least = min(least, r.served())
	}
	return least / (served / total)
}

func threeKinds() []*overloadKind {
	return []*overloadKind{
		{name: "dispatch", rank: 0, objective: 500 * time.Millisecond, share: 0.15, worth: 4},
		{name: "lodgement", rank: 1, objective: 800 * time.Millisecond, share: 0.35, worth: 2},
		{name: "lookup", rank: 2, objective: 600 * time.Millisecond, share: 0.5, worth: 1},
	}
}

// TestOneRankIsServedAsBefore guards deployments whose ranks do not compete against
// another service than before.
func TestOneRankIsServedAsBefore(t *testing.T) {
	kinds := threeKinds()
	for _, k := range kinds {
		k.rank = 1
	}
	before := newOverloadRun(manyObjects, kinds, 9, false, overloadSeeds[0]).play(1.5)
	after := newOverloadRun(manyObjects, kinds, 9, true, overloadSeeds[0]).play(1.5)
	if !slices.Equal(before, after) {
		t.Errorf("callers get %+v, want %+v as before", after, before)
	}
}

// TestOverloadCostsCallersLess guards against servers' queues filled in order of
// arrival, in which urgent requests wait behind others until they are late. The
// rule without the decision is that of services with one rank.
func TestOverloadCostsCallersLess(t *testing.T) {
	cases := []struct {
		layout  overloadLayout
		daemons int
		// minGain is the least fraction of the worth that callers must get more, on
		// average over the loads, and maxRefusedAgain the largest that may be refused to
		// returning requests.
		minGain, maxRefusedAgain float64
	}{
		{manyObjects, 1, 0.12, 0.51}, {manyObjects, 9, 0.11, 0.555}, {manyObjects, 74, 0.08, 0.52},
		{fewObjects, 1, 0.115, 0.505}, {fewObjects, 9, 0.05, 0.47}, {fewObjects, 74, 0.055, 0.467},
	}
	loads := []float64{1, 2, 3}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s, %d daemons", c.layout.name, c.daemons), func(t *testing.T) {
			gain, urgentGain, again := 0.0, 0.0, 0.0
			for _, load := range loads {
				kinds := threeKinds()
				before := playAll(c.layout, kinds, c.daemons, false, load)
				after := playAll(c.layout, kinds, c.daemons, true, load)
				for i, k := range kinds {
					t.Logf("load %.1f %-9s without %+v", load, k.name, before[i])
					t.Logf("load %.1f %-9s with    %+v", load, k.name, after[i])
				}
				t.Logf("load %.1f: worth lost %.3f without, %.3f with", load, lost(kinds, before), lost(kinds, after))
				again += refusedAgain(kinds, after) / float64(len(loads))
				gain += (lost(kinds, before) - lost(kinds, after)) / float64(len(loads))
				urgentGain += (after[0].served() - before[0].served()) / float64(len(loads))
				if got := leastShare(after); got < 0.25 {
					t.Errorf("load %.1f: a kind is served %.2f of the average share, want at least 0.25", load, got)
				}
			}
			t.Logf("gain %.3f, %.3f more of the most urgent served, worth refused again %.3f", gain, urgentGain, again)
			if gain < c.minGain {
				t.Errorf("callers get %.3f more of the worth, want at least %.3f", gain, c.minGain)
			}
			if again > c.maxRefusedAgain {
				t.Errorf("%.3f of the worth is refused again, want at most %.3f", again, c.maxRefusedAgain)
			}
			if urgentGain < 0 {
				t.Errorf("%.3f less of the most urgent requests are served", -urgentGain)
			}
		})
	}
}

// TestSharesAreKeptForTheSameRanks guards against shares of one rank that count for
// another after a change of the configuration.
func TestSharesAreKeptForTheSameRanks(t *testing.T) {
	configuration := func(ranks ...int) *routing.Configuration {
		var routes []routing.Route
		for i, rank := range ranks {
			routes = append(routes, routing.Route{Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprint("/", i, "/"), Priority: rank, TrafficSplit: []routing.WeightedService{{Service: "stock", Weight: 1}}})
		}
		return routing.New(1, routes, nil, routing.ClientLimits{})
	}
	b := NewBalancer(Locality{}, nil)
	b.ConfigureRanks(configuration(0, 2))
	for range 10 {
		b.competitions["stock"].shares.Record(0, 2, true, start)
	}
	b.ConfigureRanks(configuration(0, 2))
	if b.competitions["stock"].shares.Demand(2, start) == nil {
		t.Error("shares are lost although the ranks are the same")
	}
	b.ConfigureRanks(configuration(2, 3))
	if got := b.competitions["stock"].shares.Demand(2, start); got != nil {
		t.Errorf("demand %v of ranks 0 and 2 counts for ranks 2 and 3", got)
	}
}
