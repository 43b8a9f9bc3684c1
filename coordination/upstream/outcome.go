package upstream

import (
	"time"

	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/state/routing"
)

// Outcome is how a request to a server ended.
type Outcome int

const (
	// Answered means a complete answer that does not indicate a failure of the
	// server.
	Answered Outcome = iota
	// Failed means a complete answer that indicates a failure of the server.
	Failed
	// Shed means that the server rejected the request without running it.
	Shed
	// Misdirected means that the address belongs to another server.
	Misdirected
	// Lost means that the request was sent but not answered completely.
	Lost
	// Unreachable means that no connection could be established.
	Unreachable
	// Abandoned means that this daemon cancelled the request.
	Abandoned
	// Withdrawn means that nothing was sent, since the server had announced in the
	// meantime that it leaves, or asked for a pause.
	Withdrawn
)

var outcomeNames = [...]string{"answered", "failed", "shed", "misdirected", "lost", "unreachable", "abandoned", "withdrawn"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is what was observed of a request to a server.
type Result struct {
	Outcome Outcome
	// Load is the load that the server reported, or nil.
	Load *Load
	// Latency is the time from sending the request to the complete answer, or
	// to the end of the wait for it.
	Latency time.Duration
	// RoundTrip is the time that it took to connect to the server, or 0 if the
	// request was sent on a connection in use before.
	RoundTrip time.Duration
	// ColdLeft is how much longer the server will be cold, as it reported
	// itself.
	ColdLeft time.Duration
	// RateLimit is the limit that the server named in its answer, or nil.
	RateLimit *RateLimit
	// Signal is what the server announced in its answer.
	Signal availability.Signal
}

// Done ends a request that was in flight at the chosen server and records its
// result. It reports whether the server's rate limit is another than before.
func (c *Choice) Done(r Result, now time.Time) (limitChanged bool) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	srv := c.server
	if svc := c.balancer.services[srv.Service]; svc != nil {
		svc.bodies.End(&srv.bodies, c.bodyBytes, r.Outcome == Lost, srv.othersRequests(now), now)
	}
	srv.inflight--
	limitChanged = srv.recordRateLimit(r, c.chosenAt, now)
	c.recordSignal(r, now)
	srv.recordRoundTrip(r.RoundTrip)
	c.balancer.recordRegionRoundTrip(srv.region, r.RoundTrip)
	if r.Load != nil {
		latency := r.Latency
		if r.Outcome != Answered {
			latency = 0
		}
		srv.recordLoad(*r.Load, latency, now)
		if r.Outcome != Shed {
			c.balancer.recordNearbyLoad(srv, *r.Load, now)
		}
		if svc := c.balancer.services[srv.Service]; svc != nil && r.Load.Waiting == 0 {
			svc.coldLatency.observe(time.Duration(float64(latency) / r.Load.workFactor()))
		}
	}
	srv.markCold(now.Add(r.ColdLeft), now, c.balancer.random())
	outcome := r.Outcome
	if outcome == Abandoned && c.balancer.isHung(srv, r.Latency) {
		outcome = Lost
	}
	srv.recordOutcome(outcome, c.EstimatedRequests, now)
	if srv.availability.Check(0, now).Allowed {
		c.balancer.queue.Wake(srv.ID)
	} else {
		c.balancer.queue.WakeAll(srv.ID)
	}
	if (outcome == Failed || outcome == Lost) && c.balancer.servers[srv.ID] == srv {
		c.balancer.recentlyFailed[srv.ID] = srv
	}
	return limitChanged
}

// RecordCrash records that a server crashed. It returns the limit of the bytes of bodies at
// each server of its service, or 0 if that is not lowered.
func (b *Balancer) RecordCrash(i routing.Incarnation, now time.Time) (service string, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	srv := b.servers[i.ID]
	if srv == nil || srv.Incarnation() != i || !b.services[srv.Service].bodies.Crashed(&srv.bodies, now) {
		return "", 0
	}
	return srv.Service, b.services[srv.Service].bodies.Limit(now)
}

// hangFactor is how many times the usual latency a request may go unanswered
// before its server counts as hung. A request in a full queue waits at most
// three times as long as usual.
const hangFactor = 5

// isHung reports whether a cancelled request had waited too long for load to be
// the cause.
func (b *Balancer) isHung(srv *server, waited time.Duration) bool {
	svc := b.services[srv.Service]
	return svc != nil && svc.baseline.latency > 0 && waited.Seconds() > hangFactor*svc.baseline.latency*max(1, srv.report.workFactor)
}

// recordOutcome updates the server's failure statistics. estimated is the
// number of requests estimated to be at the server at the time of the send:
// shedding is not a failure if the server was full.
func (s *server) recordOutcome(outcome Outcome, estimated int, now time.Time) {
	switch outcome {
	case Answered:
		s.availability.SetReachable()
		s.updateFailureAverage(failureWeight, 0, now)
		s.localAnswers.add(false, now)
	case Failed:
		s.updateFailureAverage(failureWeight, 1, now)
		s.localAnswers.add(true, now)
	case Shed:
		// A rejection with a pause is no failure.
		if estimated < s.slots() && !s.availability.PausedAt(now) {
			s.updateFailureAverage(failureWeight, 1, now)
		}
	case Lost:
		s.updateFailureAverage(lossWeight, 1, now)
		s.localAnswers.add(true, now)
	case Misdirected:
		s.availability.SetMisdirected()
	case Unreachable:
		s.availability.SetUnreachable(now)
	case Abandoned, Withdrawn:
	}
}
