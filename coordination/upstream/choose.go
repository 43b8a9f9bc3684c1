package upstream

import (
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/affinity"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// lateQueue is the queue in parts of a server's slots that requests may
	// join although they will miss their objective.
	lateQueue = 1.0
	// firstLatency is the time in seconds that a server's work is thought to
	// take before any answer told.
	firstLatency = 0.1
	// usualPeriod is how often the average latency of a service is worked out.
	usualPeriod = 200 * time.Millisecond
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
	// Daemons is the number of daemons that share ColdRate.
	Daemons int
}

// Reason says how a server was chosen or why none was.
type Reason string

// The reasons.
const (
	ReasonRoom      Reason = "room"
	ReasonQueue     Reason = "queue"
	ReasonNoServer  Reason = "no_server"
	ReasonFull      Reason = "full"
	ReasonColdLimit Reason = "cold_limit"
)

// Choice is a server that was chosen for a request, which it counts as in
// flight until Done.
type Choice struct {
	Backend routing.Backend
	Region  string
	Reason  Reason
	// Held is the number of requests that the server was thought to hold.
	Held int

	set    *Set
	server *server
}

// Refusal says why no server was chosen and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string { return "no backend server: " + string(r.Reason) }

// Choose picks a server for a request. It returns a *Refusal if none can take
// it.
func (s *Set) Choose(r Request, now time.Time) (*Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc := s.services[r.Service]
	if svc == nil {
		return nil, &Refusal{Reason: ReasonNoServer, RetryAfter: maxRetryAfter}
	}
	svc.refresh(now)
	search := s.newSearch(svc, r, now)
	if search.found == 0 {
		return nil, &Refusal{Reason: search.emptyReason(), RetryAfter: maxRetryAfter / 4}
	}
	for _, tier := range search.order() {
		if srv := search.withRoom(tier); srv != nil {
			return s.take(srv, r, ReasonRoom, now), nil
		}
	}
	if srv := search.withQueue(); srv != nil {
		return s.take(srv, r, ReasonQueue, now), nil
	}
	return nil, search.full()
}

// take counts a request in flight at a server.
func (s *Set) take(srv *server, r Request, reason Reason, now time.Time) *Choice {
	if srv.cold(now) {
		srv.gate.Admit(r.ColdRate, r.Daemons, now)
	}
	if now.After(srv.nextTrial) {
		srv.nextTrial = now.Add(trialPause)
	}
	if srv.ejections > 0 && !now.Before(srv.ejectedUntil) {
		srv.ejectedUntil = now.Add(firstEjection)
	}
	held := srv.estimate(now)
	srv.inflight++
	return &Choice{Backend: srv.Backend, Region: srv.region, Reason: reason, Held: held, set: s, server: srv}
}

// tier is a part of a service's servers by distance.
type tier int

const (
	ownZone tier = iota
	ownRegion
	elsewhere
	tiers
)

// search is the choice of a server for one request.
type search struct {
	request Request
	object  uint64
	local   bool
	usual   float64
	now     time.Time
	tiers   [tiers][]*server
	// doubtful are usable servers that are faulty or slow.
	doubtful []*server
	found    int
	// coldLimited counts the servers that have had their requests for now.
	coldLimited int
}

func (s *Set) newSearch(svc *service, r Request, now time.Time) *search {
	f := &search{request: r, usual: svc.usual, now: now, local: true}
	if r.Key != "" {
		f.object = affinity.Hash(r.Service, r.Key)
		f.local = affinity.Fraction(f.object) < svc.local.part(s, svc, now)
	}
	for _, srv := range svc.servers {
		if !s.usable(srv, r, now) {
			continue
		}
		if srv.cold(now) && !srv.gate.Ready(r.ColdRate, r.Daemons, now) {
			f.coldLimited++
			continue
		}
		f.add(srv, s.place)
	}
	return f
}

func (f *search) add(srv *server, place Place) {
	f.found++
	if !srv.healthy(f.usual, f.now) && f.now.Before(srv.nextTrial) {
		f.doubtful = append(f.doubtful, srv)
		return
	}
	switch {
	case srv.Zone == place.Zone:
		f.tiers[ownZone] = append(f.tiers[ownZone], srv)
	case srv.region == place.Region:
		f.tiers[ownRegion] = append(f.tiers[ownRegion], srv)
	default:
		f.tiers[elsewhere] = append(f.tiers[elsewhere], srv)
	}
}

