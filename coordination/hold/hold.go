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
	// LeaseDuration is the longest pause after which a daemon goes on by itself.
	LeaseDuration = 2 * time.Second
	// LeaseMargin is how much longer than Term others wait.
	LeaseMargin = 500 * time.Millisecond
	// maxCallGap is the longest time between two calls of one silence.
	maxCallGap = 2 * time.Second
	// MaxReserveDuration is how long slots stay reserved for requests of an earlier
	// holder that nobody but the upstream knows of.
	MaxReserveDuration = 5 * time.Second
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

// Renew records that the daemon looks at its duties. It returns false if the
// daemon was paused since the last time for longer than Term.
func (l *Lease) Renew(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	passed := now.Sub(l.checked)
	l.checked = now
	return passed <= LeaseDuration
}

// Valid reports whether the daemon may dispatch. Confirmed says that others
// count it among the living, or that it has outwaited them.
func (l *Lease) Valid(now time.Time, confirmed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return confirmed && now.Sub(l.checked) <= LeaseDuration
}

// RecordReply records that a member answered.
func (l *Lease) RecordReply(member string) {
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
	return now.Sub(s.first) > LeaseDuration+LeaseMargin
}

// Reply is what one member said to a claim.
type Reply struct {
	Member string
	// Unanswered is true if the member did not answer, Dead if the fleet counts it
	// among the dead.
	Unanswered bool
	Dead       bool
	// Denied is true if the member still dispatches.
	Denied bool
	// InUse is the number of the member's requests that still run there.
	InUse int
}

// ClaimDecision is what to do about a claim.
type ClaimDecision struct {
	// MayDispatch is true if the claimant may dispatch, Denied if a member still does.
	MayDispatch bool
	Denied      bool
	// Reserved is the number of slots that earlier holders still use, as far
	// as members know.
	Reserved int
	// Unverified is true if a member that may live was outwaited. Its use of the
	// slots is known from the upstream's reports only.
	Unverified bool
}

// DecideClaim returns what the replies of all other members to a claim mean.
// Confirmed says that others count the claimant among the living.
func DecideClaim(l *Lease, replies []Reply, confirmed bool, now time.Time) ClaimDecision {
	step := ClaimDecision{MayDispatch: true, Unverified: !confirmed}
	if !confirmed && len(replies) == 0 {
		// The fleet may not be known yet.
		step.MayDispatch = l.outwaited("", now)
	}
	for _, r := range replies {
		step.Reserved += r.InUse
		switch {
		case r.Denied:
			step.MayDispatch, step.Denied = false, true
		case !r.Unanswered:
			l.RecordReply(r.Member)
		case r.Dead && confirmed:
			l.outwaited(r.Member, now)
		case l.outwaited(r.Member, now):
			step.Unverified = true
		default:
			step.MayDispatch = false
		}
	}
	return step
}

// LoadReport is a load report of an upstream.
type LoadReport struct {
	InUse int
	// CreatedAt is when the upstream made it, by its own clock.
	CreatedAt time.Time
}

const (
	// maxReportAge and maxReportSkew bound the time of a report that counts.
	maxReportAge  = 5 * time.Second
	maxReportSkew = 2 * time.Second
)

// Valid reports whether a load report counts. A report out of range, too
// old or from the future does not.
func (r LoadReport) Valid(connections int, now time.Time) bool {
	if r.InUse < 0 || r.InUse > connections {
		return false
	}
	age := now.Sub(r.CreatedAt)
	return age <= maxReportAge && age >= -maxReportSkew
}

// ReservedSlots returns the slots to reserve for others. Own is the number of the
// holder's own requests there. Without a report the slots that may be in use
// are not known, so that all of them are reserved, until they were for
// ReserveTerm; then one slot is tried.
func ReservedSlots(step ClaimDecision, report *LoadReport, slots, own int, held time.Duration) int {
	reserved := slots
	if report != nil {
		reserved = max(step.Reserved, report.InUse-own)
	}
	reserved = max(0, min(reserved, slots))
	if held < MaxReserveDuration {
		return reserved
	}
	if step.Unverified {
		return min(reserved, slots-1)
	}
	return 0
}
