// Package poison decides whether a request may still run after backend servers
// crashed while running it.
//
// A crash is attributed to every request that the server was running, since any
// of them may be the cause. Requests are identified by the digest of their
// service and content. A request with one crash is suspect: its copies run one
// at a time in the whole fleet. A request with two crashes is blocked. A
// request that is answered is cleared of its crashes, since it ran without one.
// Common requests that happened to share a server with the cause are therefore
// soon unrestricted again. Crashes expire.
//
// Where copies are not known to run one at a time, crashes in quick succession
// may have one cause that is not the request, such as the loss of a data centre.
// Admit counts them as one, and lets a blocked request run on trial now and then.
package poison

import (
	"sync"
	"time"
)

const (
	// BlockThreshold is the number of crashes from which a request is blocked.
	BlockThreshold = 2
	// CrashTTL is how long a crash counts against a request.
	CrashTTL = 10 * time.Minute
	// maxRequests bounds the number of tracked requests.
	maxRequests = 10_000
	// maxServers bounds the number of servers whose crashes are remembered.
	maxServers = 10_000
)

// Digest identifies a request by its service and content.
type Digest [32]byte

// Verdict says whether a request may run.
type Verdict int

// Verdicts, by increasing restriction.
const (
	// Allowed means that the request may run.
	Allowed Verdict = iota
	// Suspect means that one copy of the request may run at a time.
	Suspect
	// Blocked means that the request must not run.
	Blocked
)

// Crash is one crash attributed to one request.
type Crash struct {
	Digest Digest
	// ID distinguishes the crash from others of the same request.
	ID string
	// Began is when the server got the request, At when it closed the connection.
	Began, At time.Time
	Expires   time.Time
	// Cleared is set if the crash no longer counts, since the request was answered
	// later.
	Cleared bool
}

// Tracker records the crashes known to a daemon. It is safe for concurrent use.
type Tracker struct {
	// daemon decides when this daemon may run a blocked request on trial.
	daemon  string
	mu      sync.Mutex
	crashes map[Digest]map[string]crashState
	// trials is when the last trial run of a blocked request began.
	trials map[Digest]time.Time
	// servers is when each server crashed, whatever it was running.
	servers map[string]time.Time
}

// crashState is the state of one crash. A cleared crash is kept until it
// expires, so that a late copy of the crash report does not count again.
type crashState struct {
	began, at, expires time.Time
	cleared            bool
}

// NewTracker returns the tracker of a daemon, without crashes.
func NewTracker(daemon string) *Tracker {
	return &Tracker{
		daemon: daemon, crashes: map[Digest]map[string]crashState{}, trials: map[Digest]time.Time{}, servers: map[string]time.Time{},
	}
}

// Empty reports whether no crash is recorded, so that callers need not compute
// a digest. Cleared and expired crashes count until the next call of
// RecordCrash or ClearCrash removes the expired ones.
func (t *Tracker) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.crashes) == 0
}

// RecordCrash records a crash and reports whether it was new. It does nothing
// if the crash is known or expired, or if too many requests are tracked. A crash
// in the future, as another daemon's clock may have it, counts as one of now.
func (t *Tracker) RecordCrash(c Crash, now time.Time) bool {
	return t.record(c, now, false)
}

// ClearCrash records that a crash no longer counts against its request.
func (t *Tracker) ClearCrash(c Crash, now time.Time) {
	t.record(c, now, true)
}

// record records the state of a crash and reports whether anything changed.
func (t *Tracker) record(c Crash, now time.Time, cleared bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if !now.Before(c.Expires) {
		return false
	}
	crashes := t.crashes[c.Digest]
	if crashes == nil {
		if len(t.crashes) >= maxRequests {
			return false
		}
		crashes = map[string]crashState{}
		t.crashes[c.Digest] = crashes
	}
	if known, ok := crashes[c.ID]; ok && (known.cleared || !cleared) {
		return false
	}
	at := c.At
	if at.IsZero() || at.After(now) {
		at = now
	}
	expires := c.Expires
	if latest := now.Add(maxCrashTTL); expires.After(latest) {
		expires = latest
	}
	crashes[c.ID] = crashState{began: c.Began, at: at, expires: expires, cleared: cleared}
	if _, known := t.servers[c.ID]; !known && len(t.servers) < maxServers {
		t.servers[c.ID] = at
	}
	return true
}

// Verdict returns whether a request may run.
func (t *Tracker) Verdict(d Digest, now time.Time) Verdict {
	active := len(t.ActiveCrashes(d, now))
	switch {
	case active >= BlockThreshold:
		return Blocked
	case active > 0:
		return Suspect
	}
	return Allowed
}

// ActiveCrashes returns the crashes that count against a request.
func (t *Tracker) ActiveCrashes(d Digest, now time.Time) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active(d, now)
}

// active returns the crashes that count against a request. The caller holds t.mu.
func (t *Tracker) active(d Digest, now time.Time) []Crash {
	var active []Crash
	for id, c := range t.crashes[d] {
		if !c.cleared && now.Before(c.expires) {
			active = append(active, Crash{Digest: d, ID: id, Began: c.began, At: c.at, Expires: c.expires})
		}
	}
	return active
}

// removeExpired removes the expired crashes.
func (t *Tracker) removeExpired(now time.Time) {
	for server, at := range t.servers {
		if now.Sub(at) > maxCrashTTL {
			delete(t.servers, server)
		}
	}
	for d, crashes := range t.crashes {
		for id, c := range crashes {
			if !now.Before(c.expires) {
				delete(crashes, id)
			}
		}
		if len(crashes) == 0 {
			delete(t.crashes, d)
			delete(t.trials, d)
		}
	}
}
