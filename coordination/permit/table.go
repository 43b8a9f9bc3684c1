package permit

import (
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

// Errors of Table.Begin.
var (
	// ErrExpired says that a key is past its expiry.
	ErrExpired = errors.New("key has expired")
	// ErrReused says that a key came with another request than before.
	ErrReused = errors.New("key was used for another request")
	// ErrFull says that the table holds as many keys as it may.
	ErrFull = errors.New("too many keys are held")
	// ErrFrozen says that the table was handed over and runs nothing more.
	ErrFrozen = errors.New("keys were handed over")
)

// Table records the keys that one incarnation has run. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	max     int
	entries map[string]*Run
}

// Run is one key's single run.
type Run struct {
	digest  [sha256.Size]byte
	expires time.Time
	done    chan struct{}
	answer  request.Answer
}

// NewTable returns a table that holds at most max keys.
func NewTable(max int) *Table {
	return &Table{max: max, entries: map[string]*Run{}}
}

// Begin records a key. It returns true for the first request with the key,
// which must end with Finish, and the earlier run for a repeated one.
func (t *Table) Begin(key Key, req *request.Request, now time.Time) (*Run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if key.Expired(now) {
		return nil, false, ErrExpired
	}
	digest := Digest(req)
	if run, ok := t.entries[key.nonce]; ok {
		if run.digest != digest {
			return nil, false, ErrReused
		}
		return run, false, nil
	}
	if len(t.entries) >= t.max {
		t.purge(now)
	}
	if len(t.entries) >= t.max {
		return nil, false, ErrFull
	}
	run := &Run{digest: digest, expires: key.Expires, done: make(chan struct{})}
	t.entries[key.nonce] = run
	return run, true, nil
}

// Finish records the end of a run. A run that is proved not to have happened
// is forgotten, so that the key may be used again.
func (t *Table) Finish(key Key, run *Run, answer request.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.answer = answer
	if answer.Outcome == request.NotRun {
		delete(t.entries, key.nonce)
	}
	close(run.done)
}

// Done is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Answer returns the run's answer. It is valid once Done is closed.
func (r *Run) Answer() request.Answer { return r.answer }

func (t *Table) purge(now time.Time) {
	for nonce, run := range t.entries {
		if !now.Before(run.expires) {
			delete(t.entries, nonce)
		}
	}
}

// Digest returns what binds a key to a request: its service and content.
func Digest(req *request.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{req.Service, req.Method, req.Path} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(req.Body)
	return [sha256.Size]byte(h.Sum(nil))
}
