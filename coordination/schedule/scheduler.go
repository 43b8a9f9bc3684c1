package schedule

import (
	"context"
	"sync"
	"time"
)

// Scheduler waits for what a Queue decides. It is safe for concurrent use.
type Scheduler struct {
	mu    sync.Mutex
	queue *Queue
	open  map[*Ticket]chan error
}

// New returns a scheduler with the given limits.
func New(limits Limits) *Scheduler {
	return &Scheduler{queue: NewQueue(limits), open: map[*Ticket]chan error{}}
}

// Acquire waits for a slot until the deadline or the end of ctx. After a nil
// error the caller must call release once. Other errors are ErrTooLate,
// ErrFull, the cause of the end of ctx, or what Refuse was given.
func (s *Scheduler) Acquire(ctx context.Context, class Class, deadline time.Time) (release func(), err error) {
	ticket, outcome := s.offer(class, deadline)
	select {
	case err = <-outcome:
	case <-ctx.Done():
		err = s.withdraw(ctx, ticket, outcome)
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
	s.tell(s.queue.SetLimits(limits, time.Now()))
}

// SetReserved sets the number of slots that others use.
func (s *Scheduler) SetReserved(slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.queue.SetReserved(slots, time.Now()))
}

// RefuseAll ends all waiting requests with an error.
func (s *Scheduler) RefuseAll(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.queue.RefuseAll(err))
}

// Load returns the slots in use and the requests that wait.
func (s *Scheduler) Load() (inUse, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load()
}

func (s *Scheduler) offer(class Class, deadline time.Time) (*Ticket, chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := make(chan error, 1)
	ticket, events := s.queue.Offer(class, deadline, time.Now())
	s.open[ticket] = outcome
	s.tell(events)
	return ticket, outcome
}

func (s *Scheduler) release(t *Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.queue.Release(t, time.Now()))
}

// withdraw takes a request out whose caller stopped waiting. A slot that was
// granted at the same moment is given back.
func (s *Scheduler) withdraw(ctx context.Context, t *Ticket, outcome chan error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.open[t]; waits {
		delete(s.open, t)
		s.tell(s.queue.Cancel(t, time.Now()))
		return context.Cause(ctx)
	}
	err := <-outcome
	if err == nil {
		s.tell(s.queue.Release(t, time.Now()))
		err = context.Cause(ctx)
	}
	return err
}

// tell hands events to those who wait for them.
func (s *Scheduler) tell(events []Decision) {
	for _, e := range events {
		outcome, waits := s.open[e.Ticket]
		if !waits {
			continue
		}
		delete(s.open, e.Ticket)
		outcome <- e.Err
	}
}
