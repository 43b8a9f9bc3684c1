// Package hold decides when a daemon may dispatch on an upstream.
//
// An upstream has one holder. A daemon that becomes the holder asks every
// other member first. A member that still dispatches refuses; a member that
// does not answer may still dispatch until its lease has run out. A daemon's
// lease runs from the last answer that it got from a peer, by its own clock:
// a daemon that was paused or cut off stops dispatching by itself.
package hold

import (
	"sync"
	"time"
)

const (
	// Term is how long a daemon dispatches without an answer from a peer.
	Term = 2 * time.Second
	// Margin is how much longer than Term others wait: peers hear from each
	// other at different moments.
	Margin = 500 * time.Millisecond
	// ReserveTerm is how long slots stay reserved for requests of an earlier
	// holder that nobody but the upstream knows of.
	ReserveTerm = 5 * time.Second
)

// Lease tells whether a daemon may dispatch and whether others have stopped.
// It is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// renewed is when a call was made that a peer answered.
	renewed time.Time
	// checked is when the daemon last looked at its duties.
	checked time.Time
	heard   map[string]time.Time
	started time.Time
}

// NewLease returns the lease of a daemon that starts now.
func NewLease(now time.Time) *Lease {
	return &Lease{renewed: now, checked: now, started: now, heard: map[string]time.Time{}}
}

// Heard records that a member answered a call made at a time.
func (l *Lease) Heard(member string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.renewed) {
		l.renewed = at
	}
	if at.After(l.heard[member]) {
		l.heard[member] = at
	}
}

// Check records that the daemon looks at its duties. It returns false if the
// daemon was paused since the last time for longer than Term.
func (l *Lease) Check(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	passed := now.Sub(l.checked)
	l.checked = now
	return passed <= Term
}

// Valid reports whether the daemon may dispatch. A daemon that has no peers,
// or has outwaited them, needs no answers from them.
func (l *Lease) Valid(now time.Time, alone bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.checked) > Term {
		return false
	}
	return alone || now.Sub(l.renewed) <= Term
}

// Ended reports whether the lease of a member that does not answer has run
// out. The lease of a member that was never heard from counts from the start
// of this daemon.
func (l *Lease) Ended(member string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.heard[member]
	if !ok {
		last = l.started
	}
	return now.Sub(last) > Term+Margin
}

// Reply is what one member said to a claim.
type Reply struct {
	Member string
	// Silent is true if the member did not answer.
	Silent bool
	// Denied is true if the member still dispatches.
	Denied bool
	// InUse is the number of the member's requests that still run there.
	InUse int
}

// Step is what to do about a claim.
type Step struct {
	// Open is true if the claimant may dispatch.
	Open bool
	// Reserved is the number of slots that earlier holders still use, as far
	// as members know.
	Reserved int
	// Alone is true if some member did not answer and was outwaited. Its use
	// of the slots is known from the upstream's reports only.
	Alone bool
}

// Decide returns what the replies of all other members to a claim mean.
func Decide(l *Lease, replies []Reply, now time.Time) Step {
	step := Step{Open: true}
	for _, r := range replies {
		switch {
		case r.Denied:
			return Step{}
		case r.Silent && !l.Ended(r.Member, now):
			return Step{}
		case r.Silent:
			step.Alone = true
		}
		step.Reserved += r.InUse
	}
	return step
}

// Report is a load report of an upstream.
type Report struct {
	InUse int
	// Made is when the upstream made it, by its own clock.
	Made time.Time
}

const (
	// maxReportAge and maxReportSkew bound the time of a report that counts.
	maxReportAge  = 5 * time.Second
	maxReportSkew = 2 * time.Second
)

// Credible reports whether a load report counts. A report out of range, too
// old or from the future does not.
func (r Report) Credible(connections int, now time.Time) bool {
	if r.InUse < 0 || r.InUse > connections {
		return false
	}
	age := now.Sub(r.Made)
	return age <= maxReportAge && age >= -maxReportSkew
}

// Reserve returns the slots to reserve for others. Own is the number of the
// holder's own requests there. Without a report the slots that may be in use
// are not known, so that all of them are reserved, until they were for
// ReserveTerm; then one slot is tried.
func Reserve(step Step, report *Report, slots, own int, held time.Duration) int {
	reserved := slots
	if report != nil {
		reserved = max(step.Reserved, report.InUse-own)
	}
	reserved = max(0, min(reserved, slots))
	if held < ReserveTerm {
		return reserved
	}
	if step.Alone {
		return min(reserved, slots-1)
	}
	return 0
}
