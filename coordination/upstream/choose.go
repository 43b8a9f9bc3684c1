package upstream

import (
	"cmp"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/coordination/availability"
	"bilberrytiller.example/tiller/coordination/overload"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// maxRequestsPerSlot is the number of requests per slot that a server may
	// hold before requests that would miss their latency objective are refused.
	maxRequestsPerSlot = 2.0
	// minUnmeasuredLatency is the least latency, in seconds, assumed for a
	// server whose latency has not been measured yet.
	minUnmeasuredLatency = 0.1
	// minServiceTime is the least time, in seconds, that a server is assumed to
	// work on a request.
	minServiceTime = 0.005
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused
	// request.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// maxRateLimitDraws bounds the servers that a request is tried at whose rate
	// limits may or may not admit it.
	maxRateLimitDraws = 4
)

// Request holds the inputs for choosing a server.
type Request struct {
	Service string
	// Key identifies the object, or is empty if any server will do.
	Key string
	// Route and Organisation restrict the regions that the request may go to. Both may
	// be nil.
	Route        *routing.Route
	Organisation *routing.Organisation
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank int
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Tried lists the server incarnations that the request was already sent to.
	// They are not chosen again.
	Tried []routing.Incarnation
	// ObjectiveLeft and TimeLeft are the time remaining until the latency
	// objective and until the deadline.
	ObjectiveLeft, TimeLeft time.Duration
	// ColdRate is the rate, in requests per second, that a cold server accepts
	// from the whole fleet.
	ColdRate float64
	// DaemonCount is the number of daemons that share ColdRate and the servers' rate
	// limits.
	DaemonCount int
	// ClientTimeLeft is the time until the client gives up, if that is longer than
	// TimeLeft. Returning is set if the request was refused before.
	ClientTimeLeft time.Duration
	Returning      bool
	// Waiter is the request's place in the daemon's queue, or nil. MustNotWait is
	// set if it may not wait (again).
	Waiter      *overload.Waiter
	MustNotWait bool
}

// Reason says why a server was chosen or why none was.
type Reason string

const (
	// ReasonHasCapacity means that the server has a free slot or a queue short
	// enough to join.
	ReasonHasCapacity Reason = "room"
	// ReasonQueue means that the queue is long, but the request is expected to
	// meet its latency objective.
	ReasonQueue Reason = "queue"
	// ReasonNoServer means that no server may be used.
	ReasonNoServer Reason = "no_server"
	// ReasonFull means that the server's queue is too long.
	ReasonFull Reason = "full"
	// ReasonColdLimit means that only cold servers are left, and they are at
	// their rate limit.
	ReasonColdLimit Reason = "cold_limit"
	// ReasonRateLimit means that no server is left but those whose limit, as named
	// by themselves, this daemon has used its share of.
	ReasonRateLimit Reason = "rate_limit"
	// ReasonPaused means that all servers that might be used have asked for a pause.
	ReasonPaused Reason = "paused"
	// ReasonBodies means that all servers that might be used hold as many bytes of bodies as
	// they may.
	ReasonBodies Reason = "server_memory"
	// ReasonLeaving means that all servers that might be used leave.
	ReasonLeaving Reason = "leaving"
)

// Choice is the server chosen for a request. The request counts as in flight
// there until Done is called.
type Choice struct {
	Backend routing.Backend
	Reason  Reason
	// EstimatedRequests is the number of requests estimated to be at the server
	// already. LoadAge is the age of its latest load report, or negative if
	// there is none.
	EstimatedRequests int
	LoadAge           time.Duration

	// Announced is what the server's answer changed. Done sets it.
	Announced availability.Change

	balancer  *Balancer
	server    *server
	chosenAt  time.Time
	bodyBytes int64
}

// Refusal says why no server was chosen and when to retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// BestCandidate is the ID of the server that would have been used, if any,
	// and EstimatedRequests the number of requests estimated to be there.
	BestCandidate     string
	EstimatedRequests int
	// Waiter is set if the request may wait for room at BestCandidate: for at most
	// MaxWait, after which RetryAfter holds. Unless it is told of room sooner, it should
	// be decided about again after Recheck.
	Waiter           *overload.Waiter
	MaxWait, Recheck time.Duration
}

