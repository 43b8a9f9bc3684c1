package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bilberrytiller.example/tiller/coordination/hold"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/coordination/schedule"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"
)

const (
	// maxWaitingPerSlot is the maximum number of queued requests of an upstream
	// per slot.
	maxWaitingPerSlot = 64
	// failingThreshold is the number of consecutive failed connections after
	// which an upstream counts as failing.
	failingThreshold = 3
	// A request that ended without an answer is assumed to keep the upstream
	// busy for busyFactor times the mean service time, counted from its start
	// and at most maxBusyTime.
	busyFactor  = 2
	maxBusyTime = 10 * time.Second
)

// holdState is the state of this daemon's hold on an upstream.
type holdState int

const (
	// holdClosed: requests get no slots.
	holdClosed holdState = iota
	// holdClaiming: the other members are being asked, and requests get no
	// slots yet.
	holdClaiming
	// holdRechecking: the hold was open, and members that have appeared since
	// are being asked. Requests may queue but get no slots.
	holdRechecking
	// holdOpen: requests get slots.
	holdOpen
)

// heldUpstreams holds the upstreams that this daemon schedules or has
// scheduled, by name.
type heldUpstreams struct {
	log  zerolog.Logger
	mu   sync.Mutex
	held map[string]*heldUpstream
}

// heldUpstream is one upstream with its scheduler, its client and the state of
// this daemon's hold on it.
type heldUpstream struct {
	log       zerolog.Logger
	scheduler *schedule.Scheduler

	mu       sync.Mutex
	upstream catalogue.Upstream
	client   *backendhttp.Client
	state    holdState
	// generation counts claims, rechecks and closes. A takeover ends when the
	// generation that it was started for is over.
	generation int
	// unverified is true if the hold was opened while this daemon was not
	// confirmed, or although a member that may be alive did not reply for the
	// full waiting time.
	unverified bool
	// askedIncarnations are the incarnations of all members in the view whose
	// candidates were asked when the hold was opened last.
	askedIncarnations map[string]bool
	// draining is set while the catalogue has the upstream as draining.
	draining bool
	// slowStartedAt is when the slow start began, or zero if there is none.
	slowStartedAt       time.Time
	consecutiveFailures int
	// serviceTime is the moving average of the time to an answer.
	serviceTime   time.Duration
	lastCompleted time.Time
}

func newHeldUpstreams(log zerolog.Logger) *heldUpstreams {
	return &heldUpstreams{log: log, held: map[string]*heldUpstream{}}
}

// getOrCreate returns the upstream's state, with the hold closed if it is new.
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

// names returns the names of all upstreams in h, whatever the state of the
// hold.
func (h *heldUpstreams) names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.held))
}

// load returns the load of an upstream that this daemon schedules, or an empty
// load if it does not.
func (h *heldUpstreams) load(upstream string) placement.Load {
	h.mu.Lock()
	found, ok := h.held[upstream]
	h.mu.Unlock()
	if !ok {
		return placement.Load{}
	}
	return found.load(time.Now())
}

// update applies a change of the catalogue.
func (h *heldUpstreams) update(newest func() *catalogue.Set) {
	h.mu.Lock()
	defer h.mu.Unlock()
	set := newest()
	for name, held := range h.held {
		if u := set.Upstream(name); u != nil {
			held.update(u, set.UpstreamDraining(u), time.Now())
		}
	}
}

// release closes the hold on an upstream that is assigned to another daemon.
func (h *heldUpstreams) release(upstream string) {
	h.mu.Lock()
	found, ok := h.held[upstream]
	h.mu.Unlock()
	if ok {
		found.close("other-holder")
	}
}

func (h *heldUpstreams) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.held {
		held.close("paused")
	}
}

// beginClaim starts a claim if the hold is closed, and returns its generation.
func (h *heldUpstream) beginClaim() (generation int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != holdClosed {
		return 0, false
	}
	h.state = holdClaiming
	h.generation++
	return h.generation, true
}

// beginRecheck stops granting slots if the hold is open and members have
// appeared that were not asked, until they have been asked too. Queued
// requests keep waiting.
func (h *heldUpstream) beginRecheck(view *membership.View) (generation int, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != holdOpen || !h.hasUnaskedMember(view) {
		return 0, false
	}
	h.state = holdRechecking
	h.generation++
	h.scheduler.SetReserved(h.upstream.Slots)
	return h.generation, true
}

// hasUnaskedMember reports whether the view has a member, other than dead
// ones, that was not asked. The lock must be held.
func (h *heldUpstream) hasUnaskedMember(view *membership.View) bool {
	for _, m := range view.Members() {
		if m.State != membership.Dead && !h.askedIncarnations[m.Incarnation] {
			return true
		}
	}
	return false
}

// unchangedSince reports whether the generation is still the current one.
func (h *heldUpstream) unchangedSince(generation int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation == generation
}

