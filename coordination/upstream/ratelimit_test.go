package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

const (
	// limitWindow is the span over which arrivals at a limited server count, and
	// limitExcess how much more than the limit may arrive in it, besides limitSlack
	// requests.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	// limitStable is the time after a server first named its limit from which the
	// limit binds, limitTold how long before an arrival its daemon was told.
	limitStable = 3 * time.Second
	limitTold   = 500 * time.Millisecond

	limitServers  = 12
	limitObjects  = 137
	limitWork     = 90 * time.Millisecond
	limitPlayTime = 40 * time.Second
	// limitBegins and limitEnds bound the time in which some servers name a limit.
	limitBegins = 8 * time.Second
	limitEnds   = 30 * time.Second
)

// limitPlay plays the callers of a fleet of daemons against servers of which some
// name a limit.
type limitPlay struct {
	now               time.Time
	events            eventQueue
	random            *rand.Rand
	daemons           []*limitedDaemon
	servers           map[string]*limitedServer
	load              limitLoad
	answered, refused int
}

// limitLoad is a load of requests.
type limitLoad struct {
	// total is the number of requests per second at a time.
	total func(at time.Duration) float64
	// busy is the number of daemons that get nine in ten requests, or 0 if all get
	// the same.
	busy int
}

type limitedDaemon struct {
	balancer *Balancer
	told     map[string]time.Time
}

type limitedServer struct {
	limit    RateLimit
	running  int
	arrivals []limitedArrival
}

type limitedArrival struct {
	at     time.Time
	daemon int
}

func newLimitPlay(daemons int, seed uint64, limits map[int]RateLimit, load limitLoad) *limitPlay {
	p := &limitPlay{now: start, random: rand.New(rand.NewPCG(seed, 0)), servers: map[string]*limitedServer{}, load: load}
	regions := map[string]string{"a1": "a", "b1": "b", "c1": "c"}
	for i := range daemons {
		region := string("abc"[i%3])
		d := &limitedDaemon{NewBalancer(Locality{Zone: region + "1", Region: region}, regions), map[string]time.Time{}}
		d.balancer.random = p.random.Float64
		p.daemons = append(p.daemons, d)
	}
	for i := range limitServers {
		id := fmt.Sprint("i-", i)
		p.servers[id] = &limitedServer{limit: limits[i]}
		for _, d := range p.daemons {
			d.balancer.Put(routing.Backend{ID: id, StartedAtMs: 1, Service: "stock", Address: id, Zone: string("abc"[i%3]) + "1", Slots: 9}, start)
		}
	}
	return p
}

func (p *limitPlay) after(d time.Duration, do func()) { heap.Push(&p.events, event{p.now.Add(d), do}) }

func (p *limitPlay) run() {
	p.scheduleRequest()
	for p.events.Len() > 0 {
		next := heap.Pop(&p.events).(event)
		p.now = next.at
		next.do()
	}
}

// scheduleRequest draws the next request from the largest load and drops the excess
// over the load of that time.
func (p *limitPlay) scheduleRequest() {
	const most = 2000.0
	if p.now.Sub(start) > limitPlayTime {
		return
	}
	p.after(time.Duration(p.random.ExpFloat64()*float64(time.Second)/most), func() {
		if p.random.Float64()*most < p.load.total(p.now.Sub(start)) {
			p.send(p.pickDaemon())
		}
		p.scheduleRequest()
	})
}

func (p *limitPlay) pickDaemon() int {
	if p.load.busy > 0 && p.random.Float64() < 0.9 {
		return p.random.IntN(p.load.busy)
	}
	return p.random.IntN(len(p.daemons))
}