// Choose picks a server for a request and counts the request as in flight
// there, or returns why no server can take it.
func (b *Balancer) Choose(r Request, now time.Time) (*Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	svc := b.services[r.Service]
	if svc == nil {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: maxRetryAfter}
	}
	b.updateBaseline(svc, now)
	sel := b.newSelection(svc, r, now)
	for draws := 0; len(sel.candidates) > 0 && draws < maxRateLimitDraws; draws++ {
		srv := sel.pickServer()
		srv, reason, refusal := b.decide(sel, srv)
		if refusal != nil {
			return nil, refusal
		}
		if b.takeFromRateLimit(srv, r.DaemonCount, now) {
			return b.assign(srv, r, reason, now), nil
		}
		sel.leaveOutLimited(srv)
	}
	return nil, b.refuseWithTruePause(svc, sel)
}

// reasonToUse returns why the server may get the request, or false if its queue is
// too long.
func (sel *selection) reasonToUse(srv *server) (Reason, bool) {
	switch {
	case sel.hasCapacity(srv):
		return ReasonHasCapacity, true
	case sel.expectedLatency(srv) <= sel.request.ObjectiveLeft:
		return ReasonQueue, true
	}
	return "", false
}

// assign counts a request as in flight at a server and updates the server's
// cold rate limit and the times of its next probes.
func (b *Balancer) assign(srv *server, r Request, reason Reason, now time.Time) *Choice {
	if srv.isCold(now) {
		srv.coldLimiter.Allow(r.ColdRate, r.DaemonCount, now)
	}
	if !now.Before(srv.nextProbe) {
		srv.nextProbe = now.Add(b.probeDelay(srv, r, now))
	}
	estimated := srv.estimatedRequests(now)
	srv.availability.Sent(now)
	srv.inflight++
	b.services[srv.Service].bodies.Begin(&srv.bodies, r.BodyBytes)
	return &Choice{
		Backend: srv.Backend, Reason: reason, EstimatedRequests: estimated, LoadAge: srv.loadAge(now),
		balancer: b, server: srv, chosenAt: now, bodyBytes: r.BodyBytes,
	}
}

// probeDelay returns the time until an unhealthy server may get its next
// request. If the server fails the requests of all the region's daemons, the
// delay grows with the number of daemons, so that they take turns in probing
// it.
func (b *Balancer) probeDelay(srv *server, r Request, now time.Time) time.Duration {
	if srv.failsInRegion(b.services[srv.Service].baseline, now) {
		return probeInterval * time.Duration(max(1, r.DaemonCount))
	}
	return probeInterval
}

// selection is the state of choosing a server for one request.
type selection struct {
	request Request
	// dryRun is set if the request is not sent, so that it is not counted.
	dryRun     bool
	objectHash uint64
	// plan says which objects stay in the daemon's region.
	plan     affinity.Plan
	locality Locality
	baseline serviceBaseline
	// coldLatency is the estimated time in seconds to serve a cold object, or 0
	// if unknown.
	coldLatency float64
	now         time.Time
	// candidates are the servers that may be chosen.
	candidates []*server
	// home is the candidate that ranks first, as of the latest pickServer.
	home *server
	// unhealthy are usable servers that fail too often or are too slow and are
	// not due for a probe. They become candidates only if there are no others.
	unhealthy []*server
	// coldLimited counts the cold servers that are at their rate limit.
	coldLimited int
	// rateLimited is set if a server was left out because of its own limit, and
	// rateLimitWait is the shortest time until such a server may be used.
	rateLimited   bool
	rateLimitWait time.Duration
	// returning are servers after a pause to which the object has not returned yet.
	// They become candidates only if there are no others.
	returning   []*server
	returnPlace float64
	// leaving and paused are set if a server was left out because it leaves or has
	// asked for a pause, and pauseEnds is when the first pause ends. nextAvailable is
	// when the first server that was left out may be available, or zero.
	leaving, paused          bool
	pauseEnds, nextAvailable time.Time
	// bodiesFull is set if a server was left out because of the bodies that it holds.
	bodiesFull bool
}

