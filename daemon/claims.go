package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/hold"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/transport/peer"
)

const (
	// holdCheckPeriod is how often a daemon looks at its duties.
	holdCheckPeriod = 50 * time.Millisecond
	// claimTimeout bounds the wait for one member's reply.
	claimTimeout = 500 * time.Millisecond
	// maxClaimsInRegion and claimsOutside are how many members of the upstream's
	// region, and of other regions, are asked.
	maxClaimsInRegion      = 16
	maxClaimsOutsideRegion = 8
	// claimLoadTimeout bounds the wait for a load report.
	claimLoadTimeout = 500 * time.Millisecond
)

// manageHolds takes over the upstreams that this daemon is to hold and lets
// go of the others.
func (d *Daemon) manageHolds(ctx context.Context) error {
	for sleep.For(ctx, holdCheckPeriod) {
		if !d.lease.Renew(time.Now()) {
			d.log.Warn().Str("event", "hold.paused").Send()
			d.holders.closeAll()
		}
		d.releaseReassigned()
		for _, u := range d.currentAssignments().ownUpstreams {
			d.checkHold(ctx, u)
		}
	}
	d.holders.closeAll()
	return nil
}

// releaseReassigned lets go of the upstreams that others are to hold.
func (d *Daemon) releaseReassigned() {
	set := d.catalogue.Load()
	for _, name := range d.holders.names() {
		if u := set.Upstream(name); u == nil || !d.isHolder(u) {
			d.holders.release(name)
		}
	}
}

func (d *Daemon) checkHold(ctx context.Context, u *catalogue.Upstream) {
	if !d.isHolder(u) {
		return
	}
	h := d.holders.getOrCreate(u)
	if h.isOpen() && !d.mayDispatch(h) {
		h.close("not-confirmed")
	}
	if generation, ok := h.beginRecheck(d.view.Load()); ok {
		go d.takeOver(ctx, u.Name, h, generation)
	}
	if generation, ok := h.beginClaim(); ok {
		go d.takeOver(ctx, u.Name, h, generation)
	}
	h.advanceSlowStart(time.Now())
}

// takeOver asks the other members until this daemon may dispatch, and then
// for as long as requests of earlier holders use slots.
func (d *Daemon) takeOver(ctx context.Context, upstream string, h *heldUpstream, generation int) {
	var opened time.Time
	for h.unchangedSince(generation) {
		view := d.view.Load()
		step := hold.DecideClaim(d.lease, d.sendClaims(ctx, view, h), d.confirmed(), time.Now())
		report := d.fetchLoadReport(ctx, h)
		now := time.Now()
		if step.Denied && !opened.IsZero() {
			h.close("denied")
			return
		}
		if step.MayDispatch && opened.IsZero() {
			opened = now
		}
		if !opened.IsZero() {
			done := h.reserveSlots(generation, step, report, now.Sub(opened))
			h.open(generation, step.Unverified, view)
			if done {
				return
			}
		}
		if !sleep.For(ctx, holdCheckPeriod) {
			return
		}
	}
}

// sendClaims tells all other members that this daemon is to hold an upstream.
func (d *Daemon) sendClaims(ctx context.Context, view *membership.View, h *heldUpstream) []hold.Reply {
	h.mu.Lock()
	upstream, dataCentre := h.upstream.Name, h.upstream.DataCentre
	h.mu.Unlock()
	region := d.catalogue.Load().RegionOf(dataCentre)
	others := duty.Candidates(view, upstreamDuty(upstream), region, maxClaimsInRegion, maxClaimsOutsideRegion)
	others = slices.DeleteFunc(others, func(m membership.Member) bool { return m.ID == d.self.ID })
	replies := make([]hold.Reply, len(others))
	var calls sync.WaitGroup
	for i, m := range others {
		calls.Go(func() { replies[i] = d.sendClaim(ctx, m, upstream) })
	}
	calls.Wait()
	return replies
}

func (d *Daemon) sendClaim(ctx context.Context, m membership.Member, upstream string) hold.Reply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	out, err := peer.Call[wire.ClaimReply](ctx, d.peerClient, m.Peer, wire.TypeClaim, &wire.Claim{Upstream: upstream})
	if err != nil {
		return hold.Reply{Member: m.ID, Unanswered: true, Dead: m.State == membership.Dead}
	}
	return hold.Reply{Member: m.ID, Denied: out.Denied, InUse: out.InUse}
}

