package limit

import (
	"sync"
	"time"
)

const (
	// BorrowWindow is how long borrowed units may be taken after the question.
	BorrowWindow = 2 * time.Second
	// renewAhead is how long before its end a loan is asked for again.
	renewAhead = time.Second
	// missedFor is how long a refusal counts as demand.
	missedFor = time.Second
	// reserveFraction of what is in use is kept when units are given back.
	reserveFraction = 4
	// holdSteps is the number of steps that the time of one use is divided into.
	holdSteps = 50
)

// UsePolicy are how units of a limit are used.
type UsePolicy struct {
	// MaxDuration is how long one use takes: the window of a rate, or the longest
	// time that a request may be in flight.
	MaxDuration time.Duration
	// ExplicitRelease says that a use may end before its time, and ends only when it
	// is released.
	ExplicitRelease bool
}

// LoanDuration is how long units are lent: what is taken last is still in use for
// the time of one use.
func (t UsePolicy) LoanDuration() time.Duration {
	return BorrowWindow + t.MaxDuration + t.MaxDuration/holdSteps
}

// Quota is one daemon's side of one limit. It is safe for concurrent use.
type Quota struct {
	terms UsePolicy
	// notBefore is when the account may first use what is owned.
	notBefore time.Time

	mu       sync.Mutex
	owned    stake
	lent     map[string]*loan
	borrowed map[string]loan
	holds    holds
	missed   [2]misses
}

// stake is what is owned, from one time until another.
type stake struct {
	units       int
	from, until time.Time
}

type loan struct {
	units int
	until time.Time
	// seq is the number of the last question of the borrower.
	seq uint64
}

// misses counts the units refused in one period.
type misses struct {
	period time.Time
	units  int
}

// NewQuota returns an account that owns nothing.
func NewQuota(terms UsePolicy) *Quota {
	step := max(terms.MaxDuration/holdSteps, time.Millisecond)
	return &Quota{terms: terms, lent: map[string]*loan{}, borrowed: map[string]loan{}, holds: holds{step: step}}
}

// WithPolicy returns an account with other terms in place of this one. What is
// owned counts once the uses and loans of this one are over.
func (a *Quota) WithPolicy(terms UsePolicy, now time.Time) *Quota {
	renewed := NewQuota(terms)
	renewed.notBefore = now.Add(a.terms.LoanDuration())
	return renewed
}

// Policy returns how units of the account are used.
func (a *Quota) Policy() UsePolicy { return a.terms }

// SetOwned sets what the daemon owns. Units count from one time until another.
func (a *Quota) SetOwned(units int, from, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from.Before(a.notBefore) {
		from = a.notBefore
	}
	a.owned = stake{units: units, from: from, until: until}
}

// Acquire takes units for a use that ends at the given time at the latest.
func (a *Quota) Acquire(now time.Time, units int, end time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	if !a.fits(now, units, end) {
		a.miss(now, units)
		return false
	}
	a.holds.add(end, units)
	return true
}

// CanAcquire reports whether Take would succeed. It does not count as demand.
func (a *Quota) CanAcquire(now time.Time, units int, end time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	return a.fits(now, units, end)
}

func (a *Quota) fits(now time.Time, units int, end time.Time) bool {
	latest := a.holds.round(end)
	if last := a.holds.latest(); last.After(latest) {
		latest = last
	}
	return a.holds.total+units <= a.usable(now, latest)
}

// Release ends a use before its time. The end is that of Take.
func (a *Quota) Release(units int, end time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holds.remove(end, units)
}

// InUse returns the units in use.
func (a *Quota) InUse(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	return a.holds.total
}

// Covered reports whether what the daemon owns covers what it uses and has
// lent, and what an earlier daemon of its host used and lent is over. Only
// then may units that it gave up be told to be free.
func (a *Quota) Covered(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	if now.Before(a.owned.from) {
		return false
	}
	return a.usableOwned(now, now) >= 0 && a.holds.total <= a.usable(now, a.holds.latest())
}

