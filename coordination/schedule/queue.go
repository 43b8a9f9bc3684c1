// Package schedule decides in which order requests get a limited number of
// slots, such as those of one upstream.
//
// Queue makes the decisions: it has no clock and no goroutine, and every call
// takes the time. Scheduler waits for what a Queue decides.
//
// The most urgent rank goes first. Each service keeps its guaranteed minimum
// of the slots, measured in slot time, whatever the others ask for. Owners
// inside a rank share its slots evenly, and the requests of one owner and
// service are granted in the order in which they came. A request that cannot
// be answered by its deadline is refused at once.
package schedule

import (
	"errors"
	"math"
	"slices"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// Errors of a refused request. Neither kind has run.
var (
	// ErrTooLate says that a request cannot be answered by its deadline.
	ErrTooLate = errors.New("no slot before the deadline")
	// ErrQueueFull says that the queue is full of work worth at least as much.
	ErrQueueFull = errors.New("queue is full")
)

const (
	// leastGuaranteed is the fraction of the slots that a service keeps if
	// its class guarantees less.
	leastGuaranteed = 0.01
	// maxCredit bounds the slot time that a service below its minimum can
	// claim later, in slot seconds.
	maxCredit = 1.0
	// debtRuns bounds the slot time that is held against a service, in runs.
	debtRuns = 2
	// leastCost is the slot time that a grant is counted as at least.
	leastCost = time.Millisecond
	// allow for rounding of credits, in slot seconds.
	epsilon = 1e-9
)

// Class is a service and what its entry says of its work.
type Class struct {
	Service string
	Owner   string
	Rank    request.Rank
	// Guaranteed is the fraction of the slots that the service keeps.
	Guaranteed float64
	// Worth decides which work is dropped first when the queue is full.
	Worth float64
}

// Limits bound a queue.
type Limits struct {
	Slots int
	// MaxWaiting is the most requests that wait.
	MaxWaiting int
	// MaxRankShare is the largest fraction of the slots that one rank may use.
	// Zero is no limit.
	MaxRankShare float64
	// IgnoreServiceTime is set where the time of an answer says nothing of the next
	// one's. A request is then refused only when its deadline has passed.
	IgnoreServiceTime bool
}

// Ticket is one request in a queue.
type Ticket struct {
	deadline time.Time
	class    *class
	sequence uint64
	granted  time.Time
}

// Decision tells what became of a ticket: granted if Err is nil, else refused.
type Decision struct {
	Ticket *Ticket
	Err    error
}

// Queue decides who gets the slots. It is not safe for concurrent use.
type Queue struct {
	limits Limits
	// reserved is the number of slots in use by others.
	reserved int
	inUse    int
	byRank   [request.RankCount]int
	waiting  int
	classes  []*class
	owners   []*owner
	virtual  [request.RankCount]time.Duration
	sequence uint64
	last     time.Time
}

// class is the state of one service.
type class struct {
	Class
	owner   *owner
	waiting []*Ticket
	inUse   int
	service mean
	// credit is the slot time by which the service is below its minimum, in
	// slot seconds.
	credit float64
}

// owner is the state of one owner inside one rank.
type owner struct {
	name string
	rank request.Rank
	// finish is the virtual time at which the owner has used what it was
	// granted.
	finish  time.Duration
	waiting int
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue { return &Queue{limits: limits} }

// Load returns the slots in use and the requests that wait.
func (q *Queue) Load() (inUse, waiting int) { return q.inUse, q.waiting }

// SetLimits changes the limits. Granted requests keep their slots.
func (q *Queue) SetLimits(limits Limits, now time.Time) []Decision {
	q.advance(now)
	q.limits = limits
	return q.fill(now)
}

// SetReserved sets the number of slots that others than this queue's tickets use.
func (q *Queue) SetReserved(slots int, now time.Time) []Decision {
	q.advance(now)
	q.reserved = slots
	return q.fill(now)
}

// Offer adds a request. The events tell what became of it, unless it waits,
// and of a waiting one that it displaced.
func (q *Queue) Offer(c Class, deadline, now time.Time) (*Ticket, []Decision) {
	q.advance(now)
	state := q.class(c)
	q.sequence++
	t := &Ticket{deadline: deadline, class: state, sequence: q.sequence}
	if !now.Add(q.estimate(state, now)).Before(deadline) {
		return t, []Decision{{t, ErrTooLate}}
	}
	q.push(t)
	events := q.fill(now)
	if q.waiting > q.limits.MaxWaiting {
		victim := q.victim()
		q.remove(victim)
		events = append(events, Decision{victim, ErrQueueFull})
	}
	return t, events
}

// Release gives a granted ticket's slot back.
func (q *Queue) Release(t *Ticket, now time.Time) []Decision {
	q.advance(now)
	if !q.limits.IgnoreServiceTime {
		t.class.service.add(now.Sub(t.granted), now)
	}
	q.inUse--
	t.class.inUse--
	q.byRank[t.class.Rank]--
	return q.fill(now)
}

// Cancel takes a waiting ticket out.
func (q *Queue) Cancel(t *Ticket, now time.Time) []Decision {
	q.advance(now)
	q.remove(t)
	return q.fill(now)
}

// RefuseAll ends all waiting tickets with an error.
func (q *Queue) RefuseAll(err error) []Decision {
	var events []Decision
	for _, c := range q.classes {
		for len(c.waiting) > 0 {
			t := c.waiting[0]
			q.remove(t)
			events = append(events, Decision{t, err})
		}
	}
	return events
}

// fill grants free slots.
func (q *Queue) fill(now time.Time) []Decision {
	var events []Decision
	for q.inUse+q.reserved < q.limits.Slots {
		t := q.next()
		if t == nil {
			break
		}
		q.remove(t)
		if !now.Add(t.class.service.value(now)).Before(t.deadline) {
			events = append(events, Decision{t, ErrTooLate})
			continue
		}
		q.grant(t, now)
		events = append(events, Decision{t, nil})
	}
	return events
}

func (q *Queue) grant(t *Ticket, now time.Time) {
	c := t.class
	t.granted = now
	q.inUse++
	c.inUse++
	q.byRank[c.Rank]++
	start := max(c.owner.finish, q.virtual[c.Rank])
	q.virtual[c.Rank] = start
	c.owner.finish = start + max(leastCost, c.service.value(now))
}

// next returns the ticket that gets the next free slot, or nil.
func (q *Queue) next() *Ticket {
	if c := q.due(); c != nil {
		return c.waiting[0]
	}
	for rank := range request.RankCount {
		if q.capped(rank) {
			continue
		}
		if o := q.nextOwner(rank); o != nil {
			return q.oldest(o)
		}
	}
	return nil
}

func (q *Queue) capped(rank request.Rank) bool {
	if q.limits.MaxRankShare == 0 {
		return false
	}
	most := max(1, int(q.limits.MaxRankShare*float64(q.limits.Slots)))
	return q.byRank[rank] >= most
}

// due returns the waiting service that is furthest below its minimum.
func (q *Queue) due() *class {
	var best *class
	for _, c := range q.classes {
		if len(c.waiting) == 0 || float64(c.inUse) >= math.Ceil(q.minimum(c)) || c.credit < -epsilon {
			continue
		}
		if best == nil || c.credit > best.credit {
			best = c
		}
	}
	return best
}

// nextOwner returns the waiting owner of a rank that has used least.
func (q *Queue) nextOwner(rank request.Rank) *owner {
	var best *owner
	var bestStart time.Duration
	for _, o := range q.owners {
		if o.rank != rank || o.waiting == 0 {
			continue
		}
		start := max(o.finish, q.virtual[rank])
		if best == nil || start < bestStart {
			best, bestStart = o, start
		}
	}
	return best
}

func (q *Queue) oldest(o *owner) *Ticket {
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

// victim returns the waiting ticket to drop: the newest one of the service
// with the least worth, then the less urgent rank, then the longer queue of
// its owner. A service keeps its guaranteed part of the queue.
func (q *Queue) victim() *Ticket {
	var worst *class
	for _, c := range q.classes {
		kept := int(math.Ceil(q.guaranteed(c) * float64(q.limits.MaxWaiting)))
		if len(c.waiting) <= kept {
			continue
		}
		if worst == nil || c.before(worst) {
			worst = c
		}
	}
	if worst == nil {
		worst = q.longest()
	}
	return worst.waiting[len(worst.waiting)-1]
}

// before reports whether the service's work is dropped before another's.
func (c *class) before(o *class) bool {
	if c.Worth != o.Worth {
		return c.Worth < o.Worth
	}
	if c.Rank != o.Rank {
		return c.Rank > o.Rank
	}
	return c.owner.waiting > o.owner.waiting
}

func (q *Queue) longest() *class {
	best := q.classes[0]
	for _, c := range q.classes {
		if len(c.waiting) > len(best.waiting) {
			best = c
		}
	}
	return best
}

func (q *Queue) push(t *Ticket) {
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
		t.class.waiting = without(list, i)
		t.class.owner.waiting--
		q.waiting--
		return
	}
}

// without returns a list with one ticket taken out. Taking the first is cheap.
func without(list []*Ticket, i int) []*Ticket {
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