func (b *Balancer) newSelection(svc *service, r Request, now time.Time) *selection {
	sel := &selection{request: r, locality: b.locality, baseline: svc.baseline, coldLatency: svc.coldLatency.seconds, now: now, returnPlace: b.returnPlace(r)}
	if r.Key != "" {
		sel.objectHash = affinity.Hash(r.Service, r.Key)
		sel.plan = affinity.NewPlan(svc.regions, b.locality.Region, b.localityOf(r.Route))
	}
	avoidMissing := !svc.mostlyMissing()
	for _, srv := range svc.servers {
		switch {
		case srv.missing && avoidMissing:
		case !b.usable(srv, r):
		case !sel.available(srv):
		case !svc.bodies.Admits(&srv.bodies, r.BodyBytes, srv.othersRequests(now), now):
			sel.bodiesFull = true
		case srv.isCold(now) && !srv.coldLimiter.Ready(r.ColdRate, r.DaemonCount, now):
			sel.coldLimited++
		case srv.atRateLimit(r.DaemonCount, now):
			sel.recordRateLimited(srv)
		case !srv.healthy(sel.baseline, now) && now.Before(srv.nextProbe):
			sel.unhealthy = append(sel.unhealthy, srv)
		default:
			sel.candidates = append(sel.candidates, srv)
		}
	}
	if len(sel.candidates) == 0 {
		sel.candidates = append(sel.unhealthy, sel.returning...)
	}
	return sel
}

// usable reports whether the request may go to a server that is available.
func (b *Balancer) usable(srv *server, r Request) bool {
	if b.evacuated[srv.Zone] {
		return false
	}
	if r.Route != nil && !r.Route.AllowsRegion(srv.region) || !r.Organisation.AllowsRegion(srv.region) {
		return false
	}
	return !slices.Contains(r.Tried, srv.Incarnation())
}

// pickServer returns the candidate that ranks first. For a request with a key,
// that is the object's home server, which is the same at every daemon of the
// region: any other server would find the object cold and evict other objects
// from its memory. If the home server is expected to miss the latency
// objective or to refuse the request, but a server that finds the object cold
// is not, pickServer returns the next server in rank, provided that it has a
// free slot.
func (sel *selection) pickServer() *server {
	first := slices.MinFunc(sel.candidates, sel.compare)
	sel.home = first
	if sel.request.Key == "" || len(sel.candidates) < 2 {
		return first
	}
	if first.estimatedRequests(sel.now) < first.slots() || sel.expectedLatency(first) <= sel.request.ObjectiveLeft {
		return first
	}
	rest := slices.DeleteFunc(slices.Clone(sel.candidates), func(srv *server) bool { return srv == first })
	next := slices.MinFunc(rest, sel.compare)
	if next.estimatedRequests(sel.now) >= next.slots() {
		return first
	}
	if sel.coldEndsWithin(sel.request.ObjectiveLeft) || !sel.hasCapacity(first) && sel.coldEndsWithin(sel.request.TimeLeft) {
		return next
	}
	return first
}

// coldEndsWithin reports whether a request that finds its object cold is
// expected to end within the given time.
func (sel *selection) coldEndsWithin(d time.Duration) bool {
	return sel.coldLatency > 0 && sel.coldLatency <= d.Seconds()
}

// distance returns 0 for a server in the daemon's own zone, 1 for one in its
// region and 2 for any other.
func (sel *selection) distance(srv *server) int {
	switch {
	case srv.Zone == sel.locality.Zone:
		return 0
	case srv.region == sel.locality.Region:
		return 1
	}
	return 2
}

