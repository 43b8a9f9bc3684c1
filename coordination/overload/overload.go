// Package overload decides which requests go to a backend server that has less
// room than is asked for: which are sent, which wait at the daemon and which are
// refused, and when those should return.
//
// A server runs its requests in order of arrival, so an urgent request cannot
// overtake there. The less urgent a request is, the less may lie in the queue
// that it joins. The load that the decision answers is the requests at the server
// as estimated by a daemon that shares it with others.
//
// The package does no I/O and takes the current time from its callers.
package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRequestsPerSlot is the number of requests per slot up to which the most
	// urgent requests are sent although they miss their objective.
	maxRequestsPerSlot = 2.0
	// rankShare is the part of the queue open to a rank that is open to the next
	// less urgent one.
	rankShare = 0.5
	// fullDemand is the fraction of all requests from which a rank has all that is kept
	// for it. Less is kept for one that sends fewer.
	fullDemand = 0.25
	// reservedStep is the fraction of the slots that is kept, while the server has
	// no room for all, from each rank for the more urgent ones.
	reservedStep = 0.25
	// easyLoad is the number of requests per slot below which nothing is kept.
	easyLoad = 0.8
	// minUrgentQueue is the number of requests per slot that the most urgent rank
	// may find in the queue although the work then ends later than usual.
	minUrgentQueue = 0.25
	// maxWaitFraction is the fraction of the time left to its objective that a
	// request may wait at the daemon. One that is refused after a longer wait is
	// worse off than one refused at once.
	maxWaitFraction = 0.25
	// clientPatience is the fraction of their time left that clients wait before
	// they return.
	clientPatience = 1.0 / 3
	// maxNearby is the number of requests per slot at the servers nearby up to which
	// work on cold objects takes nobody's place.
	maxNearby = 2.0
	// minRetryAfter is the least delay of a returning request.
	minRetryAfter = 50 * time.Millisecond
)

// Class is a kind of request that a service serves.
type Class struct {
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Objective is the latency within which an answer has its full value, or 0.
	Objective time.Duration
}

// Policy decides about the requests of one service whose ranks compete.
type Policy struct {
	// ranks are the ranks in use, the most urgent first.
	ranks []int
	// objectives holds the least objective of each rank, or 0 if it has none.
	objectives []time.Duration
}

// NewPolicy returns the policy for a service with the given classes, or nil if
// they have fewer than two ranks.
func NewPolicy(classes []Class) *Policy {
	p := &Policy{}
	sorted := slices.SortedFunc(slices.Values(classes), func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Objective, b.Objective))
	})
	for _, c := range sorted {
		last := len(p.ranks) - 1
		switch {
		case last < 0 || p.ranks[last] != c.Rank:
			p.ranks = append(p.ranks, c.Rank)
			p.objectives = append(p.objectives, c.Objective)
		case p.objectives[last] == 0:
			p.objectives[last] = c.Objective
		}
	}
	if len(p.ranks) < 2 {
		return nil
	}
	return p
}

// Position returns how many of the ranks in use are more urgent than the given
// one. It is below Positions.
func (p *Policy) Position(rank int) int {
	i, _ := slices.BinarySearch(p.ranks, rank)
	return min(i, len(p.ranks)-1)
}

// SameRanks reports whether the same ranks use the services of both policies.
func (p *Policy) SameRanks(o *Policy) bool { return slices.Equal(p.ranks, o.ranks) }

// Positions returns the number of ranks in use.
func (p *Policy) Positions() int { return len(p.ranks) }

// Request is a request to decide about.
type Request struct {
	Rank int
	// ObjectiveLeft and TimeLeft are the time until the latency objective and
	// until the deadline.
	ObjectiveLeft, TimeLeft time.Duration
	// ClientTimeLeft is the time until the client gives up. It is TimeLeft or
	// more.
	ClientTimeLeft time.Duration
	// Demand holds the fraction of all requests that each rank sends, the most urgent
	// first, or nothing if it is not known.
	Demand []float64
	// BelowMinimum is set if the rank is served less than its guaranteed minimum.
	BelowMinimum bool
	// Overtaken is set if a request that callers lose more by waits for the same
	// server.
	Overtaken bool
	// Work is the time that the server is expected to work on the request, if that
	// is longer than ServiceTime.
	Work time.Duration
	// Overflow is set if the server is not the home of the request's object, and the
	// home was not allowed to take the request. The object is cold there.
	Overflow bool
}

// Server is the state of the server that the request would go to.
type Server struct {
	// Requests is the estimated number of requests there, and Slots how many of
	// them it works on at once.
	Requests float64
	Slots    int
	// Sustained is the number of requests there over the last second, or 0 if it is
	// not known.
	Sustained float64
	// NearbyPerSlot is the mean number of requests per slot at the servers that could
	// run the request too, or 0 if it is not known.
	NearbyPerSlot float64
	// ServiceTime is the expected time that it works on a request, and RoundTrip
	// the time on the way.
	ServiceTime, RoundTrip time.Duration
}

// wait returns the expected time in the server's queue of a request that joins it.
func (s Server) wait() time.Duration {
	ahead := max(0, s.Requests+1-float64(s.Slots))
	return time.Duration(ahead / float64(s.Slots) * float64(s.ServiceTime))
}

