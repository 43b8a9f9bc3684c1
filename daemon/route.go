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

// placePause is the wait before upstreams are tried again whose holders are
// changing.
const placePause = 25 * time.Millisecond

// serve takes a caller's request to its end. A request with a key is decided
// by the owner of the key alone.
func (d *Daemon) serve(ctx context.Context, req *request.Request) request.Answer {
	if req.Key != "" {
		return d.runOnce(ctx, req)
	}
	return d.admit(ctx, req)
}

// admit checks a request against the catalogue and places it. A request with
// a key gets here at the owner of the key only.
func (d *Daemon) admit(ctx context.Context, req *request.Request) request.Answer {
	set := d.catalogue.Load()
	if set.Version == 0 {
		return request.NotRunAnswer(request.ReasonNoCatalogue, "")
	}
	service := set.Service(req.Service)
	if service == nil {
		return request.NotRunAnswer(request.ReasonUnknownService, req.Service)
	}
	complete(req, service, time.Now())
	if req.Key == "" && !service.Class.Idempotent {
		return request.NotRunAnswer(request.ReasonKeyRequired, "send the key of a look-up in header Tiller-Key")
	}
	if service.Class.Durable && req.Key == "" {
		return d.serveDurable(ctx, set, req)
	}
	return d.place(ctx, set, req)
}

// complete fills in what the catalogue says of the request's service.
func complete(req *request.Request, service *catalogue.Service, now time.Time) {
	req.Owner = service.Owner
	req.Rank = service.Class.Rank
	latest := now.Add(time.Duration(service.Class.Deadline))
	if req.Deadline.IsZero() || req.Deadline.After(latest) {
		req.Deadline = latest
	}
}

// place admits a request and offers it to upstreams until one takes it.
func (d *Daemon) place(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	release, err := d.admission.Admit(ctx, classOf(set, req), req.Deadline)
	if err != nil {
		return refuseSlot("entry host "+d.self.ID, err)
	}
	defer release()
	giveBack, err := d.limits.admit(ctx, set, req)
	if err != nil {
		return request.NotRunAnswer(request.ReasonLimit, err.Error())
	}
	p := placing{req: req, tried: map[string]bool{}, answer: request.NotRunAnswer(request.ReasonNoUpstream, req.Service)}
	for d.offerAll(ctx, &p) && sleep.For(ctx, placePause) {
	}
	giveBack(p.answer.Outcome)
	d.shifts.served(set, &p)
	return p.answer
}

// placing is a request on its way to an upstream.
type placing struct {
	req      *request.Request
	attempts int
	// counted says that the request was counted against the shift cap.
	counted bool
	// tried are the upstreams that refused the request themselves.
	tried map[string]bool
	// answer is the last one, or the one that left the outcome unknown.
	answer request.Answer
}

// take keeps an answer. A request that may have run once stays undecided
// until it is done.
func (p *placing) take(answer request.Answer) {
	if p.answer.Outcome == request.OutcomeUnknown && answer.Outcome != request.OutcomeDone {
		return
	}
	p.answer = answer
}

// offerAll offers a request to the upstreams that may run it, best first. It
// returns true if it is to be called again a little later, because holders
// are changing.
func (d *Daemon) offerAll(ctx context.Context, p *placing) (again bool) {
	set := d.catalogue.Load()
	for _, c := range d.shifts.allowed(set, p, d.candidates(set, p.req.Service)) {
		if ctx.Err() != nil {
			return false
		}
		if p.tried[c.Upstream.Name] {
			continue
		}
		if decided, ok := d.allowed(ctx, p.req); !ok {
			p.take(decided)
			return false
		}
		answer := d.offer(ctx, set, c, p.req)
		d.judge(p.req, c.Upstream.Name, answer)
		d.logDecision(p.req, c, p.attempts, answer)
		p.take(answer)
		if holderChanges(answer) {
			again = true
			d.loads.fail(c.Upstream.Name, time.Now())
			continue
		}
		p.attempts++
		p.tried[c.Upstream.Name] = true
		if !d.retry(set, p, answer) {
			return false
		}
	}
	return again
}

