// Package availability decides whether a backend server may get a request now, and if
// not, until when and why, from what the server and its entry say about it, and from
// whether it was found at its address.
//
// A State belongs to one incarnation of a server; what it says is void for the next one
// at the same address. A server that has announced in an answer that it leaves gets no
// further request, whatever its entry or its later answers say. A server that has asked
// for a pause gets none until its end. Then it gets one request at a time until it has
// answered one, and after that a growing part of its objects, so that neither one daemon
// nor all of them return at one moment.
//
// The package does no I/O and takes the current time from its callers.
package availability

import "time"

const (
	// MaxPause is the longest pause that is believed. A server that is wrong about its
	// pause is asked again by one request after it, and one that is right may ask again.
	MaxPause = time.Minute
	// delayFraction is the largest delay of the return after a pause, as a fraction of
	// the pause, and maxDelay bounds it. Each daemon draws its own delay, since the
	// pauses that a server asks all daemons for may end at one moment.
	delayFraction = 0.5
	maxDelay      = 100 * time.Millisecond
	// trialTimeout is how long the first request after a pause may go unanswered before
	// another is sent.
	trialTimeout = 500 * time.Millisecond
	// returnTime is the time from the first answer after a pause until all objects of
	// the server are back.
	returnTime = 250 * time.Millisecond
	// baseEjection and maxEjection bound how long a server that accepts no connection is
	// not used. The time doubles with each consecutive failure.
	baseEjection = 250 * time.Millisecond
	maxEjection  = 2 * time.Second
)

// Reason says why a server may not get a request.
type Reason string

// Reasons.
const (
	// Draining means that the server's entry says that it leaves.
	Draining Reason = "draining"
	// Leaving means that the server announced in an answer that it leaves.
	Leaving Reason = "leaving"
	// Paused means that the server asked for a pause that has not ended.
	Paused Reason = "paused"
	// Returning means that a pause has ended and other servers are preferred for this
	// request. Without another server, it may be sent.
	Returning Reason = "returning"
	// Unreachable means that the server accepted no connection lately.
	Unreachable Reason = "unreachable"
	// Misdirected means that another server has the address.
	Misdirected Reason = "misdirected"
)

// Signal is what a server says about itself in an answer.
type Signal struct {
	// Leaving is set if the server announces that it leaves.
	Leaving bool
	// Pause is how long from the answer on the server accepts nothing, or 0.
	Pause time.Duration
	// Unreadable is set if the answer has a signal that could not be read, which
	// announces nothing.
	Unreadable bool
}

// Verdict says whether a server may get a request. Unless it may, Reason says why, and
// Until is the time at which the answer is next expected to change, or zero if never.
type Verdict struct {
	Allowed bool
	Reason  Reason
	Until   time.Time
}

// Change says what a signal changed.
type Change struct {
	// Leaving is set with the first announcement.
	Leaving bool
	// Paused is set if a pause began, and not if one was prolonged.
	Paused bool
	// Unreadable is set with the first signal that could not be read.
	Unreadable bool
}

// State is what one incarnation of a server and its entry have said. The zero value
// may get requests. It is not safe for concurrent use.
type State struct {
	draining, leaving, misdirected, unreadable bool
	pausedUntil                                time.Time
	// returning is set from the start of a pause until the first answer after it,
	// and trialUntil is the time until which no other request is sent meanwhile.
	returning  bool
	trialUntil time.Time
	// returnedAt is the time of the first answer after the latest pause.
	returnedAt time.Time
	// ejections counts the connection attempts that failed in a row, and ejectedUntil is
	// the time until which no other is made.
	ejections    int
	ejectedUntil time.Time
}

// SetDraining records what the server's entry says. It takes back nothing that the
// server has announced itself.
func (s *State) SetDraining(on bool) { s.draining = on }

// Leaves reports whether the server will get no requests any more, so that its objects
// need another server.
func (s *State) Leaves() bool { return s.draining || s.leaving || s.misdirected }

// PausedAt reports whether a pause that the server asked for has not ended.
func (s *State) PausedAt(now time.Time) bool { return now.Before(s.pausedUntil) }

// SetMisdirected records that another server was found at the address.
func (s *State) SetMisdirected() { s.misdirected = true }

// SetUnreachable records that the server accepted no connection.
func (s *State) SetUnreachable(now time.Time) {
	duration := min(maxEjection, baseEjection<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
}

// SetReachable records an answer that indicates no failure of the server.
func (s *State) SetReachable() { s.ejections = 0 }

// Memorable reports whether the state must outlive the server's entry, which may come
// back.
func (s *State) Memorable(now time.Time) bool { return s.leaving || s.PausedAt(now) }

// Record records the signal of an answer that came at a time. Pauses are never
// shortened, since answers may overtake each other. random is drawn uniformly from
// [0, 1).
func (s *State) Record(signal Signal, random float64, now time.Time) Change {
	change := Change{Leaving: signal.Leaving && !s.leaving, Unreadable: signal.Unreadable && !s.unreadable}
	s.leaving, s.unreadable = s.leaving || signal.Leaving, s.unreadable || signal.Unreadable
	if signal.Pause <= 0 {
		return change
	}
	pause := min(signal.Pause, MaxPause)
	delay := min(maxDelay, time.Duration(delayFraction*float64(pause)))
	change.Paused = !s.PausedAt(now)
	if until := now.Add(pause + time.Duration(random*float64(delay))); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	s.returning, s.trialUntil = true, time.Time{}
	return change
}

// Sent records that a request is sent. A server that accepted no connection gets one per
// baseEjection until it is known to be reachable.
func (s *State) Sent(now time.Time) {
	if s.ejections > 0 {
		s.ejectedUntil = now.Add(baseEjection)
	}
	if s.returning && !s.PausedAt(now) {
		s.trialUntil = now.Add(trialTimeout)
	}
}

// Answered records that the server ran a request that was sent at a time. One that was
// sent before the end of the pause says nothing about the time after it.
func (s *State) Answered(sentAt, now time.Time) {
	if s.returning && !sentAt.Before(s.pausedUntil) {
		s.returning, s.returnedAt = false, now
	}
}

// MaySend reports whether a request that was assigned to the server may still be sent, once
// it has a connection.
func (s *State) MaySend(now time.Time) bool { return !s.Leaves() && !s.PausedAt(now) }

// Check returns whether a request may be assigned to the server. place, in [0, 1), is the
// place of the request's object in the order in which objects return after a pause.
func (s *State) Check(place float64, now time.Time) Verdict {
	switch {
	case s.leaving:
		return Verdict{Reason: Leaving}
	case s.draining:
		return Verdict{Reason: Draining}
	case s.misdirected:
		return Verdict{Reason: Misdirected}
	case now.Before(s.ejectedUntil):
		return Verdict{Reason: Unreachable, Until: s.ejectedUntil}
	case s.PausedAt(now):
		return Verdict{Reason: Paused, Until: s.pausedUntil}
	case s.returning && now.Before(s.trialUntil):
		return Verdict{Reason: Paused, Until: s.trialUntil}
	case s.returning:
		return Verdict{Allowed: true}
	}
	if back := s.returnedAt.Add(time.Duration(place * float64(returnTime))); !s.returnedAt.IsZero() && now.Before(back) {
		return Verdict{Reason: Returning, Until: back}
	}
	return Verdict{Allowed: true}
}
