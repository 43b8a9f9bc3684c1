package limit

import (
	"sync"
	"time"
)

const (
	// BorrowWindow is how long after its request a borrower may start uses of
	// borrowed units.
	BorrowWindow = 2 * time.Second
	// renewBefore is how long before the last possible start of a use a loan
	// is due for renewal.
	renewBefore = time.Second
	// refusalPeriod is the period in which refused units are counted. They
	// count as demand until the end of the next period.
	refusalPeriod = time.Second
	// reserveDivisor sets the reserve that is kept when units are returned:
	// the units in use divided by it.
	reserveDivisor = 4
	// requestMemory is how long after a borrower's latest request older ones are
	// recognised.
	requestMemory = time.Minute
	// useSteps is the number of steps that the duration of one use is divided
	// into.
	useSteps = 50
)

// UsePolicy describes how units of a limit are used.
type UsePolicy struct {
	// MaxDuration is how long one use takes: the window of a rate limit, or
	// the longest time that a request may be in flight.
	MaxDuration time.Duration
	// ExplicitRelease means that a use ends only when it is released, which
	// may be before its maximum duration.
	ExplicitRelease bool
}

// LoanDuration returns how long units are lent. A unit that is acquired at the
// end of BorrowWindow remains in use for the duration of one use, whose end is
// rounded up to a whole step.
func (p UsePolicy) LoanDuration() time.Duration {
	return BorrowWindow + p.MaxDuration + p.MaxDuration/useSteps
}

// Quota is the part of one limit that one daemon may use. It is safe for
// concurrent use.
type Quota struct {
	policy UsePolicy
	// notBefore is the earliest time at which the quota may use its owned
	// units.
	notBefore time.Time

	mu    sync.Mutex
	owned ownedUnits
	// lent holds, by borrower, the loans and for requestMemory the latest requests.
	lent     map[string]*loan
	borrowed map[string]loan
	active   activeUses
	refused  [2]refusals
}

// ownedUnits is the number of owned units and the period in which they may be
// used.
type ownedUnits struct {
	units       int
	from, until time.Time
}

type loan struct {
	units int
	until time.Time
	// seq is the sequence number of the borrower's latest request, which arrived at
	// heardAt.
	seq     uint64
	heardAt time.Time
}

// refusals counts the units that were refused in one period.
type refusals struct {
	period time.Time
	units  int
}

// NewQuota returns a quota that owns no units.
func NewQuota(policy UsePolicy) *Quota {
	step := max(policy.MaxDuration/useSteps, time.Millisecond)
	return &Quota{policy: policy, lent: map[string]*loan{}, borrowed: map[string]loan{}, active: activeUses{step: step}}
}

// WithPolicy returns a quota with another policy that replaces this one. It
// may use its owned units only after the loan duration of this quota, when the
// uses and loans of this quota, and of those that it replaced, are over.
func (q *Quota) WithPolicy(policy UsePolicy, now time.Time) *Quota {
	replacement := NewQuota(policy)
	replacement.notBefore = now.Add(q.policy.LoanDuration())
	if q.notBefore.After(replacement.notBefore) {
		replacement.notBefore = q.notBefore
	}
	return replacement
}

// Policy returns how units of the quota are used.
func (q *Quota) Policy() UsePolicy { return q.policy }

// SetOwned sets the number of units that the daemon owns and the period in
// which it may use them.
func (q *Quota) SetOwned(units int, from, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if from.Before(q.notBefore) {
		from = q.notBefore
	}
	q.owned = ownedUnits{units: units, from: from, until: until}
}

// Acquire reserves units for a use that lasts until end at the latest. It
// returns false and counts the units as demand if too few are available.
func (q *Quota) Acquire(now time.Time, units int, end time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	if !q.fits(now, units, end) {
		q.recordRefusal(now, units)
		return false
	}
	q.active.add(end, units)
	return true
}

// CanAcquire reports whether Acquire would succeed. It does not count as
// demand.
func (q *Quota) CanAcquire(now time.Time, units int, end time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	return q.fits(now, units, end)
}

// fits reports whether more units can be in use until end. All units in use must
// be usable until the last of their uses ends.
func (q *Quota) fits(now time.Time, units int, end time.Time) bool {
	latest := q.active.roundUp(end)
	if last := q.active.latest(); last.After(latest) {
		latest = last
	}
	return q.active.total+units <= q.usable(now, latest)
}

// Release ends a use early. The end must be the one given to Acquire.
func (q *Quota) Release(units int, end time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active.remove(end, units)
}

// InUse returns the number of units in use.
func (q *Quota) InUse(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	return q.active.total
}

// Covered reports whether the owned units cover those that are lent, the rest
// together with the borrowed units covers those in use, and the uses and loans
// of an earlier daemon of the host are over. Units that the daemon gives up may
// be published as free only while this holds.
func (q *Quota) Covered(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	if now.Before(q.owned.from) {
		return false
	}
	return q.usableOwned(now, now) >= 0 && q.active.total <= q.usable(now, q.active.latest())
}