func (p *limitPlay) send(daemon int) {
	d := p.daemons[daemon]
	c, refusal := d.balancer.Choose(Request{
		Service: "stock", Key: fmt.Sprint(p.random.IntN(limitObjects)), ObjectiveLeft: 200 * time.Millisecond, TimeLeft: time.Second,
		ColdRate: 22, DaemonCount: len(p.daemons),
	}, p.now)
	if refusal != nil {
		p.refused++
		return
	}
	id := c.Backend.ID
	srv := p.servers[id]
	srv.arrivals = append(srv.arrivals, limitedArrival{p.now, daemon})
	srv.running++
	p.after(limitWork, func() {
		srv.running--
		p.answered++
		r := Result{Outcome: Answered, Latency: limitWork, Load: &Load{Running: srv.running, Slots: 9}}
		if at := p.now.Sub(start); srv.limit > 0 && at >= limitBegins && at < limitEnds {
			limit := srv.limit
			r.RateLimit = &limit
			if d.told[id].IsZero() {
				d.told[id] = p.now
			}
		}
		c.Done(r, p.now)
	})
}

// checkLimits reports each limited server that got more in some window than its
// limit allows, from the daemons that it had told before.
func (p *limitPlay) checkLimits(t *testing.T) {
	t.Helper()
	for id, srv := range p.servers {
		if srv.limit == 0 {
			continue
		}
		var counted []time.Time
		for _, a := range srv.arrivals {
			told := p.daemons[a.daemon].told[id]
			elapsed := a.at.Sub(start)
			if !told.IsZero() && a.at.Sub(told) >= limitTold && elapsed >= limitBegins+limitStable && elapsed < limitEnds {
				counted = append(counted, a.at)
			}
		}
		allowed := limitExcess*float64(srv.limit)*limitWindow.Seconds() + limitSlack
		first := 0
		for last, at := range counted {
			for at.Sub(counted[first]) > limitWindow {
				first++
			}
			if n := last - first + 1; float64(n) > allowed {
				t.Errorf("%s with a limit of %v a second got %d requests in %s, want at most %v", id, srv.limit, n, limitWindow, allowed)
				break
			}
		}
	}
}

// rateBetween returns the requests per second that a server got.
func (p *limitPlay) rateBetween(id string, from, until time.Duration) float64 {
	n := 0
	for _, a := range p.servers[id].arrivals {
		if at := a.at.Sub(start); at >= from && at < until {
			n++
		}
	}
	return float64(n) / (until - from).Seconds()
}

// constantLoad is a load that does not change.
func constantLoad(total float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return total }
}

// lateRush is a load that becomes more than fifty times as large.
func lateRush(at time.Duration) float64 {
	if at > 20*time.Second {
		return 1600
	}
	return 30
}

// TestFleetKeepsServerLimit guards against servers that get several times the
// requests that they named as their limit.
func TestFleetKeepsServerLimit(t *testing.T) {
	limits := map[int]RateLimit{0: 17.8, 1: 10.9, 2: 3, 3: 1, 4: 0.2}
	for name, play := range map[string]struct {
		daemons int
		load    limitLoad
	}{
		"one daemon":               {1, limitLoad{total: constantLoad(400)}},
		"nine daemons":             {9, limitLoad{total: constantLoad(540)}},
		"most load at two of nine": {9, limitLoad{total: constantLoad(540), busy: 2}},
		"77 daemons":               {77, limitLoad{total: constantLoad(900)}},
		"77 daemons, late rush":    {77, limitLoad{total: lateRush}},
		"295 daemons, late rush":   {295, limitLoad{total: lateRush}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				p := newLimitPlay(play.daemons, seed, limits, play.load)
				p.run()
				p.checkLimits(t)
			}
		})
	}
}

