package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/backendhttp"
	"bilberrytiller.example/tiller/transport/peer"
)

// maxAttempts is the maximum number of upstreams that one request is sent to,
// not counting those whose holder was unavailable.
const maxAttempts = 3

// rerouteDelay is the time to wait before retrying upstreams whose holders are
// changing.
const rerouteDelay = 25 * time.Millisecond

// serveRequest serves a caller's request and returns the answer. A request with
// a key is run only by the owner of the key.
func (d *Daemon) serveRequest(ctx context.Context, req *request.Request) request.Answer {
	if req.Key != "" {
		return d.runAtOwner(ctx, req)
	}
	return d.validateAndRoute(ctx, req)
}

// validateAndRoute checks a request against the catalogue and routes it. For a
// request with a key it is called only at the owner of the key.
func (d *Daemon) validateAndRoute(ctx context.Context, req *request.Request) request.Answer {
	set := d.catalogue.Load()
	if set.Version == 0 {
		return request.NotRunAnswer(request.ReasonNoCatalogue, "")
	}
	service := set.Service(req.Service)
	if service == nil {
		return request.NotRunAnswer(request.ReasonUnknownService, req.Service)
	}
	applyServiceClass(req, service, time.Now())
	if req.Key == "" && !service.Class.Idempotent {
		return request.NotRunAnswer(request.ReasonKeyRequired, "set header Tiller-Key to the key from a look-up")
	}
	if service.Class.Durable && req.Key == "" {
		return d.serveDurable(ctx, set, req)
	}
	return d.admitAndRoute(ctx, set, req)
}

// applyServiceClass sets the fields of a request that follow from its service
// in the catalogue.
func applyServiceClass(req *request.Request, service *catalogue.Service, now time.Time) {
	req.Owner = service.Owner
	req.Rank = service.Class.Rank
	latest := now.Add(time.Duration(service.Class.Deadline))
	if req.Deadline.IsZero() || req.Deadline.After(latest) {
		req.Deadline = latest
	}
}

// admitAndRoute admits a request and tries upstreams until one answers it.
func (d *Daemon) admitAndRoute(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	releaseSlot, err := d.admission.Admit(ctx, schedulingClass(set, req), req.Deadline)
	if err != nil {
		return noSlotAnswer("entry host "+d.self.ID, err)
	}
	defer releaseSlot()
	releaseLimits, err := d.limits.admit(ctx, set, req)
	if err != nil {
		return request.NotRunAnswer(request.ReasonLimit, err.Error())
	}
	r := routing{req: req, tried: map[string]bool{}, answer: request.NotRunAnswer(request.ReasonNoUpstream, req.Service)}
	for d.tryUpstreams(ctx, &r) && sleep.For(ctx, rerouteDelay) {
	}
	releaseLimits(r.limitOutcome())
	d.shifts.recordServed(set, &r)
	return r.answer
}

// routing is the state of a request while it is sent to upstreams.
type routing struct {
	req      *request.Request
	attempts int
	// shiftCounted is true once the request was counted against the shift cap.
	shiftCounted bool
	// tried holds the upstreams that were tried, except those whose holder was
	// unavailable.
	tried map[string]bool
	// answer is the last answer, or the one that left the outcome unknown.
	answer request.Answer
	// mayStillRun is true once an attempt had an unknown outcome: its server may
	// work on it while later attempts are answered.
	mayStillRun bool
}

// limitOutcome returns the outcome that decides when the units of limits are
// released.
func (r *routing) limitOutcome() request.Outcome {
	if r.mayStillRun {
		return request.OutcomeUnknown
	}
	return r.answer.Outcome
}

// recordAnswer stores the answer to an attempt. Once the outcome is unknown it
// stays unknown until an attempt is done, because the request may have run.
func (r *routing) recordAnswer(answer request.Answer) {
	if answer.Outcome == request.OutcomeUnknown {
		r.mayStillRun = true
	}
	if r.answer.Outcome == request.OutcomeUnknown && answer.Outcome != request.OutcomeDone {
		return
	}
	r.answer = answer
}

// tryUpstreams tries the upstreams that may run a request, best first. It
// returns true if it should be called again after a short delay, because
// holders are changing.
func (d *Daemon) tryUpstreams(ctx context.Context, r *routing) (retryLater bool) {
	set := d.catalogue.Load()
	for _, c := range d.shifts.allowedCandidates(set, r, d.candidates(set, r.req.Service)) {
		if ctx.Err() != nil {
			return false
		}
		if r.tried[c.Upstream.Name] {
			continue
		}
		if poisonAnswer, ok := d.checkPoison(ctx, r.req); !ok {
			r.recordAnswer(poisonAnswer)
			return false
		}
		answer := d.sendToHolder(ctx, set, c, r.req)
		d.recordAttemptOutcome(r.req, c.Upstream.Name, answer)
		d.logRouteDecision(r.req, c, r.attempts, answer)
		r.recordAnswer(answer)
		if holderUnavailable(answer) {
			retryLater = true
			d.loads.markFailing(c.Upstream.Name, time.Now())
			continue
		}
		r.attempts++
		r.tried[c.Upstream.Name] = true
		if !d.shouldRetry(set, r, answer) {
			return false
		}
	}
	return retryLater
}