// compare orders servers by descending affinity to the request's object.
// Without an object, it orders them by expected wait, then by distance, then by
// estimated requests.
func (sel *selection) compare(a, b *server) int {
	if sel.request.Key == "" {
		return cmp.Or(cmp.Compare(sel.expectedWait(a), sel.expectedWait(b)), cmp.Compare(sel.distance(a), sel.distance(b)), cmp.Compare(a.estimatedRequests(sel.now), b.estimatedRequests(sel.now)))
	}
	if sel.plan.Kept > 0 {
		return sel.compareByPlan(a, b)
	}
	return cmp.Compare(affinity.Score(sel.objectHash, b.hash), affinity.Score(sel.objectHash, a.hash))
}

// compareByPlan orders the servers for an object that the plan may keep in the
// daemon's region.
func (sel *selection) compareByPlan(a, b *server) int {
	if !sel.plan.Keeps(sel.objectHash) {
		return cmp.Compare(sel.plan.Distance(sel.objectHash, a.hash, a.region), sel.plan.Distance(sel.objectHash, b.hash, b.region))
	}
	if a.region != b.region && (a.region == sel.locality.Region || b.region == sel.locality.Region) {
		return cmp.Compare(sel.distance(a), sel.distance(b))
	}
	return cmp.Compare(affinity.Score(sel.objectHash, b.hash), affinity.Score(sel.objectHash, a.hash))
}

// hasCapacity reports whether a server has a free slot, or a queue that is
// short enough to join and lets the request finish before its deadline.
func (sel *selection) hasCapacity(srv *server) bool {
	estimated := srv.estimatedRequests(sel.now)
	if estimated < srv.slots() {
		return true
	}
	return float64(estimated) < maxRequestsPerSlot*float64(srv.slots()) && sel.expectedLatency(srv) <= sel.request.TimeLeft
}

// expectedLatency returns the expected time until the server answers the
// request.
func (sel *selection) expectedLatency(srv *server) time.Duration {
	return time.Duration((srv.roundTrip + sel.expectedWait(srv) + sel.serviceTime(srv)) * float64(time.Second))
}

// expectedWait returns the expected time, in seconds, in the server's queue.
func (sel *selection) expectedWait(srv *server) float64 {
	ahead := srv.estimatedRequests(sel.now) + 1 - srv.slots()
	return max(0, float64(ahead)) / float64(srv.slots()) * sel.serviceTime(srv)
}

// serviceTime returns the expected time, in seconds, that the server works on a
// request, at the present speed of its machine.
func (sel *selection) serviceTime(srv *server) float64 {
	latency := srv.latency
	if latency <= 0 {
		latency = max(minUnmeasuredLatency, sel.baseline.latency)
	}
	return max(minServiceTime, latency-srv.roundTrip) * srv.expectedWorkFactor(sel.now)
}

// refuseWithoutCandidate returns a refusal because no server may get the request.
func (sel *selection) refuseWithoutCandidate() *Refusal {
	switch {
	case sel.paused && !sel.rateLimited && sel.coldLimited == 0:
		return &Refusal{Reason: ReasonPaused, RetryAfter: max(minRetryAfter, sel.pauseEnds.Sub(sel.now))}
	case sel.rateLimited:
		return &Refusal{Reason: ReasonRateLimit, RetryAfter: min(maxRetryAfter, max(minRetryAfter, sel.rateLimitWait))}
	case sel.coldLimited > 0:
		return &Refusal{Reason: ReasonColdLimit, RetryAfter: maxRetryAfter / 4}
	case sel.bodiesFull:
		return &Refusal{Reason: ReasonBodies, RetryAfter: maxRetryAfter / 4}
	case sel.leaving:
		return &Refusal{Reason: ReasonLeaving, RetryAfter: maxRetryAfter / 4}
	}
	return &Refusal{Reason: ReasonNoServer, RetryAfter: maxRetryAfter / 4}
}

// refuseFull returns a refusal because the server's queue is too long. The
// retry delay is the time after which the queue is expected to have drained.
func (sel *selection) refuseFull(srv *server) *Refusal {
	after := time.Duration(sel.expectedWait(srv) * float64(time.Second))
	return &Refusal{
		Reason: ReasonFull, RetryAfter: min(maxRetryAfter, max(minRetryAfter, after)),
		BestCandidate: srv.ID, EstimatedRequests: srv.estimatedRequests(sel.now),
	}
}
