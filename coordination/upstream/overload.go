package upstream

import (
	"math"
	"slices"
	"time"

	"bilberrytiller.example/tiller/coordination/overload"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// maxWaiters bounds the requests that wait at a daemon for room at a server.
	// Their bodies are in memory.
	maxWaiters = 64
	// reportHalfLife is the age at which half of what a load report differs from the
	// sustained load is still expected, and loadHalfLife the time in which the
	// sustained load follows half of a change.
	reportHalfLife = 300 * time.Millisecond
	loadHalfLife   = time.Second
	// nearbyHalfLife is the half-life of load reports in the mean of a region, and
	// minReports the number of recent reports from which it is known.
	nearbyHalfLife = time.Second
	minReports     = 2.0
)

// Waiter is a request that waits for room at a server.
type Waiter = overload.Waiter

// ReasonTooLate and ReasonYields are the reasons of package overload for refusing a
// request where ranks compete.
const (
	ReasonTooLate = Reason(overload.ReasonTooLate)
	ReasonYields  = Reason(overload.ReasonYields)
	// ReasonRank means that the server's queue is short enough for the rank.
	ReasonRank Reason = "rank"
)

// competition is the state of a service that requests of several ranks use.
type competition struct {
	policy *overload.Policy
	shares overload.Shares
}

// sustainedLoad is the average number of requests that a server reported over about
// loadHalfLife.
type sustainedLoad struct {
	average float64
	at      time.Time
}

func (l *sustainedLoad) record(requests int, now time.Time) {
	if l.at.IsZero() {
		l.average, l.at = float64(requests), now
		return
	}
	if !now.After(l.at) {
		return
	}
	previous := math.Exp2(-now.Sub(l.at).Seconds() / loadHalfLife.Seconds())
	l.average, l.at = previous*l.average+(1-previous)*float64(requests), now
}

// expected returns the load expected now. Without new reports, it falls to 0, so
// that a server that was full is tried again.
func (l *sustainedLoad) expected(now time.Time) float64 {
	return l.average * math.Exp2(-now.Sub(l.at).Seconds()/loadHalfLife.Seconds())
}

// nearbyLoad is the mean of the requests per slot that the servers of one service
// in one region reported, recent reports counting most.
type nearbyLoad struct {
	sum, count float64
	at         time.Time
}

func (u *nearbyLoad) decayed(now time.Time) (sum, count float64) {
	factor := math.Exp2(-now.Sub(u.at).Seconds() / nearbyHalfLife.Seconds())
	return u.sum * factor, u.count * factor
}

func (u *nearbyLoad) add(requestsPerSlot float64, now time.Time) {
	u.sum, u.count = u.decayed(now)
	weight := 1 / min(1, requestsPerSlot)
	u.sum, u.count, u.at = u.sum+weight*requestsPerSlot, u.count+weight, now
}

// mean returns the number of requests per slot, or 0 if unknown.
func (u *nearbyLoad) mean(now time.Time) float64 {
	if u == nil {
		return 0
	}
	sum, count := u.decayed(now)
	if count < minReports {
		return 0
	}
	return sum / count
}

// policies returns the policy of each service that requests of several ranks use,
// by route or by organisation.
func policies(c *routing.Configuration) map[string]*overload.Policy {
	classes := map[string][]overload.Class{}
	for service, all := range c.RankedObjectives() {
		for _, o := range all {
			classes[service] = append(classes[service], overload.Class{Rank: o.Rank, Objective: o.Objective})
		}
	}
	out := map[string]*overload.Policy{}
	for service, all := range classes {
		if p := overload.NewPolicy(all); p != nil {
			out[service] = p
		}
	}
	return out
}

// configureRanks sets the policies of the services. A service keeps its
// shares if its ranks stay the same.
func (b *Balancer) configureRanks(c *routing.Configuration) {
	old := b.competitions
	b.competitions = map[string]*competition{}
	for service, policy := range policies(c) {
		next := &competition{policy: policy}
		if o := old[service]; o != nil && o.policy.SameRanks(policy) {
			next.shares = o.shares
		}
		b.competitions[service] = next
	}
}

// decide returns the server that the request goes to and why, or the refusal.
// Where ranks compete, the server may be another than the given one, and the
// refusal may ask the caller to wait.
func (b *Balancer) decide(sel *selection, srv *server) (*server, Reason, *Refusal) {
	c := b.competitions[sel.request.Service]
	if c == nil {
		reason, ok := sel.reasonToUse(srv)
		if !ok {
			return nil, "", sel.refuseFull(srv)
		}
		return srv, reason, nil
	}
	d := b.decideByRank(sel, c, srv, false)
	if d.Action != overload.Send {
		if other := sel.alternative(srv); other != nil {
			if od := b.decideByRank(sel, c, other, other != sel.home); od.Action == overload.Send || other == sel.home {
				srv, d = other, od
			}
		}
	}
	switch {
	case d.Action == overload.Send:
		sel.recordShare(c, true)
		return srv, ReasonRank, nil
	case d.Action == overload.Wait && !sel.request.MustNotWait:
		w := sel.waiter(srv)
		return nil, "", &Refusal{Reason: Reason(d.Reason), RetryAfter: d.RetryAfter, BestCandidate: srv.ID, Waiter: w, MaxWait: d.MaxWait, Recheck: sel.recheckAfter(d.RetryAfter)}
	}
	sel.recordShare(c, false)
	return nil, "", &Refusal{Reason: Reason(d.Reason), RetryAfter: d.RetryAfter, BestCandidate: srv.ID, EstimatedRequests: srv.estimatedRequests(sel.now)}
}