// answerClaim lets go of an upstream that another member claims, unless this
// daemon takes itself for the holder. Of two members that claim at once the
// one with the lower name goes on.
func (d *Daemon) answerClaim(_ context.Context, from string, in *wire.Claim) (*wire.ClaimReply, error) {
	set := d.catalogue.Load()
	u := set.Upstream(in.Upstream)
	if u == nil {
		return &wire.ClaimReply{}, nil
	}
	h := d.holders.getOrCreate(u)
	mine := d.isHolder(u)
	if mine && h.deniesClaim(d.mayDispatch(h), d.self.ID < from) {
		return &wire.ClaimReply{Denied: true}, nil
	}
	h.close("claimed-by-" + from)
	inUse, _ := h.scheduler.Load()
	return &wire.ClaimReply{InUse: inUse}, nil
}

// fetchLoadReport returns the upstream's load report, or nil if it counts for nothing.
func (d *Daemon) fetchLoadReport(ctx context.Context, h *heldUpstream) *hold.LoadReport {
	ctx, cancel := context.WithTimeout(ctx, claimLoadTimeout)
	defer cancel()
	h.mu.Lock()
	client, connections := h.client, h.upstream.Connections
	h.mu.Unlock()
	load, err := client.Load(ctx)
	if err != nil {
		return nil
	}
	r := &hold.LoadReport{InUse: load.InUse, CreatedAt: time.UnixMilli(load.TimeMs)}
	if !r.Valid(connections, time.Now()) {
		d.metrics.loadReportsDropped.Add(1)
		return nil
	}
	return r
}

// mayDispatch reports whether this daemon may use an upstream that it holds.
func (d *Daemon) mayDispatch(h *heldUpstream) bool {
	h.mu.Lock()
	alone := h.unverified
	h.mu.Unlock()
	return d.lease.Valid(time.Now(), alone || d.confirmed())
}

// names returns the upstreams that were held at some time.
func (h *heldUpstreams) names() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.held))
}

// release closes the hold on an upstream that another daemon holds.
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

// unchangedSince reports whether the state has not changed since a generation.
func (h *heldUpstream) unchangedSince(generation int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation == generation
}

func (h *heldUpstream) isOpen() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state == holdOpen
}

// deniesClaim reports whether the hold stays although another member claims it.
func (h *heldUpstream) deniesClaim(mayDispatch, first bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.state {
	case holdOpen:
		return mayDispatch
	case holdClaiming, holdRechecking:
		return first
	}
	return false
}

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

// open lets requests have slots.
func (h *heldUpstream) open(generation int, alone bool, asked *membership.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return
	}
	if h.state != holdOpen {
		h.log.Info().Str("event", "hold.open").Bool("alone", alone).Send()
	}
	h.state = holdOpen
	h.unverified = alone
	h.askedIncarnations = map[string]bool{}
	for _, m := range asked.Members() {
		h.askedIncarnations[m.Incarnation] = true
	}
}

// beginRecheck grants no slots until members that have appeared since the hold was
// opened have been asked too. Requests that wait go on waiting.
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

// hasUnaskedMember reports whether a member was not asked. The lock must be held.
func (h *heldUpstream) hasUnaskedMember(view *membership.View) bool {
	for _, m := range view.Members() {
		if m.State != membership.Dead && !h.askedIncarnations[m.Incarnation] {
			return true
		}
	}
	return false
}

// reserveSlots keeps slots for the requests of others. It reports whether there
// are none left to wait for.
func (h *heldUpstream) reserveSlots(generation int, step hold.ClaimDecision, report *hold.LoadReport, since time.Duration) (done bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.generation != generation {
		return true
	}
	own, _ := h.scheduler.Load()
	reserved := hold.ReservedSlots(step, report, h.upstream.Slots, own, since)
	h.scheduler.SetReserved(reserved)
	return reserved == 0 && !step.Unverified
}

// close refuses the requests that wait. Those that run go on.
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

// advanceSlowStart raises the slots of a cold upstream step by step.
func (h *heldUpstream) advanceSlowStart(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.usableSince.IsZero() {
		return
	}
	limits := h.schedulerLimits(now)
	h.scheduler.SetLimits(limits)
	if limits.Slots == h.upstream.Slots {
		h.usableSince = time.Time{}
	}
}
