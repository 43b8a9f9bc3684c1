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
	// maxWaitingPerSlot is the length of an upstream's queue for each slot.
	maxWaitingPerSlot = 64
	// failingThreshold is the number of failed connections in a row after which
	// an upstream counts as failing.
	failingThreshold = 3
	// busyFactor times the mean time of an answer is how long a request
	// without one is taken to run, at most maxBusy.
	busyFactor  = 2
	maxBusyTime = 10 * time.Second
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

// heldUpstreams keeps the upstreams whose slots this daemon schedules.
type heldUpstreams struct {
	log  zerolog.Logger
	mu   sync.Mutex
	held map[string]*heldUpstream
}

// heldUpstream is one upstream with its slots and its connections.
type heldUpstream struct {
	log       zerolog.Logger
	scheduler *schedule.Scheduler

	mu       sync.Mutex
	upstream catalogue.Upstream
	client   *backendhttp.Client
	state    holdState
	// generation counts the changes of state.
	generation int
	// unverified is true if other members were outwaited.
	unverified bool
	// askedIncarnations are the incarnations of the members that were asked.
	askedIncarnations map[string]bool
	// usableSince is when the upstream became usable, zero if it always was.
	usableSince time.Time
	// consecutiveFailures counts failed connections in a row.
	consecutiveFailures int
	serviceTime         time.Duration
	lastCompleted       time.Time
}

func newHeldUpstreams(log zerolog.Logger) *heldUpstreams {
	return &heldUpstreams{log: log, held: map[string]*heldUpstream{}}
}

// dispatchLocal runs a request on an upstream whose slots this daemon holds.
func (d *Daemon) dispatchLocal(ctx context.Context, upstream string, req *request.Request) request.Answer {
	set := d.catalogue.Load()
	u := set.Upstream(upstream)
	if u == nil || d.drains.upstreamDraining(upstream) {
		return request.NotRunAnswer(request.ReasonDraining, upstream)
	}
	h := d.holders.getOrCreate(u)
	if !d.isHolder(u) || !h.acceptsRequests() {
		return request.NotRunAnswer(request.ReasonNotHolder, upstream)
	}
	queued, taken := d.drains.contextUntilDrain(ctx, upstream)
	release, err := h.scheduler.Acquire(queued, schedulingClass(set, req), req.Deadline)
	taken()
	if err != nil {
		return noSlotAnswer(upstream, err)
	}
	// The daemon may have been paused or replaced while the request waited.
	if !h.isOpen() || !d.mayDispatch(h) {
		release()
		return request.NotRunAnswer(request.ReasonNotHolder, upstream)
	}
	started := time.Now()
	answer := h.run(ctx, req)
	if busy := h.remainingBusyTime(answer, time.Since(started)); busy > 0 {
		time.AfterFunc(busy, release)
	} else {
		release()
	}
	answer.Upstream = upstream
	return answer
}

// schedulingClass returns what the catalogue says of a request's work.
func schedulingClass(set *catalogue.Set, req *request.Request) schedule.Class {
	class := schedule.Class{Service: req.Service, Owner: req.Owner, Rank: req.Rank}
	if service := set.Service(req.Service); service != nil {
		class.Guaranteed = service.Class.Guaranteed
		class.Worth = service.Class.Worth
	}
	return class
}

// noSlotAnswer returns the outcome of a request that got no slot.
func noSlotAnswer(upstream string, err error) request.Answer {
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

// acceptsRequests reports whether requests may wait for a slot here: the daemon
// holds the upstream, or is about to again.
func (h *heldUpstream) acceptsRequests() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == holdOpen || h.state == holdRechecking
}

// currentClient returns the client of the upstream's present address.
func (h *heldUpstream) currentClient() *backendhttp.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.client
}

// run runs a request that has a slot.
func (h *heldUpstream) run(ctx context.Context, req *request.Request) request.Answer {
	started := time.Now()
	answer := h.currentClient().Run(ctx, req)
	h.recordAnswer(answer, started, time.Now())
	return answer
}