// recordShare counts the request among those of its rank.
func (sel *selection) recordShare(c *competition, sent bool) {
	if !sel.dryRun {
		c.shares.Record(c.policy.Position(sel.request.Rank), c.policy.Positions(), sent, sel.now)
	}
}

// recheckAfter returns the time after which a waiting request should be decided about
// again: when room is expected, or another server may be available.
func (sel *selection) recheckAfter(room time.Duration) time.Duration {
	if sel.nextAvailable.IsZero() {
		return room
	}
	return min(room, sel.nextAvailable.Sub(sel.now))
}

// alternative returns the server to try if the given one does not take the request:
// the home server, or instead of that the next in rank if it has a free slot. It
// returns nil if there is none.
func (sel *selection) alternative(srv *server) *server {
	if srv != sel.home {
		return sel.home
	}
	if sel.request.Key == "" || len(sel.candidates) < 2 {
		return nil
	}
	rest := slices.DeleteFunc(slices.Clone(sel.candidates), func(other *server) bool { return other == srv })
	next := slices.MinFunc(rest, sel.compare)
	if next.estimatedRequests(sel.now) >= next.slots() {
		return nil
	}
	return next
}

// decideByRank asks the policy about a server. overflow is set if the request
// leaves its home only because of the policy.
func (b *Balancer) decideByRank(sel *selection, c *competition, srv *server, overflow bool) overload.Decision {
	position, positions := c.policy.Position(sel.request.Rank), c.policy.Positions()
	return c.policy.Decide(overload.Request{
		Rank: sel.request.Rank, ObjectiveLeft: sel.request.ObjectiveLeft, TimeLeft: sel.request.TimeLeft,
		ClientTimeLeft: max(sel.request.TimeLeft, sel.request.ClientTimeLeft),
		Demand:         c.shares.Demand(positions, sel.now),
		BelowMinimum:   c.shares.BelowMinimum(position, positions, sel.now), Overtaken: b.queue.Overtakes(sel.waiter(srv)),
		Work: sel.expectedWork(srv), Overflow: overflow,
	}, overload.Server{
		Requests: srv.expectedRequests(sel.now), Slots: srv.slots(), Sustained: srv.sustained.expected(sel.now),
		NearbyPerSlot: b.nearbyLoads[loadKey{srv.Service, srv.region}].mean(sel.now),
		ServiceTime:   seconds(sel.serviceTime(srv)), RoundTrip: seconds(srv.roundTrip),
	}, b.random())
}

// findsCold reports whether the server is not the home of the request's object.
func (sel *selection) findsCold(srv *server) bool {
	return sel.request.Key != "" && (srv != sel.home || len(sel.request.Tried) > 0)
}

// expectedWork returns the time that the server is expected to work on the
// request: longer if it is not the object's home, since the object is cold there.
func (sel *selection) expectedWork(srv *server) time.Duration {
	usual := sel.serviceTime(srv)
	if !sel.findsCold(srv) {
		return seconds(usual)
	}
	return seconds(max(usual, sel.coldLatency-srv.roundTrip))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// waiter returns the request as one that waits for a server.
func (sel *selection) waiter(srv *server) *overload.Waiter {
	if w := sel.request.Waiter; w != nil && w.Server == srv.ID {
		return w
	}
	work := seconds(sel.serviceTime(srv))
	return &overload.Waiter{
		Server: srv.ID, Rank: sel.request.Rank, Returning: sel.request.Returning, Work: work,
		LatestStart: sel.now.Add(sel.request.ObjectiveLeft - work), Ready: make(chan struct{}, 1),
	}
}

// Wait adds a request to those that wait for room at a server. It returns false if
// as many wait already and callers lose more by each of them. A waiter is told
// over Ready when room is expected, and displaced by one that callers lose more by.
func (b *Balancer) Wait(w *overload.Waiter, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	displaced := b.queue.Add(w)
	if displaced == w {
		return false
	}
	displaced.Displace()
	// The server may have changed since the request was decided about.
	srv := b.servers[w.Server]
	if srv == nil || srv.missing || b.evacuated[srv.Zone] || !srv.availability.Check(0, now).Allowed {
		w.Wake()
	}
	return true
}

// EndWait removes a request from those that wait.
func (b *Balancer) EndWait(w *overload.Waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Remove(w)
	b.queue.Wake(w.Server)
}

// QueueLengths returns how many requests wait, by rank. Ranks from ranks-1 on
// count together.
func (b *Balancer) QueueLengths(ranks int) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Lengths(ranks)
}

// loadKey identifies the servers of one service in one region.
type loadKey struct{ service, region string }

// recordNearbyLoad adds a load report to those of its region. Only services where
// ranks compete need it.
func (b *Balancer) recordNearbyLoad(srv *server, load Load, now time.Time) {
	if b.competitions[srv.Service] == nil {
		return
	}
	key := loadKey{srv.Service, srv.region}
	nearby := b.nearbyLoads[key]
	if nearby == nil {
		nearby = &nearbyLoad{}
		b.nearbyLoads[key] = nearby
	}
	nearby.add(float64(load.Running+load.Waiting+1)/float64(srv.slots()), now)
}
