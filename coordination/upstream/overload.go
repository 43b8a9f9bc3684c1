package upstream

import (
	"math"
	"time"

	"bilberrytiller.example/tiller/coordination/overload"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// maxWaiters bounds the requests that wait at a daemon for room at a server.
	// Their bodies are in memory.
	maxWaiters = 64
	// reportHalfLife is the age at which half of a reported deviation from the
	// load that is usual in the region is still expected.
	reportHalfLife = 300 * time.Millisecond
	usualHalfLife  = time.Second
	// minReports is the number of recent reports from which the usual load of a
	// region is known.
	minReports = 2.0
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

// usualLoad is the mean of the requests per slot that the servers of one service
// in one region reported, recent reports counting most.
type usualLoad struct {
	sum, count float64
	at         time.Time
}

func (u *usualLoad) decayed(now time.Time) (sum, count float64) {
	factor := math.Exp2(-now.Sub(u.at).Seconds() / usualHalfLife.Seconds())
	return u.sum * factor, u.count * factor
}

func (u *usualLoad) add(requestsPerSlot float64, now time.Time) {
	u.sum, u.count = u.decayed(now)
	u.sum, u.count, u.at = u.sum+requestsPerSlot, u.count+1, now
}

// mean returns the usual number of requests per slot, or 0 if unknown.
func (u *usualLoad) mean(now time.Time) float64 {
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

// configureRanks sets the policies of the services. A service keeps its shares.
func (b *Balancer) configureRanks(c *routing.Configuration) {
	old := b.competitions
	b.competitions = map[string]*competition{}
	for service, policy := range policies(c) {
		next := &competition{policy: policy}
		if o := old[service]; o != nil && o.policy.Positions() == policy.Positions() {
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
	position, positions := c.policy.Position(sel.request.Rank), c.policy.Positions()
	d := b.decideByRank(sel, c, srv)
	if d.Action != overload.Send && srv != sel.home {
		srv = sel.home
		d = b.decideByRank(sel, c, srv)
	}
	switch {
	case d.Action == overload.Send:
		c.shares.Record(position, positions, true, sel.now)
		return srv, ReasonRank, nil
	case d.Action == overload.Wait && !sel.request.MustNotWait:
		w := sel.waiter(srv)
		return nil, "", &Refusal{Reason: Reason(d.Reason), RetryAfter: d.RetryAfter, BestCandidate: srv.ID, Waiter: w, MaxWait: d.MaxWait}
	}
	c.shares.Record(position, positions, false, sel.now)
	return nil, "", &Refusal{Reason: Reason(d.Reason), RetryAfter: d.RetryAfter, BestCandidate: srv.ID, EstimatedRequests: srv.estimatedRequests(sel.now)}
}

// decideByRank asks the policy about a server.
func (b *Balancer) decideByRank(sel *selection, c *competition, srv *server) overload.Decision {
	usual := b.usualLoads[loadKey{srv.Service, srv.region}].mean(sel.now)
	position, positions := c.policy.Position(sel.request.Rank), c.policy.Positions()
	return c.policy.Decide(overload.Request{
		Rank: sel.request.Rank, ObjectiveLeft: sel.request.ObjectiveLeft, TimeLeft: sel.request.TimeLeft,
		ClientTimeLeft: max(sel.request.TimeLeft, sel.request.ClientTimeLeft), Returning: sel.request.Returning,
		BelowMinimum: c.shares.BelowMinimum(position, positions, sel.now), Overtaken: b.queue.Overtakes(sel.waiter(srv)),
		Work: sel.expectedWork(srv),
	}, overload.Server{
		Requests: srv.expectedRequests(usual, sel.now), Slots: srv.slots(), UsualPerSlot: usual,
		ServiceTime: seconds(sel.serviceTime(srv)), RoundTrip: seconds(srv.roundTrip),
	}, b.random())
}

// expectedWork returns the time that the server is expected to work on the
// request: longer if it is not the object's home, since the object is cold there.
func (sel *selection) expectedWork(srv *server) time.Duration {
	usual := sel.serviceTime(srv)
	if sel.request.Key == "" || srv == sel.home && len(sel.request.Tried) == 0 {
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
func (b *Balancer) Wait(w *overload.Waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	displaced := b.queue.Add(w)
	if displaced == w {
		return false
	}
	displaced.Displace()
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

// recordUsualLoad adds a load report to those of its region. Only services where
// ranks compete need it.
func (b *Balancer) recordUsualLoad(srv *server, load Load, now time.Time) {
	if b.competitions[srv.Service] == nil {
		return
	}
	key := loadKey{srv.Service, srv.region}
	usual := b.usualLoads[key]
	if usual == nil {
		usual = &usualLoad{}
		b.usualLoads[key] = usual
	}
	usual.add(float64(load.Running+load.Waiting)/float64(srv.slots()), now)
}

// expectedRequests returns the expected number of requests at the server. Many
// daemons share it, so each hears from it rarely: the older the report, the closer
// the expectation is to what is usual in the region.
func (s *server) expectedRequests(usualPerSlot float64, now time.Time) float64 {
	usual := usualPerSlot * float64(s.slots())
	expected := usual
	if !s.report.at.IsZero() {
		remaining := math.Exp2(-now.Sub(s.report.at).Seconds() / reportHalfLife.Seconds())
		expected += (float64(s.report.total+s.inflight-s.report.inflight) - usual) * remaining
	}
	return max(float64(s.inflight), expected)
}