// TestCallersAreServedBesideLimitedServers checks that requests beyond the limits go
// to the other servers, that limited servers get most of what they accept, and that
// they get their objects back when they no longer name a limit.
func TestCallersAreServedBesideLimitedServers(t *testing.T) {
	limits := map[int]RateLimit{0: 17.8, 1: 10.9, 2: 17.8}
	p := newLimitPlay(9, 1, limits, limitLoad{total: constantLoad(540)})
	p.run()
	if p.refused > 0 {
		t.Errorf("%d of %d requests were refused, want none", p.refused, p.refused+p.answered)
	}
	var before, after float64
	for i, limit := range limits {
		id := fmt.Sprint("i-", i)
		during := p.rateBetween(id, limitBegins+limitStable, limitEnds)
		if during < 0.8*float64(limit) {
			t.Errorf("%s got %.1f requests a second, want at least 0.8 of its limit %v", id, during, limit)
		}
		before += p.rateBetween(id, 0, limitBegins)
		after += p.rateBetween(id, limitEnds+time.Second, limitPlayTime)
	}
	if after < 0.9*before {
		t.Errorf("the servers got %.1f requests a second after their limits ended, want about the %.1f of before", after, before)
	}
}

// limitedBalancer returns the function to choose for a request at a time, from one
// server that names a limit of 18 a second, which nine daemons share.
func limitedBalancer(t *testing.T) (choose func(at time.Time) (*Choice, *Refusal)) {
	t.Helper()
	b := NewBalancer(Locality{Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
	b.Put(routing.Backend{ID: "i-0", StartedAtMs: 1, Service: "stock", Address: "i-0", Zone: "a1", Slots: 9}, start)
	choose = func(at time.Time) (*Choice, *Refusal) {
		return b.Choose(Request{Service: "stock", Key: "k", ObjectiveLeft: time.Second, TimeLeft: time.Second, DaemonCount: 9}, at)
	}
	c, refusal := choose(start)
	if refusal != nil {
		t.Fatalf("request to a server without a limit was refused: %s", refusal.Reason)
	}
	limit := RateLimit(18)
	if !c.Done(Result{Outcome: Answered, RateLimit: &limit, Latency: limitWork}, start) {
		t.Fatal("a limit that begins was not reported as a change")
	}
	return choose
}

// TestRequestBeyondAllLimitsIsRefused checks that a request is refused at once if no
// server has a share left, with the time after which one has.
func TestRequestBeyondAllLimitsIsRefused(t *testing.T) {
	choose := limitedBalancer(t)
	_, refusal := choose(start)
	if refusal == nil || refusal.Reason != ReasonRateLimit || refusal.RetryAfter != 500*time.Millisecond {
		t.Fatalf("got refusal %+v, want %s with a retry after 500ms at a share of 2 a second", refusal, ReasonRateLimit)
	}
	if _, refusal := choose(start.Add(refusal.RetryAfter)); refusal != nil {
		t.Errorf("refused with %s after the retry delay", refusal.Reason)
	}
}

// TestOnlyLaterAnswerEndsLimit guards against a limit that is dropped because of the
// answer to a request sent before the server named it, or of a refusal.
func TestOnlyLaterAnswerEndsLimit(t *testing.T) {
	b := NewBalancer(Locality{Zone: "a1", Region: "a"}, map[string]string{"a1": "a"})
	b.Put(routing.Backend{ID: "i-0", StartedAtMs: 1, Service: "stock", Address: "i-0", Zone: "a1", Slots: 9}, start)
	choose := func(at time.Duration) *Choice {
		c, refusal := b.Choose(Request{Service: "stock", ObjectiveLeft: time.Second, TimeLeft: time.Second, DaemonCount: 1}, start.Add(at))
		if refusal != nil {
			t.Fatalf("refused with %s after %s", refusal.Reason, at)
		}
		return c
	}
	limit := RateLimit(2)
	earlier, naming := choose(0), choose(0)
	naming.Done(Result{Outcome: Answered, RateLimit: &limit}, start.Add(time.Second))
	if earlier.Done(Result{Outcome: Answered}, start.Add(2*time.Second)) {
		t.Error("the answer to an earlier request ended the limit")
	}
	if choose(3*time.Second).Done(Result{Outcome: Shed}, start.Add(3*time.Second)) {
		t.Error("a refusal ended the limit")
	}
	if !choose(5*time.Second).Done(Result{Outcome: Answered}, start.Add(5*time.Second)) {
		t.Error("the answer to a later request did not end the limit")
	}
}
