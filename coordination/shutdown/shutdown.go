// Package shutdown plans the graceful stop of a daemon: how long it accepts
// connections, how long it waits for requests in flight, and which requests it still
// passes on meanwhile.
//
// A daemon that stops leaves the directory at once, but clients use its earlier answers
// for a while. Until these have expired it serves every request. Later ones come from
// clients whose connection has carried no request yet. They are passed on only if they
// end before the stop does, since one that is cut off may have run.
package shutdown

import "time"

const (
	// directoryAnswerExpiry is how long after the start of a stop clients may still
	// open connections because of cached directory answers.
	directoryAnswerExpiry = 2500 * time.Millisecond
	// exitMargin is the part of the timeout that is reserved for the process to exit.
	exitMargin = 800 * time.Millisecond
	// maxExitFraction limits exitMargin to a part of a short timeout.
	maxExitFraction = 4
	// leaveEighths is the part of the exit margin, in eighths, in which the daemon may
	// remove its entry.
	leaveEighths = 3
)

// Plan is the plan of one stop.
type Plan struct {
	// AcceptUntil is when the daemon stops to accept connections.
	AcceptUntil time.Time
	// ServeUntil is when requests that are still in flight are cut off.
	ServeUntil time.Time
	// LeaveUntil is when the daemon gives up removing its entry at the store. The rest of
	// the timeout is left to write the log and to exit.
	LeaveUntil time.Time
}

// New returns the plan of a stop that begins at the given time, after which the process
// is killed when the timeout has passed.
func New(began time.Time, timeout time.Duration) Plan {
	margin := min(exitMargin, timeout/maxExitFraction)
	return Plan{
		AcceptUntil: began.Add(min(directoryAnswerExpiry, timeout/2)),
		ServeUntil:  began.Add(timeout - margin),
		LeaveUntil:  began.Add(timeout - margin + margin*leaveEighths/8),
	}
}

// Admits reports whether a request that has arrived may be passed on. After its deadline
// nobody waits for it any more.
func (p Plan) Admits(arrived, deadline time.Time) bool {
	return !arrived.After(p.AcceptUntil) || !deadline.After(p.ServeUntil)
}
