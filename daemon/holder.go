package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/hold"
	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/coordination/schedule"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"
)

const (
	// waitingPerSlot is the length of an upstream's queue for each slot.
	waitingPerSlot = 64
	// failingAfter is the number of failed connections in a row after which
	// an upstream counts as failing.
	failingAfter = 3
	// busyFactor times the mean time of an answer is how long a request
	// without one is taken to run, at most maxBusy.
	busyFactor = 2
	maxBusy    = 10 * time.Second
)

// errNotHolder ends requests that wait for a slot of an upstream that this
// daemon no longer holds.
var errNotHolder = errors.New("not the holder of the upstream")

// holdState is where a daemon stands with an upstream.
type holdState int

const (
	holdClosed holdState = iota
	// holdClaiming is the state while other members are asked, holdRechecking
	// while those are asked that appeared since.
	holdClaiming
	holdRechecking
	holdOpen
)

// holders keeps the upstreams whose slots this daemon schedules.
type holders struct {
	log  zerolog.Logger
	mu   sync.Mutex
	held map[string]*held
}

// held is one upstream with its slots and its connections.
type held struct {
	log       zerolog.Logger
	scheduler *schedule.Scheduler

	mu       sync.Mutex
	upstream catalogue.Upstream
	client   *backendhttp.Client
	state    holdState
	// generation counts the changes of state.
	generation int
	// alone is true if other members were outwaited.
	alone bool
	// asked are the incarnations of the members that were asked.
	asked map[string]bool
	// usable is when the upstream became usable, zero if it always was.
	usable time.Time
	// failures counts failed connections in a row.
	failures int
	service  time.Duration
	lastDone time.Time
}

func newHolders(log zerolog.Logger) *holders {
	return &holders{log: log, held: map[string]*held{}}
}

// dispatchHere runs a request on an upstream whose slots this daemon holds.
func (d *Daemon) dispatchHere(ctx context.Context, upstream string, req *request.Request) request.Answer {
	set := d.catalogue.Load()
	u := set.Upstream(upstream)
	if u == nil || d.drains.leaving(upstream) {
		return request.NotRunAnswer(request.ReasonDraining, upstream)
	}
	h := d.holders.get(u)
	if !d.isHolder(u) || !h.takesWork() {
		return request.NotRunAnswer(request.ReasonNotHolder, upstream)
	}
	queued, taken := d.drains.whileTaking(ctx, upstream)
	release, err := h.scheduler.Acquire(queued, classOf(set, req), req.Deadline)
	taken()
	if err != nil {
		return refuseSlot(upstream, err)
	}
	// The daemon may have been paused or replaced while the request waited.
	if !h.isOpen() || !d.mayDispatch(h) {
		release()
		return request.NotRunAnswer(request.ReasonNotHolder, upstream)
	}
	started := time.Now()
	answer := h.run(ctx, req)
	if busy := h.stillBusy(answer, time.Since(started)); busy > 0 {
		time.AfterFunc(busy, release)
	} else {
		release()
	}
	answer.Upstream = upstream
	return answer
}

// classOf returns what the catalogue says of a request's work.
func classOf(set *catalogue.Set, req *request.Request) schedule.Class {
	class := schedule.Class{Service: req.Service, Owner: req.Owner, Rank: req.Rank}
	if service := set.Service(req.Service); service != nil {
		class.Guaranteed = service.Class.Guaranteed
		class.Worth = service.Class.Worth
	}
	return class
}

// refuseSlot returns the outcome of a request that got no slot.
func refuseSlot(upstream string, err error) request.Answer {
	reason := request.ReasonTooLate
	switch {
	case errors.Is(err, schedule.ErrQueueFull):
		reason = request.ReasonQueueFull
	case errors.Is(err, errDraining):
		reason = request.ReasonDraining
	case errors.Is(err, errNotHolder):
		reason = request.ReasonNotHolder
	case errors.Is(err, context.Canceled):
		reason = request.ReasonCancelled
	}
	return request.NotRunAnswer(reason, upstream+": "+err.Error())
}

