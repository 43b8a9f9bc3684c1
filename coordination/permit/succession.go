package permit

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// maxSuccessions bounds the planned stops that one key may live through.
const maxSuccessions = 64

// Errors of Successions.
var (
	// ErrSuccessorChainTooLong says that a key was handed over too often.
	ErrSuccessorChainTooLong = errors.New("key was handed over too often")
	// ErrSuccessorConflict says that an incarnation was given two successors.
	ErrSuccessorConflict = errors.New("incarnation has another successor")
)

// Successors records which incarnation took the keys of another over. It is
// safe for concurrent use.
type Successors struct {
	mu   sync.Mutex
	next map[string]succession
}

type succession struct {
	to      string
	expires time.Time
}

// NewSuccessors returns successions with no entry.
func NewSuccessors() *Successors { return &Successors{next: map[string]succession{}} }

// Record adds that an incarnation was succeeded by another, until the last
// of its keys has expired.
func (s *Successors) Record(from, to string, expires, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old, held := range s.next {
		if held.expires.Before(now.Add(-ExpiryMargin)) {
			delete(s.next, old)
		}
	}
	if held, ok := s.next[from]; ok && held.to != to {
		return fmt.Errorf("%s: %s, not %s: %w", from, held.to, to, ErrSuccessorConflict)
	}
	s.next[from] = succession{to: to, expires: expires}
	return nil
}

// Resolve returns the incarnation that now decides the keys of an owner.
func (s *Successors) Resolve(owner string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxSuccessions {
		held, ok := s.next[owner]
		if !ok {
			return owner, nil
		}
		owner = held.to
	}
	return "", fmt.Errorf("%s: %w", owner, ErrSuccessorChainTooLong)
}