// retry decides whether a request goes to another upstream. Only work that is
// idempotent, or proved not to have run, does, and within the retry budget.
func (d *Daemon) retry(set *catalogue.Set, p *placing, answer request.Answer) bool {
	service := set.Service(p.req.Service)
	switch {
	case answer.Outcome == request.OutcomeDone:
		d.retries.RecordSuccess(p.req.Service)
		return false
	case answer.Outcome == request.OutcomeUnknown && (p.req.Key != "" || service == nil || !service.Class.Idempotent):
		return false
	case answer.Reason == request.ReasonConnectionClosed:
		// The server may have crashed on this request.
		return false
	case p.attempts >= maxAttempts:
		return false
	}
	return d.retries.AllowRetry(p.req.Service)
}

func (d *Daemon) candidates(set *catalogue.Set, service string) []placement.Candidate {
	return d.taking(placement.RankUpstreams(placement.Inputs{
		Set: set, Self: d.self, Service: service, Load: d.loads.get, Now: time.Now(), Random: rand.IntN,
	}))
}

// holderChanges reports whether an answer says that no holder was reached, or
// that the upstream is leaving.
func holderChanges(a request.Answer) bool {
	reasons := []request.Reason{request.ReasonNotHolder, request.ReasonPeerUnreachable, request.ReasonDraining}
	return a.Outcome == request.OutcomeNotRun && slices.Contains(reasons, a.Reason)
}

// offerBest offers a request to the best upstream alone.
func (d *Daemon) offerBest(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	candidates := d.candidates(set, req.Service)
	if len(candidates) == 0 {
		return request.NotRunAnswer(request.ReasonNoUpstream, req.Service)
	}
	answer := d.offer(ctx, set, candidates[0], req)
	d.judge(req, candidates[0].Upstream.Name, answer)
	d.logDecision(req, candidates[0], 0, answer)
	return answer
}

// offer sends a request to the holder of one upstream.
func (d *Daemon) offer(ctx context.Context, set *catalogue.Set, c placement.Candidate, req *request.Request) request.Answer {
	name := c.Upstream.Name
	holder, ok := d.holderOf(c.Upstream)
	if !ok {
		return request.NotRunAnswer(request.ReasonNoUpstream, name)
	}
	if holder.ID == d.self.ID {
		answer := d.dispatchHere(ctx, name, req)
		d.loads.set(name, d.holders.load(name))
		return answer
	}
	if err := d.links.request(ctx, holder, req); err != nil {
		return request.NotRunAnswer(request.ReasonLink, err.Error())
	}
	in := &wire.Dispatch{Upstream: name, Holder: holder.Incarnation, Request: wire.NewRequest(req, time.Now())}
	out, err := d.callHolder(ctx, holder, in, req)
	if err != nil {
		return peerFailure(holder, err)
	}
	d.loads.set(name, placement.Load{
		InUse: out.Load.InUse, Waiting: out.Load.Waiting, ServiceTime: out.Load.MeanServiceTime,
		Connected: out.Load.Warm, Failing: out.Load.Unreachable, UpdatedAt: time.Now(),
	})
	return out.Answer
}

// graceOf is how long the holder of an upstream may take to settle a request
// that was cancelled. One with a key that has started runs on.
func graceOf(req *request.Request) time.Duration {
	if req.Key == "" {
		return settleGrace
	}
	return settleGrace + backendhttp.MaxRunOn
}

// peerFailure returns the outcome of a request whose call to a peer failed.
func peerFailure(m membership.Member, err error) request.Answer {
	if errors.Is(err, peer.ErrNotSent) {
		return request.NotRunAnswer(request.ReasonPeerUnreachable, m.ID+": "+err.Error())
	}
	return request.UnknownAnswer(request.ReasonPeerLost, m.ID+": "+err.Error())
}

func (d *Daemon) logDecision(req *request.Request, c placement.Candidate, attempt int, answer request.Answer) {
	d.log.Info().Str("event", "route.decision").Str("request", req.ID).Str("service", req.Service).
		Stringer("rank", req.Rank).Str("upstream", c.Upstream.Name).Int("distance", c.Distance).
		Int("in_use", c.Load.InUse).Int("waiting", c.Load.Waiting).Int("attempt", attempt).
		Str("outcome", string(answer.Outcome)).Str("reason", string(answer.Reason)).Str("detail", answer.Detail).Send()
}