// takesWork reports whether requests may wait for a slot here: the daemon
// holds the upstream, or is about to again.
func (h *held) takesWork() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == holdOpen || h.state == holdRechecking
}

// clientNow returns the client of the upstream's present address.
func (h *held) clientNow() *backendhttp.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.client
}

// run runs a request that has a slot.
func (h *held) run(ctx context.Context, req *request.Request) request.Answer {
	started := time.Now()
	answer := h.clientNow().Run(ctx, req)
	h.note(answer, started, time.Now())
	return answer
}

// stillBusy is how long the upstream is expected to go on with a request that
// ended without its answer. The slot is not free before.
func (h *held) stillBusy(answer request.Answer, passed time.Duration) time.Duration {
	if answer.Outcome != request.OutcomeUnknown {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, min(busyFactor*h.service, maxBusy)-passed)
}

// note learns from an answer how the upstream does.
func (h *held) note(answer request.Answer, started, now time.Time) {
	const weight = 10
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer.Reason == request.ReasonConnect {
		h.failures++
		return
	}
	if answer.Outcome != request.OutcomeDone {
		return
	}
	if h.failures >= failingAfter {
		h.usable = now
	}
	h.failures = 0
	if h.service == 0 {
		h.service = now.Sub(started)
	}
	h.service += (now.Sub(started) - h.service) / weight
	h.lastDone = now
}

// load returns the load of an upstream that this daemon holds.
func (h *held) load(now time.Time) placement.Load {
	inUse, waiting := h.scheduler.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	return placement.Load{
		InUse: inUse, Waiting: waiting, ServiceTime: h.service, UpdatedAt: now,
		Connected: !h.lastDone.IsZero(), Failing: h.failures >= failingAfter,
	}
}

// load returns the load of an upstream as its holder knows it.
func (h *holders) load(upstream string) placement.Load {
	h.mu.Lock()
	found, ok := h.held[upstream]
	h.mu.Unlock()
	if !ok {
		return placement.Load{}
	}
	return found.load(time.Now())
}

// update takes changes of the catalogue over.
func (h *holders) update(set *catalogue.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, held := range h.held {
		if u := set.Upstream(name); u != nil {
			held.update(u, set.UpstreamDraining(u), time.Now())
		}
	}
}

func (h *held) update(u *catalogue.Upstream, leaving bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Address != h.upstream.Address || u.Connections != h.upstream.Connections {
		old := h.client
		h.client = backendhttp.New(u.Address, u.Connections)
		h.usable = now
		old.Close()
	}
	if leaving {
		// Work that comes back starts slowly.
		h.usable = now
	}
	h.upstream = *u
	h.scheduler.SetLimits(h.limits(now))
}

// limits are the scheduler's limits. The lock must be held.
func (h *held) limits(now time.Time) schedule.Limits {
	slots := h.upstream.Slots
	if !h.usable.IsZero() {
		slots = hold.SlowStartSlots(slots, now.Sub(h.usable))
	}
	return schedule.Limits{Slots: slots, MaxWaiting: h.upstream.Slots * waitingPerSlot}
}

func (h *holders) get(u *catalogue.Upstream) *held {
	h.mu.Lock()
	defer h.mu.Unlock()
	if found, ok := h.held[u.Name]; ok {
		return found
	}
	created := &held{
		log:       h.log.With().Str("upstream", u.Name).Logger(),
		upstream:  *u,
		scheduler: schedule.New(schedule.Limits{Slots: u.Slots, MaxWaiting: u.Slots * waitingPerSlot}),
		client:    backendhttp.New(u.Address, u.Connections),
	}
	h.held[u.Name] = created
	return created
}

// loads keeps the latest known load of each upstream.
type loads struct {
	mu    sync.Mutex
	known map[string]placement.Load
}

func newLoads() *loads { return &loads{known: map[string]placement.Load{}} }

func (l *loads) get(upstream string) placement.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[upstream]
}

func (l *loads) set(upstream string, load placement.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[upstream] = load
}

// fail marks an upstream whose holder could not be reached.
func (l *loads) fail(upstream string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.known[upstream]
	load.Failing = true
	load.UpdatedAt = now
	l.known[upstream] = load
}
