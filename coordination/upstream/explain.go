package upstream

import (
	"slices"
	"time"
)

// Standing says whether a server may get a request, or why it may not.
type Standing string

// Standings. Besides these, a server may have one of the reasons of package availability.
const (
	// StandingChosen means that the request would be sent to the server.
	StandingChosen Standing = "chosen"
	// StandingUsable means that the server would get the request if those before it in
	// the order could not.
	StandingUsable Standing = "usable"
	// StandingMissing means that the server's entry is gone but may come back.
	StandingMissing Standing = "missing"
	// StandingEvacuated means that its data centre is evacuated.
	StandingEvacuated Standing = "evacuated"
	// StandingOtherRegion means that the route or the organisation does not allow its
	// region.
	StandingOtherRegion Standing = "region_not_allowed"
	// StandingTried means that the request was sent to it before.
	StandingTried Standing = "tried"
	// StandingBodies means that the server holds as many bytes of bodies as it may after a
	// crash.
	StandingBodies Standing = "bodies"
	// StandingColdLimit and StandingRateLimit mean that this daemon has used its share
	// of what the server accepts while it is cold, and of the limit that it named.
	StandingColdLimit Standing = "cold_limit"
	StandingRateLimit Standing = "rate_limit"
	// StandingUnhealthy means that it fails more often or is slower than the others.
	StandingUnhealthy Standing = "unhealthy"
)

// Explanation says which server a request would be sent to now, and why.
type Explanation struct {
	// Chosen is the ID of the server, and Reason why it was chosen. Without a server,
	// Refusal says why there is none. A request that may wait has a Refusal with a
	// Waiter.
	Chosen  string
	Reason  Reason
	Refusal *Refusal
	// Servers are those of the service, in the order in which they are considered, then
	// those that may not get the request.
	Servers []ExplainedServer
}

// ExplainedServer is a server as a request would find it.
type ExplainedServer struct {
	ID, Zone, Region string
	Standing         Standing
	// Until is when the standing is expected to change, or zero if that is not known.
	Until time.Time
	// Requests is the estimated number of requests at the server.
	Requests, Slots int
	// Latency is the expected time until its answer.
	Latency time.Duration
}

// Explain returns what Choose would do with a request now. It counts nothing and changes
// no decision about other requests. If the chosen server has named a limit of requests
// per second, Choose may pass it over at random.
func (b *Balancer) Explain(r Request, now time.Time) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[r.Service]
	if svc == nil {
		return Explanation{Refusal: &Refusal{Reason: ReasonNoServer, RetryAfter: maxRetryAfter}}
	}
	b.updateBaseline(svc, now)
	sel := b.newSelection(svc, r, now)
	sel.dryRun = true
	x := Explanation{}
	if len(sel.candidates) == 0 {
		x.Refusal = b.refuseWithTruePause(svc, sel)
	} else if srv, reason, refusal := b.decide(sel, sel.pickServer()); refusal != nil {
		x.Refusal = refusal
	} else {
		x.Chosen, x.Reason = srv.ID, reason
	}
	x.Servers = b.explainServers(svc, sel, x.Chosen)
	return x
}

// explainServers returns the servers of a service as a selection finds them.
func (b *Balancer) explainServers(svc *service, sel *selection, chosen string) []ExplainedServer {
	ordered := slices.SortedStableFunc(slices.Values(sel.candidates), sel.compare)
	isCandidate := make(map[*server]bool, len(sel.candidates))
	for _, srv := range sel.candidates {
		isCandidate[srv] = true
	}
	for _, srv := range svc.servers {
		if !isCandidate[srv] {
			ordered = append(ordered, srv)
		}
	}
	out := make([]ExplainedServer, 0, len(ordered))
	for _, srv := range ordered {
		e := ExplainedServer{
			ID: srv.ID, Zone: srv.Zone, Region: srv.region, Standing: StandingUsable,
			Requests: srv.estimatedRequests(sel.now), Slots: srv.slots(), Latency: sel.expectedLatency(srv),
		}
		switch {
		case srv.ID == chosen:
			e.Standing = StandingChosen
		case !isCandidate[srv]:
			e.Standing, e.Until = b.whyLeftOut(svc, srv, sel)
		}
		out = append(out, e)
	}
	return out
}

// whyLeftOut returns why a server is not among the candidates, by the tests of
// newSelection in their order.
func (b *Balancer) whyLeftOut(svc *service, srv *server, sel *selection) (Standing, time.Time) {
	r := sel.request
	verdict := srv.availability.Check(sel.returnPlace, sel.now)
	switch {
	case srv.missing && !svc.mostlyMissing():
		return StandingMissing, time.Time{}
	case b.evacuated[srv.Zone]:
		return StandingEvacuated, time.Time{}
	case r.Route != nil && !r.Route.AllowsRegion(srv.region) || !r.Organisation.AllowsRegion(srv.region):
		return StandingOtherRegion, time.Time{}
	case slices.Contains(r.Tried, srv.Incarnation()):
		return StandingTried, time.Time{}
	case !verdict.Allowed:
		return Standing(verdict.Reason), verdict.Until
	case !b.services[srv.Service].bodies.Admits(&srv.bodies, r.BodyBytes, srv.othersRequests(sel.now), sel.now):
		return StandingBodies, time.Time{}
	case srv.isCold(sel.now) && !srv.coldLimiter.Ready(r.ColdRate, r.DaemonCount, sel.now):
		return StandingColdLimit, time.Time{}
	case srv.atRateLimit(r.DaemonCount, sel.now):
		return StandingRateLimit, sel.now.Add(srv.rateLimiter.Wait(float64(*srv.rateLimit), r.DaemonCount, sel.now))
	}
	return StandingUnhealthy, srv.nextProbe
}
