package feed

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// rootProbeInterval is the time between calls to a store that does not
	// answer, by a daemon that has no relay.
	rootProbeInterval = 250 * time.Millisecond
	// relayedProbeInterval is the same for a daemon that has relays, which are
	// likely to notice the recovery of the store first. With its jitter it is
	// shorter than the time after which a daemon that reaches the store again must
	// be up to date.
	relayedProbeInterval = 1500 * time.Millisecond
)

// circuitBreaker limits the calls to a store that does not answer to one probe
// per interval, shared by all kinds: every call has a cost, and the calls for
// all kinds fail alike.
type circuitBreaker struct {
	mu        sync.Mutex
	open      bool
	openedBy  string
	nextProbe time.Time
}

// allow reports whether a call may be made now. interval is the time between
// probes while the circuit is open.
func (b *circuitBreaker) allow(now time.Time, interval time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(jitter(interval))
	return true
}

// record records whether a call for a kind was answered.
func (b *circuitBreaker) record(kind string, available bool, now time.Time, interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !available && !b.open {
		// The failed call may have begun long ago, so the first probe follows sooner.
		b.nextProbe = now.Add(jitter(interval / 2))
		b.openedBy = kind
	}
	b.open = !available
}

// state returns the kind whose failed call opened the circuit and the time until
// the next probe, for logs.
func (b *circuitBreaker) state(now time.Time) (openedBy string, untilProbe time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openedBy, b.nextProbe.Sub(now)
}

// jitter returns a uniformly random duration between half and one and a half
// times interval.
func jitter(interval time.Duration) time.Duration {
	return interval/2 + rand.N(interval)
}
