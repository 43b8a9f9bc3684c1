package schedule

import (
	"context"
	"sync"
	"time"
)

// Scheduler makes requests wait for the decisions of a Queue. It is safe for
// concurrent use.
type Scheduler struct {
	mu      sync.Mutex
	queue   *Queue
	pending map[*Ticket]chan error
}

// New returns a scheduler with the given limits.
func New(limits Limits) *Scheduler {
	return &Scheduler{queue: NewQueue(limits), pending: map[*Ticket]chan error{}}
}

// Acquire waits for a slot until the request is granted or refused, or ctx
// ends. A waiting request whose deadline has passed is refused only when a
// slot becomes free, so ctx should end at the deadline. If the error is nil,
// the caller must call release once. Other errors are ErrTooLate,
// ErrQueueFull, the cause of the end of ctx, or the error given to RefuseAll.
func (s *Scheduler) Acquire(ctx context.Context, class Class, deadline time.Time) (release func(), err error) {
	ticket, outcome := s.offer(class, deadline)
	select {
	case err = <-outcome:
	case <-ctx.Done():
		err = s.cancel(ctx, ticket, outcome)
	}
	if err != nil {
		return nil, err
	}
	return func() { s.release(ticket) }, nil
}

// SetLimits changes the limits. Requests that hold a slot keep it.
func (s *Scheduler) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.queue.SetLimits(limits, time.Now()))
}

// SetReserved sets the number of slots that are in use outside this scheduler.
func (s *Scheduler) SetReserved(slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.queue.SetReserved(slots, time.Now()))
}

// RefuseAll refuses all waiting requests with the given error.
func (s *Scheduler) RefuseAll(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.queue.RefuseAll(err))
}

// Load returns the number of slots in use and the number of waiting requests.
func (s *Scheduler) Load() (inUse, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load()
}

func (s *Scheduler) offer(class Class, deadline time.Time) (*Ticket, chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := make(chan error, 1)
	ticket, decisions := s.queue.Offer(class, deadline, time.Now())
	s.pending[ticket] = outcome
	s.notify(decisions)
	return ticket, outcome
}

func (s *Scheduler) release(t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.queue.Release(t, time.Now()))
}

// cancel removes a request whose caller stopped waiting. If its slot was
// granted in the meantime, the slot is released.
func (s *Scheduler) cancel(ctx context.Context, t *Ticket, outcome chan error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waiting := s.pending[t]; waiting {
		delete(s.pending, t)
		s.notify(s.queue.Cancel(t, time.Now()))
		return context.Cause(ctx)
	}
	err := <-outcome
	if err == nil {
		s.notify(s.queue.Release(t, time.Now()))
		err = context.Cause(ctx)
	}
	return err
}

// notify passes decisions to the callers that wait for them.
func (s *Scheduler) notify(decisions []Decision) {
	for _, d := range decisions {
		outcome, waiting := s.pending[d.Ticket]
		if !waiting {
			continue
		}
		delete(s.pending, d.Ticket)
		outcome <- d.Err
	}
}
