// Package hold decides when a daemon may dispatch on an upstream.
//
// An upstream has one holder. A daemon that becomes the holder asks every
// other member first. A member that still dispatches refuses. A member that
// does not answer may still dispatch, until the fleet counts it among the
// dead: by then its own confirmation has run out. A daemon that nobody
// confirms, or that alone does not reach a member, waits longer and then
// relies on the upstream's load reports.
package hold

import (
	"sync"
	"time"
)

const (
	// Term is the longest pause after which a daemon goes on by itself.
	Term = 2 * time.Second
	// Margin is how much longer than Term others wait.
	Margin = 500 * time.Millisecond
	// maxCallGap is the longest time between two calls of one silence.
	maxCallGap = 2 * time.Second
	// ReserveTerm is how long slots stay reserved for requests of an earlier
	// holder that nobody but the upstream knows of.
	ReserveTerm = 5 * time.Second
)

// Lease tells whether a daemon may dispatch and how long others have been
// silent. It is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// checked is when the daemon last looked at its duties.
	checked time.Time
	// silent is since when members have not answered.
	silent map[string]silence
}

// silence is the time between the first and the last call that a member did
// not answer.
type silence struct{ first, last time.Time }

// NewLease returns the lease of a daemon that starts now.
func NewLease(now time.Time) *Lease {
	return &Lease{checked: now, silent: map[string]silence{}}
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

// Valid reports whether the daemon may dispatch. Confirmed says that others
// count it among the living, or that it has outwaited them.
func (l *Lease) Valid(now time.Time, confirmed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return confirmed && now.Sub(l.checked) <= Term
}

// Heard records that a member answered.
func (l *Lease) Heard(member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silent, member)
}

// outwaited records that a member does not answer, and reports whether it has
// not for so long that it must have stopped by itself.
func (l *Lease) outwaited(member string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.silent[member]
	if now.Sub(s.last) > maxCallGap {
		s.first = now
	}
	s.last = now
	l.silent[member] = s
	return now.Sub(s.first) > Term+Margin
}

// Reply is what one member said to a claim.
type Reply struct {
	Member string
	// Silent is true if the member did not answer, Dead if the fleet counts it
	// among the dead.
	Silent bool
	Dead   bool
	// Denied is true if the member still dispatches.
	Denied bool
	// InUse is the number of the member's requests that still run there.
	InUse int
}

// Step is what to do about a claim.
type Step struct {
	// Open is true if the claimant may dispatch, Denied if a member still does.
	Open   bool
	Denied bool
	// Reserved is the number of slots that earlier holders still use, as far
	// as members know.
	Reserved int
	// Alone is true if a member that may live was outwaited. Its use of the
	// slots is known from the upstream's reports only.
	Alone bool
}

// Decide returns what the replies of all other members to a claim mean.
// Confirmed says that others count the claimant among the living.
func Decide(l *Lease, replies []Reply, confirmed bool, now time.Time) Step {
	step := Step{Open: true, Alone: !confirmed}
	if !confirmed && len(replies) == 0 {
		// The fleet may not be known yet.
		step.Open = l.outwaited("", now)
	}
	for _, r := range replies {
		step.Reserved += r.InUse
		switch {
		case r.Denied:
			step.Open, step.Denied = false, true
		case !r.Silent:
			l.Heard(r.Member)
		case r.Dead && confirmed:
			l.outwaited(r.Member, now)
		case l.outwaited(r.Member, now):
			step.Alone = true
		default:
			step.Open = false
		}
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