// usable reports whether a request may go to a server at all.
func (s *Set) usable(srv *server, r Request, now time.Time) bool {
	if srv.Draining || srv.misdirected || s.evacuated[srv.Zone] || now.Before(srv.ejectedUntil) {
		return false
	}
	if r.Route != nil && !r.Route.AllowsRegion(srv.region) {
		return false
	}
	return !slices.Contains(r.Tried, srv.Incarnation())
}

// order returns the tiers to search for room. Objects of other regions go
// there first; the region's own objects leave it only if it has no server.
func (f *search) order() []tier {
	if !f.local && len(f.tiers[elsewhere]) > 0 {
		return []tier{elsewhere, ownZone, ownRegion}
	}
	if len(f.tiers[ownZone])+len(f.tiers[ownRegion]) == 0 {
		return []tier{elsewhere}
	}
	return []tier{ownZone, ownRegion}
}

// withRoom returns the server of a tier with the highest rank for the object
// among those that have a free slot, or nil.
func (f *search) withRoom(t tier) *server {
	var best *server
	var bestScore uint64
	for _, srv := range f.tiers[t] {
		held := srv.estimate(f.now)
		if held >= srv.slots() {
			continue
		}
		score := f.score(srv, held)
		if best == nil || score > bestScore {
			best, bestScore = srv, score
		}
	}
	return best
}

// score ranks a server for the object, or by free slots without one.
func (f *search) score(srv *server, held int) uint64 {
	if f.request.Key == "" {
		return uint64(1000 * (srv.slots() - held) / srv.slots())
	}
	return affinity.Score(f.object, srv.hash)
}

// withQueue returns the server with the shortest expected wait, if a request
// that joins its queue is still of use.
func (f *search) withQueue() *server {
	best, wait := f.shortest()
	if best == nil {
		return nil
	}
	work := f.work(best)
	done := time.Duration((wait + work) * float64(time.Second))
	if done <= f.request.ObjectiveLeft {
		return best
	}
	queued := best.estimate(f.now) - best.slots()
	if float64(queued) < lateQueue*float64(best.slots()) && done <= f.request.TimeLeft {
		return best
	}
	return nil
}

// shortest returns the server with the shortest expected wait in seconds.
func (f *search) shortest() (*server, float64) {
	var best *server
	bestWait := 0.0
	consider := func(srv *server) {
		wait := f.wait(srv)
		if best == nil || wait < bestWait {
			best, bestWait = srv, wait
		}
	}
	for _, t := range f.order() {
		for _, srv := range f.tiers[t] {
			consider(srv)
		}
	}
	if best != nil {
		return best, bestWait
	}
	for _, srv := range f.doubtful {
		consider(srv)
	}
	return best, bestWait
}

func (f *search) wait(srv *server) float64 {
	ahead := srv.estimate(f.now) + 1 - srv.slots()
	return max(0, float64(ahead)) / float64(srv.slots()) * f.work(srv)
}

// work returns the time in seconds that a server's work on a request takes.
func (f *search) work(srv *server) float64 {
	if srv.latency > 0 {
		return srv.latency
	}
	return max(firstLatency, f.usual)
}

func (f *search) emptyReason() Reason {
	if f.coldLimited > 0 {
		return ReasonColdLimit
	}
	return ReasonNoServer
}

// full returns the refusal of a request that no queue has room for. It asks
// the client back when the shortest queue is expected to have run off.
func (f *search) full() *Refusal {
	_, wait := f.shortest()
	after := time.Duration(wait * float64(time.Second))
	return &Refusal{Reason: ReasonFull, RetryAfter: min(maxRetryAfter, max(minRetryAfter, after))}
}

// refresh works out the usual latency of the service's servers.
func (v *service) refresh(now time.Time) {
	if now.Sub(v.usualAt) < usualPeriod {
		return
	}
	v.usualAt = now
	var latencies []float64
	for _, srv := range v.servers {
		if srv.latency > 0 {
			latencies = append(latencies, srv.latency)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	v.usual = latencies[len(latencies)/2]
}
