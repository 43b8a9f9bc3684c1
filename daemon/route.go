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

// maxAttempts bounds the upstreams that one request is offered to.
const maxAttempts = 3

// rerouteDelay is the wait before upstreams are tried again whose holders are
// changing.
const rerouteDelay = 25 * time.Millisecond

// serveRequest takes a caller's request to its end. A request with a key is decided
// by the owner of the key alone.
func (d *Daemon) serveRequest(ctx context.Context, req *request.Request) request.Answer {
	if req.Key != "" {
		return d.runAtOwner(ctx, req)
	}
	return d.validateAndRoute(ctx, req)
}

// validateAndRoute checks a request against the catalogue and places it. A request with
// a key gets here at the owner of the key only.
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
		return request.NotRunAnswer(request.ReasonKeyRequired, "send the key of a look-up in header Tiller-Key")
	}
	if service.Class.Durable && req.Key == "" {
		return d.serveDurable(ctx, set, req)
	}
	return d.admitAndRoute(ctx, set, req)
}

// applyServiceClass fills in what the catalogue says of the request's service.
func applyServiceClass(req *request.Request, service *catalogue.Service, now time.Time) {
	req.Owner = service.Owner
	req.Rank = service.Class.Rank
	latest := now.Add(time.Duration(service.Class.Deadline))
	if req.Deadline.IsZero() || req.Deadline.After(latest) {
		req.Deadline = latest
	}
}

// admitAndRoute admits a request and offers it to upstreams until one takes it.
func (d *Daemon) admitAndRoute(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	release, err := d.admission.Admit(ctx, schedulingClass(set, req), req.Deadline)
	if err != nil {
		return noSlotAnswer("entry host "+d.self.ID, err)
	}
	defer release()
	giveBack, err := d.limits.admit(ctx, set, req)
	if err != nil {
		return request.NotRunAnswer(request.ReasonLimit, err.Error())
	}
	p := routing{req: req, tried: map[string]bool{}, answer: request.NotRunAnswer(request.ReasonNoUpstream, req.Service)}
	for d.tryUpstreams(ctx, &p) && sleep.For(ctx, rerouteDelay) {
	}
	giveBack(p.answer.Outcome)
	d.shifts.recordServed(set, &p)
	return p.answer
}

// routing is a request on its way to an upstream.
type routing struct {
	req      *request.Request
	attempts int
	// shiftCounted says that the request was counted against the shift cap.
	shiftCounted bool
	// tried are the upstreams that refused the request themselves.
	tried map[string]bool
	// answer is the last one, or the one that left the outcome unknown.
	answer request.Answer
}

// recordAnswer keeps an answer. A request that may have run once stays undecided
// until it is done.
func (p *routing) recordAnswer(answer request.Answer) {
	if p.answer.Outcome == request.OutcomeUnknown && answer.Outcome != request.OutcomeDone {
		return
	}
	p.answer = answer
}

// tryUpstreams offers a request to the upstreams that may run it, best first. It
// returns true if it is to be called again a little later, because holders
// are changing.
func (d *Daemon) tryUpstreams(ctx context.Context, p *routing) (again bool) {
	set := d.catalogue.Load()
	for _, c := range d.shifts.allowedCandidates(set, p, d.candidates(set, p.req.Service)) {
		if ctx.Err() != nil {
			return false
		}
		if p.tried[c.Upstream.Name] {
			continue
		}
		if decided, ok := d.checkPoison(ctx, p.req); !ok {
			p.recordAnswer(decided)
			return false
		}
		answer := d.sendToHolder(ctx, set, c, p.req)
		d.recordAttemptOutcome(p.req, c.Upstream.Name, answer)
		d.logRouteDecision(p.req, c, p.attempts, answer)
		p.recordAnswer(answer)
		if holderUnavailable(answer) {
			again = true
			d.loads.markFailing(c.Upstream.Name, time.Now())
			continue
		}
		p.attempts++
		p.tried[c.Upstream.Name] = true
		if !d.shouldRetry(set, p, answer) {
			return false
		}
	}
	return again
}

// shouldRetry decides whether a request goes to another upstream. Only work that is
// idempotent, or proved not to have run, does, and within the retry budget.
func (d *Daemon) shouldRetry(set *catalogue.Set, p *routing, answer request.Answer) bool {
	service := set.Service(p.req.Service)
	switch {
	case answer.Outcome == request.OutcomeDone:
		d.retryBudget.RecordSuccess(p.req.Service)
		return false
	case answer.Outcome == request.OutcomeUnknown && (p.req.Key != "" || service == nil || !service.Class.Idempotent):
		return false
	case answer.Reason == request.ReasonConnectionClosed:
		// The server may have crashed on this request.
		return false
	case p.attempts >= maxAttempts:
		return false
	}
	return d.retryBudget.AllowRetry(p.req.Service)
}

func (d *Daemon) candidates(set *catalogue.Set, service string) []placement.Candidate {
	return d.excludeDraining(placement.RankUpstreams(placement.Inputs{
		Set: set, Self: d.self, Service: service, Load: d.loads.get, Now: time.Now(), Random: rand.IntN,
	}))
}

// holderUnavailable reports whether an answer says that no holder was reached, or
// that the upstream is leaving.
func holderUnavailable(a request.Answer) bool {
	reasons := []request.Reason{request.ReasonNotHolder, request.ReasonPeerUnreachable, request.ReasonDraining}
	return a.Outcome == request.OutcomeNotRun && slices.Contains(reasons, a.Reason)
}

// tryBestUpstream offers a request to the best upstream alone.
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

// sendToHolder sends a request to the holder of one upstream.
func (d *Daemon) sendToHolder(ctx context.Context, set *catalogue.Set, c placement.Candidate, req *request.Request) request.Answer {
	name := c.Upstream.Name
	holder, ok := d.holderOf(c.Upstream)
	if !ok {
		return request.NotRunAnswer(request.ReasonNoUpstream, name)
	}
	if holder.ID == d.self.ID {
		answer := d.dispatchLocal(ctx, name, req)
		d.loads.set(name, d.holders.load(name))
		return answer
	}
	if err := d.links.request(ctx, holder, req); err != nil {
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

// settleTimeoutOf is how long the holder of an upstream may take to settle a request
// that was cancelled. One with a key that has started runs on.
func settleTimeoutOf(req *request.Request) time.Duration {
	if req.Key == "" {
		return settleTimeout
	}
	return settleTimeout + backendhttp.MaxOverrun
}

// peerFailureAnswer returns the outcome of a request whose call to a peer failed.
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
