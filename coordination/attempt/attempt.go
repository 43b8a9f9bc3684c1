// Package attempt decides which dispatches at the holder of an upstream are
// copies of the same attempt.
//
// The owner of a key that loses its connection to the holder during an attempt
// sends the attempt again to the same incarnation. The holder runs the attempt
// once, whichever copy arrives first, and gives all copies the same answer. An
// attempt that did not run is remembered too, so that a late copy does not run
// it after all. A copy that arrives even later, delayed by the network or by a
// paused sender, is recognised by its age.
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
	// run and been forgotten, or its sender may have given up long ago.
	MaxAge = time.Minute
	// Retention is how long an attempt is remembered after its start. It
	// exceeds MaxAge to allow for the drift between the clocks of two daemons.
	Retention = 2 * time.Minute
	// answerRetention is how long an answer is kept after the end of the
	// attempt.
	answerRetention = 30 * time.Second
	// maxClockLead is how far in the future a copy's send time may appear to
	// be.
	maxClockLead = 10 * time.Second
	// maxAttempts bounds the number of attempts that are remembered at once.
	maxAttempts = 100_000
)

// Errors returned by Table.Begin.
var (
	// ErrFull means that no more attempts can be remembered.
	ErrFull = errors.New("too many attempts are remembered")
	// ErrStale means that a copy is too old to tell whether the attempt ran,
	// or that it appears to come from too far in the future.
	ErrStale = errors.New("attempt is too old")
)

// Table records the attempts at one holder. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	runs map[string]*Run
	// byStart and byEnd list the runs in the order of their start and of their
	// end.
	byStart, byEnd []*Run
}

// Run is the single run of an attempt.
type Run struct {
	id            string
	start         time.Time
	end           time.Time
	done          chan struct{}
	answer        request.Answer
	answerDropped bool
	// waiters counts the calls that wait for the run.
	waiters int
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{runs: map[string]*Run{}} }

// Begin returns the run of an attempt. The result is true for the first copy,
// whose caller must end the run with Finish, and false for later copies, which
// share the run. age is the time since the first copy was sent, by this
// holder's clock.
func (t *Table) Begin(id string, age time.Duration, now time.Time) (*Run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if run, ok := t.runs[id]; ok {
		run.waiters++
		return run, false, nil
	}
	if age > MaxAge || age < -maxClockLead {
		return nil, false, ErrStale
	}
	if len(t.runs) >= maxAttempts {
		return nil, false, ErrFull
	}
	run := &Run{id: id, start: now, done: make(chan struct{}), waiters: 1}
	run.ctx, run.cancel = context.WithCancel(context.Background())
	t.runs[id] = run
	t.byStart = append(t.byStart, run)
	return run, true, nil
}

// Finish records the answer of a run and ends it.
func (t *Table) Finish(run *Run, answer request.Answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.answer, run.end = answer, now
	t.byEnd = append(t.byEnd, run)
	close(run.done)
	run.cancel()
}

// StopWaiting records that a call no longer waits for a run.
func (t *Table) StopWaiting(run *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.waiters--
}

// HasWaiters reports whether any call waits for a run.
func (t *Table) HasWaiters(run *Run) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return run.waiters > 0
}

// Answer returns the answer of a run that has ended. If the answer is no longer
// kept, the result is an unknown outcome.
func (t *Table) Answer(run *Run) request.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run.answerDropped {
		return request.UnknownAnswer(request.ReasonPeerLost, "answer is no longer kept")
	}
	return run.answer
}

// Context returns a context that ends when the run is cancelled or has ended.
func (r *Run) Context() context.Context { return r.ctx }

// Cancel cancels the context of the run, which then does not start if it has
// not started yet.
func (r *Run) Cancel() { r.cancel() }

// Done returns a channel that is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

func (t *Table) removeExpired(now time.Time) {
	for len(t.byEnd) > 0 && now.Sub(t.byEnd[0].end) > answerRetention {
		t.byEnd[0].answer, t.byEnd[0].answerDropped = request.Answer{}, true
		t.byEnd = t.byEnd[1:]
	}
	for len(t.byStart) > 0 && now.Sub(t.byStart[0].start) > Retention && t.byStart[0].answerDropped {
		delete(t.runs, t.byStart[0].id)
		t.byStart = t.byStart[1:]
	}
}