// Lend answers a peer that asks to have the given units in all. A peer that
// asks for fewer than it has gives the rest back; others stay lent. The loan is renewed or enlarged only if
// extended is true; otherwise it ends when it would have ended.
func (a *Quota) Lend(now time.Time, borrower string, seq uint64, want int) (units int, extended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	until := now.Add(a.terms.LoanDuration())
	l := a.loanTo(borrower)
	if seq <= l.seq {
		return 0, false
	}
	l.seq = seq
	l.units = min(l.units, max(want, 0))
	spare := a.usableOwned(now, until) - a.holds.total
	if spare < 0 || a.missedUnits(now) > 0 || want <= 0 {
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

func (a *Quota) loanTo(borrower string) *loan {
	if _, ok := a.lent[borrower]; !ok {
		a.lent[borrower] = &loan{}
	}
	return a.lent[borrower]
}

// RecordLoan takes over a peer's answer that extended a loan. The loan ends at
// the given time, counted from when the question was sent.
func (a *Quota) RecordLoan(lender string, units int, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowed[lender] = loan{units: units, until: until}
}

// PrepareRequest returns the units to ask of a lender so that a deficit of units is
// covered. If they are fewer than are borrowed, the rest is given up first.
func (a *Quota) PrepareRequest(now time.Time, lender string, deficit int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	l := a.borrowed[lender]
	if a.fresh(now, l) {
		return l.units + deficit
	}
	if deficit < l.units {
		l.units = deficit
		a.borrowed[lender] = l
	}
	return deficit
}

// Deficit returns the units that the daemon's demand lacks. Loans about to
// end count as lacking.
func (a *Quota) Deficit(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	return max(0, a.holds.total+a.missedUnits(now)-a.usable(now, now.Add(a.terms.MaxDuration+renewAhead)))
}

// ReturnSurplus gives up borrowed units that demand does not need, and returns
// what is left of the loan of each lender that is to be told.
func (a *Quota) ReturnSurplus(now time.Time) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	end := now.Add(a.terms.MaxDuration)
	if last := a.holds.latest(); last.After(end) {
		end = last
	}
	surplus := a.usable(now, end) - a.holds.total - a.holds.total/reserveFraction - a.missedUnits(now)
	left := map[string]int{}
	for lender, l := range a.borrowed {
		back := min(surplus, l.units)
		if back <= 0 {
			continue
		}
		surplus -= back
		l.units -= back
		a.borrowed[lender] = l
		left[lender] = l.units
	}
	return left
}

// Lenders returns the peers that units are borrowed from.
func (a *Quota) Lenders(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	out := make([]string, 0, len(a.borrowed))
	for lender := range a.borrowed {
		out = append(out, lender)
	}
	return out
}

func (a *Quota) fresh(now time.Time, l loan) bool {
	return !l.until.Before(now.Add(a.terms.MaxDuration + renewAhead))
}

// usable returns the units that may be in use up to the given end.
func (a *Quota) usable(now, end time.Time) int {
	units := a.usableOwned(now, end)
	for _, l := range a.borrowed {
		if !l.until.Before(end) {
			units += l.units
		}
	}
	return units
}

func (a *Quota) usableOwned(now, end time.Time) int {
	units := 0
	if !now.Before(a.owned.from) && !a.owned.until.Before(end) {
		units = a.owned.units
	}
	for _, l := range a.lent {
		units -= l.units
	}
	return units
}

func (a *Quota) expire(now time.Time) {
	if !a.terms.ExplicitRelease {
		a.holds.expire(now)
	}
	for borrower, l := range a.lent {
		if !now.Before(l.until) {
			delete(a.lent, borrower)
		}
	}
	for lender, l := range a.borrowed {
		if !now.Before(l.until) {
			delete(a.borrowed, lender)
		}
	}
}

// miss counts refused units as demand, in periods of missedFor.
func (a *Quota) miss(now time.Time, units int) {
	period := now.Truncate(missedFor)
	if a.missed[1].period != period {
		a.missed[0], a.missed[1] = a.missed[1], misses{period: period}
	}
	a.missed[1].units += units
}

func (a *Quota) missedUnits(now time.Time) int {
	most := 0
	for _, m := range a.missed {
		if now.Sub(m.period) < 2*missedFor {
			most = max(most, m.units)
		}
	}
	return most
}
