package permit

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// maxSuccessors is the maximum number of successive handovers that are followed
// for one key. Each planned stop of an owner causes one.
const maxSuccessors = 64

// Errors returned by Successors.
var (
	// ErrSuccessorChainTooLong means that a key was handed over maxSuccessors
	// times or more.
	ErrSuccessorChainTooLong = errors.New("key was handed over too many times")
	// ErrSuccessorConflict means that an incarnation is recorded with a
	// different successor.
	ErrSuccessorConflict = errors.New("incarnation already has another successor")
)

// Successors records which incarnation took over the keys of another. It is
// safe for concurrent use.
type Successors struct {
	mu   sync.Mutex
	next map[string]successor
}

type successor struct {
	to      string
	expires time.Time
}

// NewSuccessors returns an empty set of successors.
func NewSuccessors() *Successors { return &Successors{next: map[string]successor{}} }

// Record stores the successor of an incarnation whose last key expires at the
// given time. The record is kept for ExpiryMargin after that.
func (s *Successors) Record(from, to string, expires, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for old, known := range s.next {
		if known.expires.Before(now.Add(-ExpiryMargin)) {
			delete(s.next, old)
		}
	}
	if known, ok := s.next[from]; ok && known.to != to {
		return fmt.Errorf("%s is succeeded by %s, not %s: %w", from, known.to, to, ErrSuccessorConflict)
	}
	s.next[from] = successor{to: to, expires: expires}
	return nil
}

// Resolve returns the incarnation that now owns the keys issued for owner.
func (s *Successors) Resolve(owner string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxSuccessors {
		known, ok := s.next[owner]
		if !ok {
			return owner, nil
		}
		owner = known.to
	}
	return "", fmt.Errorf("%s: %w", owner, ErrSuccessorChainTooLong)
}
