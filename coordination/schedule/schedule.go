// Package schedule decides in which order requests get the slots of one
// upstream.
package schedule

import (
	"context"
	"sync"

	"bilberrytiller.example/tiller/state/request"
)

// Scheduler hands out the slots of one upstream. It is safe for concurrent
// use.
type Scheduler struct {
	mu    sync.Mutex
	slots int
	inUse int
	queue [request.RankCount][]*waiter
}

type waiter struct {
	ready chan struct{}
	gone  bool
}

// New returns a scheduler for an upstream with the given slots.
func New(slots int) *Scheduler { return &Scheduler{slots: slots} }

// SetSlots changes the number of slots. Requests that hold one keep it.
func (s *Scheduler) SetSlots(slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = slots
	s.grant()
}

// Acquire waits for a slot until ctx ends. After a nil error the caller must
// call Release once.
func (s *Scheduler) Acquire(ctx context.Context, rank request.Rank) error {
	s.mu.Lock()
	w := &waiter{ready: make(chan struct{})}
	s.queue[rank] = append(s.queue[rank], w)
	s.grant()
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.abandon(ctx, w)
	}
}

// Release gives a slot back.
func (s *Scheduler) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
	s.grant()
}

// Load returns the slots in use and the requests that wait.
func (s *Scheduler) Load() (inUse, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queue {
		waiting += len(q)
	}
	return s.inUse, waiting
}

func (s *Scheduler) abandon(ctx context.Context, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.ready:
		s.inUse--
		s.grant()
	default:
		w.gone = true
	}
	return context.Cause(ctx)
}

func (s *Scheduler) grant() {
	for rank := range s.queue {
		for s.inUse < s.slots && len(s.queue[rank]) > 0 {
			w := s.queue[rank][0]
			s.queue[rank] = s.queue[rank][1:]
			if w.gone {
				continue
			}
			s.inUse++
			close(w.ready)
		}
	}
}
