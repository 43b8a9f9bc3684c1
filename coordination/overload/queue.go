package overload

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Waiter is a request that waits at the daemon for room at a server.
type Waiter struct {
	// Server is the ID of the server.
	Server string
	Rank   int
	// Returning is set if the request was refused before.
	Returning bool
	// Work is the time that a server is expected to work on the request.
	Work time.Duration
	// LatestStart is when the request must be sent to meet its objective.
	LatestStart time.Time
	// Ready receives a value when the request should be decided about again.
	Ready chan struct{}

	displaced atomic.Bool
}

// compare orders waiters by what callers lose by them: by rank, then returning
// requests, then those that cost less, then those that were to be sent first.
func (w *Waiter) compare(o *Waiter) int {
	return cmp.Or(cmp.Compare(w.Rank, o.Rank), compareBool(o.Returning, w.Returning), cmp.Compare(w.Work, o.Work), w.LatestStart.Compare(o.LatestStart))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Queue holds the requests that wait at a daemon, bounded in number. It is not
// safe for concurrent use.
type Queue struct {
	// Capacity is the largest number of waiters.
	Capacity int
	// waiters are ordered by compare.
	waiters []*Waiter
}

// Add adds a waiter. If the queue is full, the waiter that callers lose least by
// is displaced, or the new one rejected. Add returns the displaced waiter, which
// is w itself if it was rejected, or nil.
func (q *Queue) Add(w *Waiter) *Waiter {
	at, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *Waiter) int { return cmp.Or(a.compare(b), -1) })
	if len(q.waiters) < q.Capacity {
		q.waiters = slices.Insert(q.waiters, at, w)
		return nil
	}
	if at == len(q.waiters) {
		return w
	}
	last := q.waiters[len(q.waiters)-1]
	q.waiters = slices.Insert(q.waiters[:len(q.waiters)-1], at, w)
	return last
}

// Remove removes a waiter, if it is still there.
func (q *Queue) Remove(w *Waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// First returns the waiter that is next for a server, or nil.
func (q *Queue) First(server string) *Waiter {
	for _, w := range q.waiters {
		if w.Server == server {
			return w
		}
	}
	return nil
}

// Overtakes reports whether sending w to its server would overtake a waiter that
// callers lose at least as much by. w itself may be waiting.
func (q *Queue) Overtakes(w *Waiter) bool {
	first := q.First(w.Server)
	return first != nil && first != w && first.compare(w) <= 0
}

// Wake asks for a new decision about the first waiter of a server.
func (q *Queue) Wake(server string) {
	if w := q.First(server); w != nil {
		w.Wake()
	}
}

// WakeAll asks for a new decision about all waiters of a server.
func (q *Queue) WakeAll(server string) {
	for _, w := range q.waiters {
		if w.Server == server {
			w.Wake()
		}
	}
}

// Wake asks for a new decision about the waiter.
func (w *Waiter) Wake() {
	select {
	case w.Ready <- struct{}{}:
	default:
	}
}

// Lengths returns the number of waiters by rank. Ranks from len-1 on count
// together.
func (q *Queue) Lengths(ranks int) []int {
	lengths := make([]int, ranks)
	for _, w := range q.waiters {
		lengths[min(max(0, w.Rank), ranks-1)]++
	}
	return lengths
}

// Displace tells a waiter that it was displaced. The waiter may be nil.
func (w *Waiter) Displace() {
	if w == nil {
		return
	}
	w.displaced.Store(true)
	w.Wake()
}

// Displaced reports whether the waiter lost its place.
func (w *Waiter) Displaced() bool { return w.displaced.Load() }
