package upstream

import (
	"cmp"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// fullQueue is the requests in parts of its slots that a server may hold
	// before those that would miss their objective are refused.
	fullQueue = 2.0
	// firstLatency is the time in seconds that a server's work is thought to
	// take before any answer told.
	firstLatency = 0.1
	// minRetryAfter and maxRetryAfter bound when a refused client is asked
	// to come back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// Request is what the choice of a server depends on.
type Request struct {
	Service string
	// Key is the object, or empty if any server does.
	Key string
	// Route limits the regions.
	Route *routing.Route
	// Tried are the servers that the request was sent to already.
	Tried []routing.Incarnation
	// ObjectiveLeft and TimeLeft are what is left of the latency objective
	// and of the deadline.
	ObjectiveLeft, TimeLeft time.Duration
	// ColdRate is the requests per second that a cold server takes from the
	// whole fleet.
	ColdRate float64
	// DaemonCount is the number of daemons that share ColdRate.
	DaemonCount int
}

// Reason says how a server was chosen or why none was.
type Reason string

// The reasons.
const (
	ReasonHasCapacity Reason = "room"
	ReasonQueue       Reason = "queue"
	ReasonNoServer    Reason = "no_server"
	ReasonFull        Reason = "full"
	ReasonColdLimit   Reason = "cold_limit"
)

// Choice is a server that was chosen for a request, which it counts as in
// flight until Done.
type Choice struct {
	Backend routing.Backend
	Reason  Reason
	// EstimatedRequests is the number of requests that the server was thought to hold, by
	// a report of its load of the age LoadAge, or less than 0 without one.
	EstimatedRequests int
	LoadAge           time.Duration

	set    *Balancer
	server *server
}

// Refusal says why no server was chosen and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// BestCandidate is the server that came nearest to being chosen, if any, and
	// Held the number of requests that it was thought to hold.
	BestCandidate     string
	EstimatedRequests int
}

// Choose picks a server for a request, or returns why none can take it.
func (s *Balancer) Choose(r Request, now time.Time) (*Choice, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.services[r.Service]
	if svc == nil {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: maxRetryAfter}
	}
	svc.refresh(now)
	search := s.newSearch(svc, r, now)
	if len(search.candidates) == 0 {
		return nil, &Refusal{Reason: search.emptyReason(), RetryAfter: maxRetryAfter / 4}
	}
	srv := search.home()
	switch {
	case search.hasRoom(srv):
		return s.take(srv, r, ReasonHasCapacity, now), nil
	case search.done(srv) <= r.ObjectiveLeft:
		return s.take(srv, r, ReasonQueue, now), nil
	}
	return nil, search.full(srv)
}

// take counts a request in flight at a server.
func (s *Balancer) take(srv *server, r Request, reason Reason, now time.Time) *Choice {
	if srv.cold(now) {
		srv.gate.Allow(r.ColdRate, r.DaemonCount, now)
	}
	if !now.Before(srv.nextTrial) {
		srv.nextTrial = now.Add(s.trialPause(srv, r, now))
	}
	if srv.ejections > 0 && !now.Before(srv.ejectedUntil) {
		srv.ejectedUntil = now.Add(firstEjection)
	}
	held := srv.estimate(now)
	srv.inflight++
	return &Choice{Backend: srv.Backend, Reason: reason, EstimatedRequests: held, LoadAge: srv.loadAge(now), set: s, server: srv}
}

// trialPause returns the time until the next request to a server that others are
// used instead of. Of one that fails all daemons, the region's take turns.
func (s *Balancer) trialPause(srv *server, r Request, now time.Time) time.Duration {
	if srv.failsOthers(s.services[srv.Service].usual, now) {
		return trialPause * time.Duration(max(1, r.DaemonCount))
	}
	return trialPause
}

// search is the choice of a server for one request.
type search struct {
	request Request
	object  uint64
	place   Locality
	usual   average
	// cold is the time in seconds that work on a cold object takes, or 0.
	cold float64
	now  time.Time
	// candidates are the usable servers.
	candidates []*server
	// doubtful are usable servers that are faulty or slow, which are candidates
	// only if no other is.
	doubtful []*server
	// coldLimited counts the servers that have had their requests for now.
	coldLimited int
}

