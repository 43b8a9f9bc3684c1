package daemon

import (
	"context"
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
	// holdCheckPeriod is how often a daemon checks which upstreams it holds,
	// and how long a takeover pauses between its rounds of claims.
	holdCheckPeriod = 50 * time.Millisecond
	// claimTimeout bounds the wait for one member's reply.
	claimTimeout = 500 * time.Millisecond
	// maxClaimsInRegion and maxClaimsOutsideRegion bound the members of the
	// upstream's region, and of other regions, that a claim is sent to.
	maxClaimsInRegion      = 16
	maxClaimsOutsideRegion = 8
)

// manageHolds takes over the upstreams that are assigned to this daemon and
// releases the others, until ctx ends. It closes all holds when ctx ends, and
// when the process was paused for longer than the lease.
func (d *Daemon) manageHolds(ctx context.Context) error {
	for sleep.For(ctx, holdCheckPeriod) {
		if !d.lease.Renew(time.Now()) {
			d.log.Warn().Str("event", "hold.paused").Send()
			d.heldUpstreams.closeAll()
		}
		d.releaseReassigned()
		for _, u := range d.currentAssignments().ownUpstreams {
			d.checkHold(ctx, u)
		}
	}
	d.heldUpstreams.closeAll()
	return nil
}

// releaseReassigned closes the holds on upstreams that are deleted or assigned
// to other daemons.
func (d *Daemon) releaseReassigned() {
	set := d.catalogue.Load()
	for _, name := range d.heldUpstreams.names() {
		if u := set.Upstream(name); u == nil || !d.isHolder(u) {
			d.heldUpstreams.release(name)
		}
	}
}

// checkHold closes the hold on an upstream if this daemon may no longer dispatch
// to it, starts a takeover if one is needed, and advances the slow start.
func (d *Daemon) checkHold(ctx context.Context, u *catalogue.Upstream) {
	if !d.isHolder(u) {
		return
	}
	h := d.heldUpstreams.getOrCreate(u)
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

// takeOver sends claims until this daemon may dispatch, and then continues to
// send them until no slots are reserved for requests of earlier holders.
func (d *Daemon) takeOver(ctx context.Context, upstream string, h *heldUpstream, generation int) {
	var opened time.Time
	for h.unchangedSince(generation) {
		view := d.view.Load()
		decision := hold.DecideClaim(d.lease, d.sendClaims(ctx, view, h), d.confirmed(), time.Now())
		loadReport := d.fetchLoadReport(ctx, h)
		now := time.Now()
		if decision.Denied && !opened.IsZero() {
			h.close("denied")
			return
		}
		if decision.MayDispatch && opened.IsZero() {
			opened = now
		}
		if !opened.IsZero() {
			done := h.reserveSlots(generation, decision, loadReport, now.Sub(opened))
			h.open(generation, decision.Unverified, view)
			if done {
				return
			}
		}
		if !sleep.For(ctx, holdCheckPeriod) {
			return
		}
	}
}

// sendClaims claims an upstream from the members that may hold it, and returns
// their replies. The members are at most maxClaimsInRegion and
// maxClaimsOutsideRegion candidates for the duty, other than this daemon.
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

// answerClaim handles another member's claim on an upstream. It denies the
// claim if this daemon is the holder and keeps the hold, and closes the hold
// otherwise. If two members claim an upstream at the same time, the one with
// the lower ID has precedence.
func (d *Daemon) answerClaim(_ context.Context, from string, in *wire.Claim) (*wire.ClaimReply, error) {
	set := d.catalogue.Load()
	u := set.Upstream(in.Upstream)
	if u == nil {
		return &wire.ClaimReply{}, nil
	}
	h := d.heldUpstreams.getOrCreate(u)
	isHolder := d.isHolder(u)
	if isHolder && h.deniesClaim(d.mayDispatch(h), d.self.ID < from) {
		return &wire.ClaimReply{Denied: true}, nil
	}
	h.close("claimed-by-" + from)
	inUse, _ := h.scheduler.Load()
	return &wire.ClaimReply{InUse: inUse}, nil
}

// mayDispatch reports whether this daemon may dispatch to an upstream that it
// holds: its lease is valid, and it is confirmed or has opened the hold
// unverified.
func (d *Daemon) mayDispatch(h *heldUpstream) bool {
	h.mu.Lock()
	unverified := h.unverified
	h.mu.Unlock()
	return d.lease.Valid(time.Now(), unverified || d.confirmed())
}