// open lets requests get slots, unless the generation is over. The view is the
// one whose members were asked.
func (h *heldUpstream) open(generation int, unverified bool, asked *membership.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return
	}
	if h.state != holdOpen {
		h.log.Info().Str("event", "hold.open").Bool("alone", unverified).Send()
	}
	h.state = holdOpen
	h.unverified = unverified
	h.askedIncarnations = map[string]bool{}
	for _, m := range asked.Members() {
		h.askedIncarnations[m.Incarnation] = true
	}
}

// close refuses the queued requests. Requests that already run continue.
func (h *heldUpstream) close(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == holdClosed {
		return
	}
	h.log.Info().Str("event", "hold.closed").Str("reason", reason).Send()
	h.state = holdClosed
	h.generation++
	h.scheduler.RefuseAll(errNotHolder)
}

func (h *heldUpstream) isOpen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == holdOpen
}

// acceptsRequests reports whether requests may queue for a slot here: the hold
// is open, or is expected to be again after a recheck.
func (h *heldUpstream) acceptsRequests() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == holdOpen || h.state == holdRechecking
}

// deniesClaim reports whether this daemon keeps the hold against the claim of
// another member: an open hold while it may dispatch, a hold that it claims
// itself if it has precedence over the other.
func (h *heldUpstream) deniesClaim(mayDispatch, precedes bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.state {
	case holdOpen:
		return mayDispatch
	case holdClaiming, holdRechecking:
		return precedes
	}
	return false
}

// reserveSlots reserves slots for requests that other daemons may still have on
// the upstream, a given time after the takeover. It reports whether none need
// to be reserved any more, which is never the case for an unverified claim, or
// whether the generation is over.
func (h *heldUpstream) reserveSlots(generation int, decision hold.ClaimDecision, loadReport *hold.LoadReport, elapsed time.Duration) (done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return true
	}
	own, _ := h.scheduler.Load()
	reserved := hold.ReservedSlots(decision, loadReport, h.upstream.Slots, own, elapsed)
	h.scheduler.SetReserved(reserved)
	return reserved == 0 && !decision.Unverified
}

// currentClient returns the client for the upstream's current address.
func (h *heldUpstream) currentClient() *backendhttp.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.client
}

// run runs a request that has been granted a slot.
func (h *heldUpstream) run(ctx context.Context, req *request.Request) request.Answer {
	started := time.Now()
	answer := h.currentClient().Run(ctx, req)
	h.recordAnswer(answer, started, time.Now())
	return answer
}

// recordAnswer updates the failure count and the mean service time. An
// upstream that answers after it was failing begins with a slow start.
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
		h.slowStartedAt = now
	}
	h.consecutiveFailures = 0
	if h.serviceTime == 0 {
		h.serviceTime = now.Sub(started)
	}
	h.serviceTime += (now.Sub(started) - h.serviceTime) / weight
	h.lastCompleted = now
}

// remainingBusyTime returns how long the upstream is expected to keep working
// on a request that ended without its answer. The slot stays in use for that
// time.
func (h *heldUpstream) remainingBusyTime(answer request.Answer, elapsed time.Duration) time.Duration {
	if answer.Outcome != request.OutcomeUnknown {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, min(busyFactor*h.serviceTime, maxBusyTime)-elapsed)
}

func (h *heldUpstream) load(now time.Time) placement.Load {
	inUse, waiting := h.scheduler.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	return placement.Load{
		InUse: inUse, Waiting: waiting, ServiceTime: h.serviceTime, UpdatedAt: now,
		Connected: !h.lastCompleted.IsZero(), Failing: h.consecutiveFailures >= failingThreshold,
	}
}

// update applies a new version of the catalogue entry. A changed address or
// connection limit replaces the client and begins a slow start.
func (h *heldUpstream) update(u *catalogue.Upstream, draining bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Address != h.upstream.Address || u.Connections != h.upstream.Connections {
		old := h.client
		h.client = backendhttp.New(u.Address, u.Connections)
		h.slowStartedAt = now
		old.Close()
	}
	if draining || h.draining {
		h.slowStartedAt = now
	}
	h.draining = draining
	h.upstream = *u
	h.scheduler.SetLimits(h.schedulerLimits(now))
}

// schedulerLimits returns the limits of the scheduler, reduced during a slow
// start. The lock must be held.
func (h *heldUpstream) schedulerLimits(now time.Time) schedule.Limits {
	slots := h.upstream.Slots
	if !h.slowStartedAt.IsZero() {
		slots = hold.SlowStartSlots(slots, now.Sub(h.slowStartedAt))
	}
	return schedule.Limits{Slots: slots, MaxWaiting: h.upstream.Slots * maxWaitingPerSlot}
}

// advanceSlowStart raises the slots during a slow start and ends it when all
// slots are available.
func (h *heldUpstream) advanceSlowStart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slowStartedAt.IsZero() {
		return
	}
	limits := h.schedulerLimits(now)
	h.scheduler.SetLimits(limits)
	if limits.Slots == h.upstream.Slots {
		h.slowStartedAt = time.Time{}
	}
}