func (s *Balancer) newSearch(svc *service, r Request, now time.Time) *search {
	f := &search{request: r, place: s.place, usual: svc.usual, cold: svc.cold.seconds, now: now}
	if r.Key != "" {
		f.object = affinity.Hash(r.Service, r.Key)
	}
	avoidMissing := !svc.mostlyMissing()
	for _, srv := range svc.servers {
		switch {
		case srv.missing && avoidMissing:
		case !s.usable(srv, r, now):
		case srv.cold(now) && !srv.gate.Ready(r.ColdRate, r.DaemonCount, now):
			f.coldLimited++
		case !srv.healthy(f.usual, now) && now.Before(srv.nextTrial):
			f.doubtful = append(f.doubtful, srv)
		default:
			f.candidates = append(f.candidates, srv)
		}
	}
	if len(f.candidates) == 0 {
		f.candidates = f.doubtful
	}
	return f
}

// usable reports whether a request may go to a server at all.
func (s *Balancer) usable(srv *server, r Request, now time.Time) bool {
	if srv.Draining || srv.misdirected || s.evacuated[srv.Zone] || now.Before(srv.ejectedUntil) {
		return false
	}
	if r.Route != nil && !r.Route.AllowsRegion(srv.region) {
		return false
	}
	return !slices.Contains(r.Tried, srv.Incarnation())
}

// home returns the object's server, the same at every daemon: another one would
// find the object cold and push others out of its memory. Where the object's
// server would answer too late, and one that finds it cold would not, that is
// the next one.
func (f *search) home() *server {
	first := slices.MinFunc(f.candidates, f.order)
	if f.request.Key == "" || first.estimate(f.now) < first.slots() || f.done(first) <= f.request.ObjectiveLeft {
		return first
	}
	if f.cold == 0 || f.cold > f.request.ObjectiveLeft.Seconds() || len(f.candidates) < 2 {
		return first
	}
	rest := slices.DeleteFunc(f.candidates, func(srv *server) bool { return srv == first })
	if next := slices.MinFunc(rest, f.order); next.estimate(f.now) < next.slots() {
		return next
	}
	return first
}

// distance is 0 for the daemon's own zone, 1 for its region and 2 elsewhere.
func (f *search) distance(srv *server) int {
	switch {
	case srv.Zone == f.place.Zone:
		return 0
	case srv.region == f.place.Region:
		return 1
	}
	return 2
}

// order compares servers by their rank for the object. Without an object, the
// one with the shorter wait comes first, then the nearer, then the emptier.
func (f *search) order(a, b *server) int {
	if f.request.Key == "" {
		return cmp.Or(cmp.Compare(f.wait(a), f.wait(b)), cmp.Compare(f.distance(a), f.distance(b)), cmp.Compare(a.estimate(f.now), b.estimate(f.now)))
	}
	return cmp.Compare(affinity.Score(f.object, b.hash), affinity.Score(f.object, a.hash))
}

// hasRoom reports whether a server has a free slot, or a queue that is short
// enough to join.
func (f *search) hasRoom(srv *server) bool {
	held := srv.estimate(f.now)
	if held < srv.slots() {
		return true
	}
	return float64(held) < fullQueue*float64(srv.slots()) && f.done(srv) <= f.request.TimeLeft
}

// done returns how long a server is expected to take for the request.
func (f *search) done(srv *server) time.Duration {
	return time.Duration((f.wait(srv) + f.work(srv)) * float64(time.Second))
}

// wait returns the time in seconds that the request is expected to wait.
func (f *search) wait(srv *server) float64 {
	ahead := srv.estimate(f.now) + 1 - srv.slots()
	return max(0, float64(ahead)) / float64(srv.slots()) * f.work(srv)
}

// work returns the time in seconds that a server's work on a request takes.
func (f *search) work(srv *server) float64 {
	if srv.latency > 0 {
		return srv.latency
	}
	return max(firstLatency, f.usual.latency)
}

func (f *search) emptyReason() Reason {
	if f.coldLimited > 0 {
		return ReasonColdLimit
	}
	return ReasonNoServer
}

// full returns the refusal of a request whose server's queue is too long. It
// asks the client back when the queue is expected to have run off.
func (f *search) full(srv *server) *Refusal {
	after := time.Duration(f.wait(srv) * float64(time.Second))
	return &Refusal{
		Reason: ReasonFull, RetryAfter: min(maxRetryAfter, max(minRetryAfter, after)),
		BestCandidate: srv.ID, EstimatedRequests: srv.estimate(f.now),
	}
}