// shouldRetry decides whether a request is sent to another upstream. Only a
// request that certainly did not run, or an idempotent one without a key, is
// retried, and only within the retry budget.
func (d *Daemon) shouldRetry(set *catalogue.Set, r *routing, answer request.Answer) bool {
	service := set.Service(r.req.Service)
	switch {
	case answer.Outcome == request.OutcomeDone:
		d.retryBudget.RecordSuccess(r.req.Service)
		return false
	case answer.Outcome == request.OutcomeUnknown && (r.req.Key != "" || service == nil || !service.Class.Idempotent):
		return false
	case answer.Reason == request.ReasonConnectionClosed:
		// The server may have crashed on this request.
		return false
	case r.attempts >= maxAttempts:
		return false
	}
	return d.retryBudget.AllowRetry(r.req.Service)
}

// candidates returns the upstreams that may run a request of a service, best
// first.
func (d *Daemon) candidates(set *catalogue.Set, service string) []placement.Candidate {
	return d.excludeDraining(placement.RankUpstreams(placement.Inputs{
		Set: set, Self: d.self, Service: service, Load: d.loads.get, Now: time.Now(), Random: rand.IntN,
	}))
}

// holderUnavailable reports whether the holder was not reached, was not the
// holder any more, or refused the request because the upstream is draining.
func holderUnavailable(a request.Answer) bool {
	reasons := []request.Reason{request.ReasonNotHolder, request.ReasonPeerUnreachable, request.ReasonDraining}
	return a.Outcome == request.OutcomeNotRun && slices.Contains(reasons, a.Reason)
}

// tryBestUpstream sends a request to the best upstream only.
func (d *Daemon) tryBestUpstream(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	candidates := d.candidates(set, req.Service)
	if len(candidates) == 0 {
		return request.NotRunAnswer(request.ReasonNoUpstream, req.Service)
	}
	answer := d.sendToHolder(ctx, set, candidates[0], req)
	d.recordAttemptOutcome(req, candidates[0].Upstream.Name, answer)
	d.logRouteDecision(req, candidates[0], 0, answer)
	return answer
}

// sendToHolder sends a request to the holder of an upstream, the one daemon that
// dispatches requests to it.
func (d *Daemon) sendToHolder(ctx context.Context, set *catalogue.Set, c placement.Candidate, req *request.Request) request.Answer {
	name := c.Upstream.Name
	holder, ok := d.holderOf(c.Upstream)
	if !ok {
		return request.NotRunAnswer(request.ReasonNoUpstream, name)
	}
	if holder.ID == d.self.ID {
		answer := d.dispatchLocal(ctx, name, req)
		d.loads.set(name, d.heldUpstreams.load(name))
		return answer
	}
	if err := d.links.awaitRequestBandwidth(ctx, holder, req); err != nil {
		return request.NotRunAnswer(request.ReasonLink, err.Error())
	}
	in := &wire.Dispatch{Upstream: name, Holder: holder.Incarnation, Request: wire.NewRequest(req, time.Now())}
	out, err := d.dispatchToHolder(ctx, holder, in, req)
	if err != nil {
		return peerFailureAnswer(holder, err)
	}
	d.loads.set(name, placement.Load{
		InUse: out.Load.InUse, Waiting: out.Load.Waiting, ServiceTime: out.Load.MeanServiceTime,
		Connected: out.Load.Warm, Failing: out.Load.Unreachable, UpdatedAt: time.Now(),
	})
	return out.Answer
}

// settleTimeoutOf returns how long the holder of an upstream may take to
// settle a request that was cancelled. A request with a key that has started
// is not stopped, so its holder gets more time.
func settleTimeoutOf(req *request.Request) time.Duration {
	if req.Key == "" {
		return settleTimeout
	}
	return settleTimeout + backendhttp.MaxOverrun
}

// peerFailureAnswer returns the answer to a request whose call to a peer
// failed.
func peerFailureAnswer(m membership.Member, err error) request.Answer {
	if errors.Is(err, peer.ErrNotSent) {
		return request.NotRunAnswer(request.ReasonPeerUnreachable, m.ID+": "+err.Error())
	}
	return request.UnknownAnswer(request.ReasonPeerLost, m.ID+": "+err.Error())
}

func (d *Daemon) logRouteDecision(req *request.Request, c placement.Candidate, attempt int, answer request.Answer) {
	d.log.Info().Str("event", "route.decision").Str("request", req.ID).Str("service", req.Service).
		Stringer("rank", req.Rank).Str("upstream", c.Upstream.Name).Int("distance", c.Distance).
		Int("in_use", c.Load.InUse).Int("waiting", c.Load.Waiting).Int("attempt", attempt).
		Str("outcome", string(answer.Outcome)).Str("reason", string(answer.Reason)).Str("detail", answer.Detail).Send()
}