// run returns the time until the answer to a usual request that finds a free slot.
func (s Server) run() time.Duration { return s.RoundTrip + s.ServiceTime }

// run returns the time until the answer if the request finds a free slot at s.
func (r Request) run(s Server) time.Duration { return s.RoundTrip + max(r.Work, s.ServiceTime) }

// Action is what is done with a request.
type Action int

// The actions.
const (
	Send Action = iota
	Wait
	Refuse
)

// Reason says why a request was refused.
type Reason string

const (
	// ReasonTooLate means that no answer is expected before the deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonYields means that the room left is kept for requests that callers
	// lose more by.
	ReasonYields Reason = "yields"
)

// Decision is what is done with a request, and for how long it may wait or when
// it should return.
type Decision struct {
	Action Action
	Reason Reason
	// MaxWait is the longest useful wait at the daemon.
	MaxWait time.Duration
	// RetryAfter is the delay after which room is expected.
	RetryAfter time.Duration
}

// Decide decides about a request for a server. jitter is a uniformly distributed
// random number in [0, 1) that spreads the returns.
func (p *Policy) Decide(r Request, s Server, jitter float64) Decision {
	limit := p.requestLimit(r, s)
	// excess is how long the server takes to work off what is above the limit.
	excess := time.Duration(max(0, s.Requests+1-limit) / float64(s.Slots) * float64(s.ServiceTime))
	switch {
	case r.run(s)+s.wait() > r.TimeLeft:
		return p.refuse(ReasonTooLate, r, s, excess, jitter)
	case !r.Overtaken && s.Requests < limit && !p.isCostly(r, s):
		return Decision{Action: Send}
	}
	d := p.refuse(ReasonYields, r, s, excess, jitter)
	// The request can meet its objective only if it is sent so early that its
	// wait at the server, up to the limit, is within what is left.
	d.MaxWait = min(time.Duration(maxWaitFraction*float64(r.ObjectiveLeft)), r.ObjectiveLeft-r.run(s)-(s.wait()-excess))
	// A load that is sustained makes no room within such a time.
	if d.MaxWait > 0 && excess <= d.MaxWait && s.Sustained < limit {
		d.Action = Wait
	}
	return d
}

// requestLimit returns the number of requests at the server below which a request
// is sent.
func (p *Policy) requestLimit(r Request, s Server) float64 {
	position := p.Position(r.Rank)
	if r.BelowMinimum {
		position = 0
	}
	ahead := r.ahead(position)
	queue := maxRequestsPerSlot - 1
	for _, objective := range p.objectives[:position+1] {
		spare := objective - s.run()
		// A rank that cannot be in time even at a free slot loses nothing.
		if objective > 0 && spare > 0 {
			queue = min(queue, spare.Seconds()/s.ServiceTime.Seconds())
		}
	}
	if position == 0 && r.run(s)+s.wait() <= r.ObjectiveLeft {
		queue = max(queue, minUrgentQueue)
	}
	tight := 1 + math.Pow(rankShare, ahead)*queue - reservedStep*ahead
	return float64(s.Slots) * (maxRequestsPerSlot + (tight-maxRequestsPerSlot)*s.pressure())
}

// ahead returns the number of ranks that are more urgent than the one at a position. One
// that sends few requests counts in part.
func (r Request) ahead(position int) float64 {
	ahead := 0.0
	for i := range position {
		if i >= len(r.Demand) {
			ahead++
			continue
		}
		ahead += min(1, r.Demand[i]/fullDemand)
	}
	return ahead
}

// isCostly reports whether the work on the request takes the place of that on
// several others: its object is cold at the server, and the others nearby are full
// too. It is borne for the most urgent requests that end in time.
func (p *Policy) isCostly(r Request, s Server) bool {
	if !r.Overflow || s.NearbyPerSlot < maxNearby {
		return false
	}
	return p.Position(r.Rank) > 0 || r.run(s)+s.wait() > r.ObjectiveLeft
}

// pressure returns how far the server is from having room for all, from 0 to 1.
func (s Server) pressure() float64 {
	return min(1, max(0, (s.Sustained/float64(s.Slots)-easyLoad)/(1-easyLoad)))
}

// refuse returns a refusal with the time to return at: when the server is expected
// to have worked off the excess, if the request can be in time then. Otherwise the
// returns are spread over the time that clients wait, the most urgent first.
func (p *Policy) refuse(reason Reason, r Request, s Server, excess time.Duration, jitter float64) Decision {
	excess = max(minRetryAfter, excess)
	d := Decision{Action: Refuse, Reason: reason, RetryAfter: excess}
	if spare := r.ObjectiveLeft - r.run(s) - s.wait(); spare > 0 && reason != ReasonTooLate {
		d.RetryAfter += time.Duration(jitter * float64(min(spare, excess)))
		return d
	}
	latest := min(time.Duration(clientPatience*float64(r.ClientTimeLeft)), r.ClientTimeLeft-r.run(s))
	if latest <= excess {
		return d
	}
	slice := float64(latest-excess) / float64(p.Positions())
	d.RetryAfter += time.Duration((float64(p.Position(r.Rank)) + jitter) * slice)
	return d
}
