// Package poison decides whether a request may still run after backend
// servers crashed while they ran it.
//
// A crash is charged to every request that the server was running, named by
// the digest of its service and content, since one of them may be its cause.
// A request charged once is suspect: copies of it run one at a time in the
// whole fleet. A request charged twice is blocked. A request that is answered
// is cleared of its charges, since it runs without a crash, so that common
// work that happened to share a server with the cause is soon free again.
// Charges expire.
package poison

import (
	"sync"
	"time"
)

const (
	// BlockThreshold is the number of crashes after which a request is blocked.
	BlockThreshold = 2
	// CrashTTL is how long a crash is held against a request.
	CrashTTL = 10 * time.Minute
	// maxDigests bounds the requests that are tracked.
	maxDigests = 10_000
)

// Digest names a request by its service and content.
type Digest [32]byte

// Verdict says whether a request may run.
type Verdict int

// The verdicts.
const (
	// Allowed lets a request run.
	Allowed Verdict = iota
	// Suspect lets one copy of a request run at a time.
	Suspect
	// Blocked lets no copy run.
	Blocked
)

// Crash is one crash charged to one request.
type Crash struct {
	Digest Digest
	// ID tells this crash from others of the same request.
	ID      string
	Expires time.Time
}

// Tracker holds the crashes known to a daemon. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	charges map[Digest]map[string]charge
}

// charge is one crash. A cleared one is kept until it expires, so that a late
// copy of the crash does not bring it back.
type charge struct {
	expires time.Time
	cleared bool
}

// NewTracker returns a tracker that knows no crash.
func NewTracker() *Tracker { return &Tracker{charges: map[Digest]map[string]charge{}} }

// Empty reports whether no crash is known, so that no digest is needed.
func (t *Tracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.charges) == 0
}

// RecordCrash takes a crash over and reports whether it was new. A crash that is
// known already changes nothing.
func (t *Tracker) RecordCrash(c Crash, now time.Time) bool {
	return t.put(c, now, false)
}

// ClearCrash takes over that a crash is held against its request no longer.
func (t *Tracker) ClearCrash(c Crash, now time.Time) {
	t.put(c, now, true)
}

// put reports whether it changed anything.
func (t *Tracker) put(c Crash, now time.Time, cleared bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(now)
	if !now.Before(c.Expires) {
		return false
	}
	held := t.charges[c.Digest]
	if held == nil {
		if len(t.charges) >= maxDigests {
			return false
		}
		held = map[string]charge{}
		t.charges[c.Digest] = held
	}
	if known, ok := held[c.ID]; ok && (known.cleared || !cleared) {
		return false
	}
	held[c.ID] = charge{expires: c.Expires, cleared: cleared}
	return true
}

// Verdict returns whether a request may run.
func (t *Tracker) Verdict(d Digest, now time.Time) Verdict {
	open := len(t.ActiveCrashes(d, now))
	switch {
	case open >= BlockThreshold:
		return Blocked
	case open > 0:
		return Suspect
	}
	return Allowed
}

// ActiveCrashes returns the crashes that are held against a request.
func (t *Tracker) ActiveCrashes(d Digest, now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []Crash
	for id, c := range t.charges[d] {
		if !c.cleared && now.Before(c.expires) {
			open = append(open, Crash{Digest: d, ID: id, Expires: c.expires})
		}
	}
	return open
}

// purge forgets what has expired.
func (t *Tracker) purge(now time.Time) {
	for d, held := range t.charges {
		for id, c := range held {
			if !now.Before(c.expires) {
				delete(held, id)
			}
		}
		if len(held) == 0 {
			delete(t.charges, d)
		}
	}
}