// remainingBusyTime is how long the upstream is expected to go on with a request that
// ended without its answer. The slot is not free before.
func (h *heldUpstream) remainingBusyTime(answer request.Answer, passed time.Duration) time.Duration {
	if answer.Outcome != request.OutcomeUnknown {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, min(busyFactor*h.serviceTime, maxBusyTime)-passed)
}

// recordAnswer learns from an answer how the upstream does.
func (h *heldUpstream) recordAnswer(answer request.Answer, started, now time.Time) {
	const weight = 10
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer.Reason == request.ReasonConnect {
		h.consecutiveFailures++
		return
	}
	if answer.Outcome != request.OutcomeDone {
		return
	}
	if h.consecutiveFailures >= failingThreshold {
		h.usableSince = now
	}
	h.consecutiveFailures = 0
	if h.serviceTime == 0 {
		h.serviceTime = now.Sub(started)
	}
	h.serviceTime += (now.Sub(started) - h.serviceTime) / weight
	h.lastCompleted = now
}

// load returns the load of an upstream that this daemon holds.
func (h *heldUpstream) load(now time.Time) placement.Load {
	inUse, waiting := h.scheduler.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	return placement.Load{
		InUse: inUse, Waiting: waiting, ServiceTime: h.serviceTime, UpdatedAt: now,
		Connected: !h.lastCompleted.IsZero(), Failing: h.consecutiveFailures >= failingThreshold,
	}
}

// load returns the load of an upstream as its holder knows it.
func (h *heldUpstreams) load(upstream string) placement.Load {
	h.mu.Lock()
	found, ok := h.held[upstream]
	h.mu.Unlock()
	if !ok {
		return placement.Load{}
	}
	return found.load(time.Now())
}

// update takes changes of the catalogue over.
func (h *heldUpstreams) update(set *catalogue.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, held := range h.held {
		if u := set.Upstream(name); u != nil {
			held.update(u, set.UpstreamDraining(u), time.Now())
		}
	}
}

func (h *heldUpstream) update(u *catalogue.Upstream, leaving bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Address != h.upstream.Address || u.Connections != h.upstream.Connections {
		old := h.client
		h.client = backendhttp.New(u.Address, u.Connections)
		h.usableSince = now
		old.Close()
	}
	if leaving {
		// Work that comes back starts slowly.
		h.usableSince = now
	}
	h.upstream = *u
	h.scheduler.SetLimits(h.schedulerLimits(now))
}

// schedulerLimits are the scheduler's limits. The lock must be held.
func (h *heldUpstream) schedulerLimits(now time.Time) schedule.Limits {
	slots := h.upstream.Slots
	if !h.usableSince.IsZero() {
		slots = hold.SlowStartSlots(slots, now.Sub(h.usableSince))
	}
	return schedule.Limits{Slots: slots, MaxWaiting: h.upstream.Slots * maxWaitingPerSlot}
}

func (h *heldUpstreams) getOrCreate(u *catalogue.Upstream) *heldUpstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	if found, ok := h.held[u.Name]; ok {
		return found
	}
	created := &heldUpstream{
		log:       h.log.With().Str("upstream", u.Name).Logger(),
		upstream:  *u,
		scheduler: schedule.New(schedule.Limits{Slots: u.Slots, MaxWaiting: u.Slots * maxWaitingPerSlot}),
		client:    backendhttp.New(u.Address, u.Connections),
	}
	h.held[u.Name] = created
	return created
}

// upstreamLoads keeps the latest known load of each upstream.
type upstreamLoads struct {
	mu    sync.Mutex
	loads map[string]placement.Load
}

func newUpstreamLoads() *upstreamLoads { return &upstreamLoads{loads: map[string]placement.Load{}} }

func (l *upstreamLoads) get(upstream string) placement.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[upstream]
}

func (l *upstreamLoads) set(upstream string, load placement.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads[upstream] = load
}

// markFailing marks an upstream whose holder could not be reached.
func (l *upstreamLoads) markFailing(upstream string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.loads[upstream]
	load.Failing = true
	load.UpdatedAt = now
	l.loads[upstream] = load
}
