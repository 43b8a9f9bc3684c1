// Package hold decides when a daemon may dispatch requests to an upstream.
//
// Each upstream has one holder. A daemon that becomes the holder first sends a
// claim to the other members that may hold the upstream. A member that is still
// dispatching denies the claim. A member that does not reply may still be
// dispatching until the fleet considers it dead; by then its own confirmation
// has expired. A daemon that is not confirmed, or that cannot reach a member
// that may be alive, waits longer and then relies on the upstream's load
// reports.
package hold

import (
	"sync"
	"time"
)

const (
	// LeaseDuration is the longest pause after which a daemon may continue to
	// dispatch without claiming its upstreams again.
	LeaseDuration = 2 * time.Second
	// LeaseMargin is how much longer than LeaseDuration other daemons wait.
	LeaseMargin = 500 * time.Millisecond
	// maxClaimInterval is the longest interval between two unanswered claims
	// that count as consecutive.
	maxClaimInterval = 2 * time.Second
	// MaxReserveDuration is how long slots stay reserved for requests of a
	// previous holder that only the upstream reports.
	MaxReserveDuration = 5 * time.Second
)

// Lease tracks whether a daemon may dispatch and how long other members have
// not replied. It is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// lastRenewed is when the daemon last renewed the lease.
	lastRenewed time.Time
	// unanswered maps each member that does not reply to the period of its
	// missed replies.
	unanswered map[string]unansweredPeriod
}

// unansweredPeriod is the time between the first and the last claim that a
// member did not answer.
type unansweredPeriod struct{ first, last time.Time }

// NewLease returns the lease of a daemon that starts at the given time.
func NewLease(now time.Time) *Lease {
	return &Lease{lastRenewed: now, unanswered: map[string]unansweredPeriod{}}
}

// Renew renews the lease. It returns false if the daemon was paused for longer
// than LeaseDuration since the previous renewal.
func (l *Lease) Renew(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastRenewed)
	l.lastRenewed = now
	return elapsed <= LeaseDuration
}

// Valid reports whether the daemon may dispatch. The confirmed argument is true
// if other members consider the daemon alive, or if it has waited until the
// members that did not reply must have stopped.
func (l *Lease) Valid(now time.Time, confirmed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return confirmed && now.Sub(l.lastRenewed) <= LeaseDuration
}

// RecordReply records that a member replied.
func (l *Lease) RecordReply(member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unanswered, member)
}

// noReplyTimedOut records that a member did not reply. It reports whether the
// member has not replied for so long that it must have stopped dispatching on
// its own.
func (l *Lease) noReplyTimedOut(member string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	period := l.unanswered[member]
	if now.Sub(period.last) > maxClaimInterval {
		period.first = now
	}
	period.last = now
	l.unanswered[member] = period
	return now.Sub(period.first) > LeaseDuration+LeaseMargin
}

// Reply is the response of one member to a claim.
type Reply struct {
	Member string
	// Unanswered is true if the member did not reply, Dead if the fleet
	// considers it dead.
	Unanswered bool
	Dead       bool
	// Denied is true if the member is still dispatching.
	Denied bool
	// InUse is the number of the member's requests that are still running on
	// the upstream.
	InUse int
}

// ClaimDecision is the result of a claim.
type ClaimDecision struct {
	// MayDispatch is true if the claimant may dispatch, Denied if a member is
	// still dispatching.
	MayDispatch bool
	Denied      bool
	// Reserved is the number of slots that requests of previous holders still
	// use, as reported by the members.
	Reserved int
	// Unverified is true if the claimant is not confirmed, or if a member that
	// may be alive did not reply for the full waiting time. The slots that this
	// member uses are known only from the upstream's load reports.
	Unverified bool
}

// DecideClaim evaluates the replies to a claim. The confirmed argument is true
// if other members consider the claimant alive.
func DecideClaim(l *Lease, replies []Reply, confirmed bool, now time.Time) ClaimDecision {
	decision := ClaimDecision{MayDispatch: true, Unverified: !confirmed}
	if !confirmed && len(replies) == 0 {
		// Other members may exist that are not known yet.
		decision.MayDispatch = l.noReplyTimedOut("", now)
	}
	for _, r := range replies {
		decision.Reserved += r.InUse
		switch {
		case r.Denied:
			decision.MayDispatch, decision.Denied = false, true
		case !r.Unanswered:
			l.RecordReply(r.Member)
		case r.Dead && confirmed:
			l.noReplyTimedOut(r.Member, now)
		case l.noReplyTimedOut(r.Member, now):
			decision.Unverified = true
		default:
			decision.MayDispatch = false
		}
	}
	return decision
}

// LoadReport is a load report of an upstream.
type LoadReport struct {
	InUse int
	// CreatedAt is when the upstream created the report, by its own clock.
	CreatedAt time.Time
}

const (
	// maxReportAge and maxReportSkew limit how far the time of a valid report
	// may be in the past and in the future.
	maxReportAge  = 5 * time.Second
	maxReportSkew = 2 * time.Second
)

// Valid reports whether a load report may be used. A report is invalid if its
// value is out of range, or if it is too old or too far in the future.
func (r LoadReport) Valid(connections int, now time.Time) bool {
	if r.InUse < 0 || r.InUse > connections {
		return false
	}
	age := now.Sub(r.CreatedAt)
	return age <= maxReportAge && age >= -maxReportSkew
}

// ReservedSlots returns the number of slots to reserve for requests of other
// daemons. The ownInUse argument is the number of slots that the holder's own
// requests use. Without a load report the usage is unknown, and all slots are
// reserved. After MaxReserveDuration a verified holder reserves no slots; an
// unverified one keeps the reservation except for at least one slot, which it
// tries.
func ReservedSlots(decision ClaimDecision, report *LoadReport, slots, ownInUse int, heldFor time.Duration) int {
	reserved := slots
	if report != nil {
		reserved = max(decision.Reserved, report.InUse-ownInUse)
	}
	reserved = max(0, min(reserved, slots))
	if heldFor < MaxReserveDuration {
		return reserved
	}
	if decision.Unverified {
		return min(reserved, slots-1)
	}
	return 0
}
