package daemon

import (
	"context"
	"errors"
	"time"

	"bilberrytiller.example/tiller/coordination/duty"
	"bilberrytiller.example/tiller/coordination/membership"
	"bilberrytiller.example/tiller/coordination/placement"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"
)

// maxAttempts bounds the upstreams that one request is offered to.
const maxAttempts = 3

// serve takes a caller's request to its end.
func (d *Daemon) serve(ctx context.Context, req *request.Request) request.Answer {
	set := d.catalogue.Load()
	if set.Version == 0 {
		return request.Refuse(request.ReasonNoCatalogue, "")
	}
	service := set.Service(req.Service)
	if service == nil {
		return request.Refuse(request.ReasonUnknownService, req.Service)
	}
	complete(req, service, time.Now())
	if service.Class.Idempotent {
		return d.place(ctx, set, req)
	}
	return d.runOnce(ctx, req)
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

// place offers a request to upstreams until one takes it. Only a request
// that is proved not to have run is offered to another upstream.
func (d *Daemon) place(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	release, err := d.limits.admit(ctx, set, req)
	if err != nil {
		return request.Refuse(request.ReasonLimit, err.Error())
	}
	answer := request.Refuse(request.ReasonNoUpstream, req.Service)
	defer func() { release(answer.Outcome) }()
	for attempt, c := range d.taking(placement.Upstreams(set, d.self, req.Service, d.loads.get)) {
		if attempt == maxAttempts || ctx.Err() != nil {
			break
		}
		if decided, ok := d.allowed(ctx, req); !ok {
			answer = decided
			return answer
		}
		answer = d.offer(ctx, set, c, req)
		d.judge(req, c.Upstream.Name, answer)
		d.logDecision(req, c, attempt, answer)
		if answer.Outcome != request.NotRun {
			break
		}
	}
	return answer
}

// offerBest offers a request to the best upstream alone.
func (d *Daemon) offerBest(ctx context.Context, set *catalogue.Set, req *request.Request) request.Answer {
	candidates := d.taking(placement.Upstreams(set, d.self, req.Service, d.loads.get))
	if len(candidates) == 0 {
		return request.Refuse(request.ReasonNoUpstream, req.Service)
	}
	answer := d.offer(ctx, set, candidates[0], req)
	d.judge(req, candidates[0].Upstream.Name, answer)
	d.logDecision(req, candidates[0], 0, answer)
	return answer
}

// offer sends a request to the holder of one upstream.
func (d *Daemon) offer(ctx context.Context, set *catalogue.Set, c placement.Candidate, req *request.Request) request.Answer {
	name := c.Upstream.Name
	holder, ok := d.holderOf(set, c.Upstream)
	if !ok {
		return request.Refuse(request.ReasonNoUpstream, name)
	}
	if holder.ID == d.self.ID {
		answer := d.dispatchHere(ctx, name, req)
		d.loads.set(name, d.holders.load(name))
		return answer
	}
	in := &wire.Dispatch{Upstream: name, Request: wire.NewRequest(req, time.Now())}
	out, err := peer.Call[wire.Answered](ctx, d.peers, holder.Peer, wire.TypeDispatch, in)
	if err != nil {
		return peerFailure(holder, err)
	}
	d.loads.set(name, placement.Load{InUse: out.Load.InUse, Waiting: out.Load.Waiting})
	return out.Answer
}

// peerFailure returns the outcome of a request whose call to a peer failed.
func peerFailure(m membership.Member, err error) request.Answer {
	if errors.Is(err, peer.ErrNotSent) {
		return request.Refuse(request.ReasonPeerUnreachable, m.ID+": "+err.Error())
	}
	return request.Undecided(request.ReasonPeerLost, m.ID+": "+err.Error())
}

func (d *Daemon) holderOf(set *catalogue.Set, u *catalogue.Upstream) (membership.Member, bool) {
	return duty.Holder(d.view.Load(), "upstream/"+u.Name, set.RegionOf(u.DataCentre))
}

// dispatchHere runs a request on an upstream whose slots this daemon holds.
func (d *Daemon) dispatchHere(ctx context.Context, upstream string, req *request.Request) request.Answer {
	set := d.catalogue.Load()
	u := set.Upstream(upstream)
	if u == nil || d.drains.leaving(upstream) {
		return request.Refuse(request.ReasonNoUpstream, upstream)
	}
	if holder, ok := d.holderOf(set, u); !ok || holder.ID != d.self.ID {
		return request.Refuse(request.ReasonNotHolder, upstream)
	}
	answer := d.holders.run(ctx, u, req)
	answer.Upstream = upstream
	return answer
}

func (d *Daemon) logDecision(req *request.Request, c placement.Candidate, attempt int, answer request.Answer) {
	d.log.Info().Str("event", "route.decision").Str("request", req.ID).Str("service", req.Service).
		Stringer("rank", req.Rank).Str("upstream", c.Upstream.Name).Int("distance", c.Distance).
		Int("in_use", c.Load.InUse).Int("waiting", c.Load.Waiting).Int("attempt", attempt).
		Str("outcome", string(answer.Outcome)).Str("reason", string(answer.Reason)).Str("detail", answer.Detail).Send()
}
