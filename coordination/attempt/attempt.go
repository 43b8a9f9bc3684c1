// Package attempt decides which dispatches at the holder of an upstream are
// copies of one attempt.
//
// The owner of a key that loses its connection to the holder in the middle of
// an attempt sends it again to the same incarnation. The holder runs the
// attempt once, whichever copy comes first, and gives all copies one answer.
// An attempt that did not run stays known, so that a copy that comes late
// does not run it after all. A copy that comes later still, held back by the
// network or by a paused sender, is told by its age.
package attempt

import (
	"context"
	"errors"
	"sync"
	"time"

	"bilberrytiller.example/tiller/state/request"
)

const (
	// MaxAge is the age beyond which a copy starts no run. The attempt may have
	// run and been forgotten, or its sender may long have given it up.
	MaxAge = time.Minute
	// Retention is how long an attempt is known after its start. Beyond MaxAge
	// it covers the drift between the clocks of two daemons.
	Retention = 2 * time.Minute
	// answerRetention is how long an answer is kept after the attempt's end.
	answerRetention = 30 * time.Second
	// maxLead is how far a copy may seem to come from the future.
	maxLead = 10 * time.Second
	// maxAttempts bounds the attempts that are known at once.
	maxAttempts = 100_000
)

// Errors of Table.Begin.
var (
	// ErrFull says that no more attempts can be known.
	ErrFull = errors.New("too many attempts are known")
	// ErrStale says that a copy is too old to tell whether the attempt ran.
	ErrStale = errors.New("copy of an attempt is too old")
)

// Table records the attempts at one holder. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	runs map[string]*Run
	// started and ended list runs in the order of their start and end.
	started, ended []*Run
}

// Run is the single run of an attempt.
type Run struct {
	id      string
	start   time.Time
	end     time.Time
	done    chan struct{}
	answer  request.Answer
	dropped bool
	// copies counts the calls that wait for the run.
	copies int
	ctx    context.Context
	cancel context.CancelFunc
}

// NewTable returns a table that knows no attempt.
func NewTable() *Table { return &Table{runs: map[string]*Run{}} }

// Begin returns true for the first copy of an attempt, whose run must end
// with Finish, and the run of the first copy for others. The age is the time
// since the first copy was sent, by this holder's clock.
func (t *Table) Begin(id string, age time.Duration, now time.Time) (*Run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.purge(now)
	if run, ok := t.runs[id]; ok {
		run.copies++
		return run, false, nil
	}
	if age > MaxAge || age < -maxLead {
		return nil, false, ErrStale
	}
	if len(t.runs) >= maxAttempts {
		return nil, false, ErrFull
	}
	run := &Run{id: id, start: now, done: make(chan struct{}), copies: 1}
	run.ctx, run.cancel = context.WithCancel(context.Background())
	t.runs[id] = run
	t.started = append(t.started, run)
	return run, true, nil
}

// Finish records the end of a run.
func (t *Table) Finish(run *Run, answer request.Answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.answer, run.end = answer, now
	t.ended = append(t.ended, run)
	close(run.done)
	run.cancel()
}

// StopWaiting says that a call no longer waits for a run.
func (t *Table) StopWaiting(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.copies--
}

// HasWaiters reports whether any call waits for a run.
func (t *Table) HasWaiters(run *Run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return run.copies > 0
}

// Answer returns the answer of a run that is done. One that is no longer kept
// is unknown to the copy that asks for it.
func (t *Table) Answer(run *Run) request.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run.dropped {
		return request.UnknownAnswer(request.ReasonPeerLost, "answer is no longer kept")
	}
	return run.answer
}

// Context ends when the run is cancelled.
func (r *Run) Context() context.Context { return r.ctx }

// Cancel gives the run up if it has not started.
func (r *Run) Cancel() { r.cancel() }

// Done is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

func (t *Table) purge(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].end) > answerRetention {
		t.ended[0].answer, t.ended[0].dropped = request.Answer{}, true
		t.ended = t.ended[1:]
	}
	for len(t.started) > 0 && now.Sub(t.started[0].start) > Retention && t.started[0].dropped {
		delete(t.runs, t.started[0].id)
		t.started = t.started[1:]
	}
}
