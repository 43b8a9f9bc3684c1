package feed

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// probePause is the time between calls to a store that does not answer,
	// of a daemon that has no relay.
	probePause = 250 * time.Millisecond
	// relayedProbePause is the same for a daemon that has relays: they are
	// likely to see the store's return first.
	relayedProbePause = 2 * time.Second
)

// probe lets one call at a time through to a store that does not answer, for
// all kinds together. Each call costs, and all fail alike.
type probe struct {
	mu   sync.Mutex
	down bool
	next time.Time
}

// allow reports whether a call may be made now. pause is the time until the
// next one while the store is down.
func (p *probe) allow(now time.Time, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.down {
		return true
	}
	if now.Before(p.next) {
		return false
	}
	p.next = now.Add(jittered(pause))
	return true
}

// record takes whether a call was answered.
func (p *probe) record(up bool, now time.Time, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !up && !p.down {
		p.next = now.Add(jittered(pause))
	}
	p.down = !up
}

// jittered spreads a pause evenly around itself by half.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}
