// Package schedule decides the order in which requests get a limited number of
// slots, for example those of one upstream.
//
// Queue makes the decisions. It has no clock and no goroutine; its callers pass
// the time. Scheduler makes requests wait for the decisions of a Queue.
//
// The most urgent rank is served first. Each service keeps its guaranteed
// minimum of the slots, measured in slot time, whatever the demand of the
// others. Owners within a rank share its slots evenly. The requests of one
// owner and service are granted in order of arrival. A request that cannot be
// answered by its deadline is refused at once.
package schedule

import (
	"errors"
	"math"
	"slices"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// Errors of a refused request. In either case the request has not run.
var (
	// ErrTooLate means that the request cannot be answered by its deadline.
	ErrTooLate = errors.New("no slot available before the deadline")
	// ErrQueueFull means that the queue is full and that the other waiting
	// requests are worth at least as much or are guaranteed to their services.
	ErrQueueFull = errors.New("queue is full")
)

const (
	// minGuaranteed is the guaranteed fraction of the slots of a service whose
	// class guarantees less.
	minGuaranteed = 0.01
	// maxCredit is the most slot time that a service below its minimum can
	// claim later, in slot seconds.
	maxCredit = 1.0
	// maxDebtRuns limits the slot time that is held against a service, in runs
	// of mean duration.
	maxDebtRuns = 2
	// minCost is the least slot time that is charged for a grant.
	minCost = time.Millisecond
	// epsilon is the tolerance for rounding errors of credits, in slot
	// seconds.
	epsilon = 1e-9
)

// Class identifies a service and describes its work as its catalogue entry
// does.
type Class struct {
	Service string
	Owner   string
	Rank    request.Rank
	// Guaranteed is the fraction of the slots that is guaranteed to the
	// service.
	Guaranteed float64
	// Worth decides which work is dropped when the queue is full: that of the
	// least worth first.
	Worth float64
}

// Limits bounds a queue.
type Limits struct {
	Slots int
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// MaxRankShare is the largest fraction of the slots that one rank may use.
	// It does not hold back the guaranteed minimums of the rank's services.
	// Zero means no limit.
	MaxRankShare float64
	// IgnoreServiceTime is set where the service time of one request does not
	// predict that of the next one. A request is then refused only when its
	// deadline has passed.
	IgnoreServiceTime bool
}

// Ticket is one request in a queue.
type Ticket struct {
	deadline time.Time
	class    *class
	sequence uint64
	granted  time.Time
}

// Decision is the outcome of a ticket: granted if Err is nil, otherwise
// refused.
type Decision struct {
	Ticket *Ticket
	Err    error
}

// Queue decides which requests get the slots. It is not safe for concurrent
// use.
type Queue struct {
	limits Limits
	// reserved is the number of slots that are in use outside this queue.
	reserved int
	inUse    int
	// byRank is the number of slots in use by each rank.
	byRank  [request.RankCount]int
	waiting int
	classes []*class
	owners  []*owner
	// virtualTime is the virtual start time of the latest grant of each rank.
	virtualTime [request.RankCount]time.Duration
	sequence    uint64
	// advancedAt is when the credits were last updated.
	advancedAt time.Time
}

// class is the state of one service with one owner and rank.
type class struct {
	Class
	owner       *owner
	waiting     []*Ticket
	inUse       int
	serviceTime decayingMean
	// credit is the slot time by which the service is below its minimum, in
	// slot seconds.
	credit float64
}

// owner is the state of one owner within one rank.
type owner struct {
	name string
	rank request.Rank
	// finishTime is the virtual time at which the owner has used the slot time
	// that it was granted.
	finishTime time.Duration
	waiting    int
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue { return &Queue{limits: limits} }

// Load returns the number of slots in use and the number of waiting requests.
func (q *Queue) Load() (inUse, waiting int) { return q.inUse, q.waiting }

// SetLimits changes the limits. Granted requests keep their slots.
func (q *Queue) SetLimits(limits Limits, now time.Time) []Decision {
	q.advance(now)
	q.limits = limits
	return q.fill(now)
}

// SetReserved sets the number of slots that are in use outside this queue.
func (q *Queue) SetReserved(slots int, now time.Time) []Decision {
	q.advance(now)
	q.reserved = slots
	return q.fill(now)
}

// Offer adds a request. The decisions include one for this request, unless it
// waits, and one for a waiting request that it displaced.
func (q *Queue) Offer(c Class, deadline, now time.Time) (*Ticket, []Decision) {
	q.advance(now)
	state := q.class(c)
	q.sequence++
	t := &Ticket{deadline: deadline, class: state, sequence: q.sequence}
	if !now.Add(q.estimateLatency(state, now)).Before(deadline) {
		return t, []Decision{{t, ErrTooLate}}
	}
	q.enqueue(t)
	decisions := q.fill(now)
	if q.waiting > q.limits.MaxWaiting {
		dropped := q.dropCandidate()
		q.remove(dropped)
		decisions = append(decisions, Decision{dropped, ErrQueueFull})
	}
	return t, decisions
}

// Release frees the slot of a granted ticket.
func (q *Queue) Release(t *Ticket, now time.Time) []Decision {
	q.advance(now)
	if !q.limits.IgnoreServiceTime {
		t.class.serviceTime.add(now.Sub(t.granted), now)
	}
	q.inUse--
	t.class.inUse--
	q.byRank[t.class.Rank]--
	return q.fill(now)
}

// Cancel removes a waiting ticket.
func (q *Queue) Cancel(t *Ticket, now time.Time) []Decision {
	q.advance(now)
	q.remove(t)
	return q.fill(now)
}

// RefuseAll refuses all waiting tickets with the given error.
func (q *Queue) RefuseAll(err error) []Decision {
	var decisions []Decision
	for _, c := range q.classes {
		for len(c.waiting) > 0 {
			t := c.waiting[0]
			q.remove(t)
			decisions = append(decisions, Decision{t, err})
		}
	}
	return decisions
}

// fill grants the free slots. A ticket whose turn comes too late for its deadline
// is refused.
func (q *Queue) fill(now time.Time) []Decision {
	var decisions []Decision
	for q.inUse+q.reserved < q.limits.Slots {
		t := q.next()
		if t == nil {
			break
		}
		q.remove(t)
		if !now.Add(t.class.serviceTime.value(now)).Before(t.deadline) {
			decisions = append(decisions, Decision{t, ErrTooLate})
			continue
		}
		q.grant(t, now)
		decisions = append(decisions, Decision{t, nil})
	}
	return decisions
}

func (q *Queue) grant(t *Ticket, now time.Time) {
	c := t.class
	t.granted = now
	q.inUse++
	c.inUse++
	q.byRank[c.Rank]++
	start := max(c.owner.finishTime, q.virtualTime[c.Rank])
	q.virtualTime[c.Rank] = start
	c.owner.finishTime = start + max(minCost, c.serviceTime.value(now))
}

// next returns the ticket that gets the next free slot, or nil.
func (q *Queue) next() *Ticket {
	if c := q.mostUnderserved(); c != nil {
		return c.waiting[0]
	}
	for rank := range request.RankCount {
		if q.capped(rank) {
			continue
		}
		if o := q.nextOwner(rank); o != nil {
			return q.oldestTicket(o)
		}
	}
	return nil
}

// capped reports whether a rank uses its largest share of the slots.
func (q *Queue) capped(rank request.Rank) bool {
	if q.limits.MaxRankShare == 0 {
		return false
	}
	most := max(1, int(q.limits.MaxRankShare*float64(q.limits.Slots)))
	return q.byRank[rank] >= most
}

// mostUnderserved returns the waiting service that is furthest below its
// minimum, or nil.
func (q *Queue) mostUnderserved() *class {
	var best *class
	for _, c := range q.classes {
		if len(c.waiting) == 0 || float64(c.inUse) >= math.Ceil(q.minimumSlots(c)) || c.credit < -epsilon {
			continue
		}
		if best == nil || c.credit > best.credit {
			best = c
		}
	}
	return best
}

// nextOwner returns the waiting owner of a rank that has used the least slot
// time, or nil.
func (q *Queue) nextOwner(rank request.Rank) *owner {
	var best *owner
	var bestStart time.Duration
	for _, o := range q.owners {
		if o.rank != rank || o.waiting == 0 {
			continue
		}
		start := max(o.finishTime, q.virtualTime[rank])
		if best == nil || start < bestStart {
			best, bestStart = o, start
		}
	}
	return best
}

func (q *Queue) oldestTicket(o *owner) *Ticket {
	var best *Ticket
	for _, c := range q.classes {
		if c.owner != o || len(c.waiting) == 0 {
			continue
		}
		if t := c.waiting[0]; best == nil || t.sequence < best.sequence {
			best = t
		}
	}
	return best
}

// dropCandidate returns the waiting ticket to drop: the newest ticket of the
// service with the least worth, then of the less urgent rank, then of the
// owner with more waiting requests. A service keeps its guaranteed fraction of
// the queue. If no service has more than that, the newest ticket of the service
// with the most waiting requests is dropped.
func (q *Queue) dropCandidate() *Ticket {
	var worst *class
	for _, c := range q.classes {
		kept := int(math.Ceil(q.guaranteedShare(c) * float64(q.limits.MaxWaiting)))
		if len(c.waiting) <= kept {
			continue
		}
		if worst == nil || c.droppedBefore(worst) {
			worst = c
		}
	}
	if worst == nil {
		worst = q.longestQueue()
	}
	return worst.waiting[len(worst.waiting)-1]
}

// droppedBefore reports whether the work of c is dropped before that of o.
func (c *class) droppedBefore(o *class) bool {
	if c.Worth != o.Worth {
		return c.Worth < o.Worth
	}
	if c.Rank != o.Rank {
		return c.Rank > o.Rank
	}
	return c.owner.waiting > o.owner.waiting
}

func (q *Queue) longestQueue() *class {
	best := q.classes[0]
	for _, c := range q.classes {
		if len(c.waiting) > len(best.waiting) {
			best = c
		}
	}
	return best
}

func (q *Queue) enqueue(t *Ticket) {
	t.class.waiting = append(t.class.waiting, t)
	t.class.owner.waiting++
	q.waiting++
}

func (q *Queue) remove(t *Ticket) {
	list := t.class.waiting
	for i, w := range list {
		if w != t {
			continue
		}
		t.class.waiting = removeAt(list, i)
		t.class.owner.waiting--
		q.waiting--
		return
	}
}

// removeAt removes the ticket at index i. Removing the first ticket takes
// constant time.
func removeAt(list []*Ticket, i int) []*Ticket {
	if i == 0 {
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, i, i+1)
}

func (q *Queue) class(c Class) *class {
	for _, state := range q.classes {
		if state.Service == c.Service && state.Owner == c.Owner && state.Rank == c.Rank {
			state.Class = c
			return state
		}
	}
	state := &class{Class: c, owner: q.owner(c.Owner, c.Rank)}
	q.classes = append(q.classes, state)
	return state
}

func (q *Queue) owner(name string, rank request.Rank) *owner {
	for _, o := range q.owners {
		if o.name == name && o.rank == rank {
			return o
		}
	}
	o := &owner{name: name, rank: rank}
	q.owners = append(q.owners, o)
	return o
}