// Lend handles a peer's request to hold want units in total. A request for
// fewer units than are lent returns the rest of the loan. The loan is renewed
// or enlarged only if extended is true; otherwise its end does not change. A loan
// grows by at most half of the spare units, rounded up. A request that is not
// newer than the borrower's latest one, of the last requestMemory, has no effect.
func (q *Quota) Lend(now time.Time, borrower string, seq uint64, want int) (units int, extended bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	until := now.Add(q.policy.LoanDuration())
	l := q.loanTo(borrower)
	if seq <= l.seq {
		return 0, false
	}
	l.seq, l.heardAt = seq, now
	l.units = min(l.units, max(want, 0))
	spare := q.usableOwned(now, until) - q.active.total
	if spare < 0 || q.refusedUnits(now) > 0 || want <= 0 {
		return l.units, false
	}
	more := min(want-l.units, (spare+1)/2)
	if l.units+more <= 0 {
		return 0, false
	}
	l.units += more
	l.until = until
	return l.units, true
}

func (q *Quota) loanTo(borrower string) *loan {
	if _, ok := q.lent[borrower]; !ok {
		q.lent[borrower] = &loan{}
	}
	return q.lent[borrower]
}

// RecordLoan records a peer's answer that extended a loan. The end of the loan
// is counted from when the request was sent.
func (q *Quota) RecordLoan(lender string, units int, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrowed[lender] = loan{units: units, until: until}
}

// PrepareRequest returns the number of units to request from a lender to cover
// a deficit. If the current loan is due for renewal and larger than the
// deficit, its surplus is given up before the request is sent.
func (q *Quota) PrepareRequest(now time.Time, lender string, deficit int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	l := q.borrowed[lender]
	if q.isFresh(now, l) {
		return l.units + deficit
	}
	if deficit < l.units {
		l.units = deficit
		q.borrowed[lender] = l
	}
	return deficit
}

// Deficit returns how many units are missing to cover demand. Loans that are
// due for renewal do not count as available.
func (q *Quota) Deficit(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	return max(0, q.active.total+q.refusedUnits(now)-q.usable(now, now.Add(q.policy.MaxDuration+renewBefore)))
}

// ReturnSurplus gives up borrowed units that demand does not need. It returns
// the units that remain of each loan whose lender must be told.
func (q *Quota) ReturnSurplus(now time.Time) map[string]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	end := now.Add(q.policy.MaxDuration)
	if last := q.active.latest(); last.After(end) {
		end = last
	}
	surplus := q.usable(now, end) - q.active.total - q.active.total/reserveDivisor - q.refusedUnits(now)
	remaining := map[string]int{}
	for lender, l := range q.borrowed {
		returned := min(surplus, l.units)
		if returned <= 0 {
			continue
		}
		surplus -= returned
		l.units -= returned
		q.borrowed[lender] = l
		remaining[lender] = l.units
	}
	return remaining
}

// Lenders returns the peers from which units are borrowed.
func (q *Quota) Lenders(now time.Time) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	out := make([]string, 0, len(q.borrowed))
	for lender := range q.borrowed {
		out = append(out, lender)
	}
	return out
}

// isFresh reports whether a loan is not yet due for renewal.
func (q *Quota) isFresh(now time.Time, l loan) bool {
	return !l.until.Before(now.Add(q.policy.MaxDuration + renewBefore))
}

// usable returns the number of units that may be in use until the given end.
func (q *Quota) usable(now, end time.Time) int {
	units := q.usableOwned(now, end)
	for _, l := range q.borrowed {
		if !l.until.Before(end) {
			units += l.units
		}
	}
	return units
}

// usableOwned returns the number of owned units that may be in use until the
// given end, less those that are lent. It is negative if more units are lent
// than owned.
func (q *Quota) usableOwned(now, end time.Time) int {
	units := 0
	if !now.Before(q.owned.from) && !q.owned.until.Before(end) {
		units = q.owned.units
	}
	for _, l := range q.lent {
		units -= l.units
	}
	return units
}

func (q *Quota) expire(now time.Time) {
	if !q.policy.ExplicitRelease {
		q.active.expire(now)
	}
	for borrower, l := range q.lent {
		if now.Before(l.until) {
			continue
		}
		l.units = 0
		if now.Sub(l.heardAt) >= requestMemory {
			delete(q.lent, borrower)
		}
	}
	for lender, l := range q.borrowed {
		if !now.Before(l.until) {
			delete(q.borrowed, lender)
		}
	}
}

// recordRefusal counts refused units as demand, by refusalPeriod.
func (q *Quota) recordRefusal(now time.Time, units int) {
	period := now.Truncate(refusalPeriod)
	if q.refused[1].period != period {
		q.refused[0], q.refused[1] = q.refused[1], refusals{period: period}
	}
	q.refused[1].units += units
}

// refusedUnits returns the most units that were refused in one of the last two
// periods.
func (q *Quota) refusedUnits(now time.Time) int {
	most := 0
	for _, r := range q.refused {
		if now.Sub(r.period) < 2*refusalPeriod {
			most = max(most, r.units)
		}
	}
	return most
}
