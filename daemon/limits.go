package daemon

import (
	"context"
	"math"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/limit"
	"bilberrytiller.example/tiller/coordination/spread"
	"bilberrytiller.example/tiller/internal/sleep"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
)

const (
	// fleetGroup is the group of limits that all daemons share.
	fleetGroup = "fleet"
	// limitsCheckPeriod is how often the shares and the demand are checked.
	limitsCheckPeriod = 250 * time.Millisecond
	// borrowTimeout is the timeout of one call to borrow units from a peer.
	borrowTimeout = time.Second
	// borrowWaitTimeout is how long a request waits for borrowed units.
	borrowWaitTimeout = 300 * time.Millisecond
	// firstSharesTimeout is how long a request waits for the first shares of a
	// group, which are created when the catalogue gets its first limit.
	firstSharesTimeout = 3 * time.Second
	// borrowBackoff is the time after a round of borrowing without a loan in
	// which requests over the limit are refused immediately.
	borrowBackoff = 250 * time.Millisecond
)

// limits manages this daemon's part of the limits that the daemons share.
type limits struct {
	d       *Daemon
	started time.Time

	mu     sync.Mutex
	set    *catalogue.Set
	shares map[string]*groupShares
	// quotas are never removed, since loans may outlive a limit.
	quotas map[limitID]*sharedQuota
	// seq is the sequence number of the last call to borrow units.
	seq uint64
	// closed is true once the shares are being released at a stop. Then this
	// daemon lends nothing and plans no changes of the shares.
	closed bool
}

// limitID identifies a limit. Its group determines which daemons share it.
type limitID struct{ group, name string }

// sharedQuota is this daemon's quota of one limit.
type sharedQuota struct {
	*limit.Quota
	id limitID
	// units is the current size of the whole limit, or 0 if the limit does not
	// exist. It is guarded by the lock of limits.
	units int

	mu sync.Mutex
	// borrowRound is closed when the active round of borrowing ends. It is nil
	// if no round is active.
	borrowRound chan struct{}
	// lastEmptyRound is the end of the last round in which no peer lent units.
	lastEmptyRound time.Time
}

func newLimits(d *Daemon) *limits {
	l := &limits{d: d, started: time.Now(), set: catalogue.Empty(), shares: map[string]*groupShares{}, quotas: map[limitID]*sharedQuota{}}
	for _, group := range []string{fleetGroup, regionGroup(d.self.Region)} {
		l.shares[group] = newGroupShares(d, group)
	}
	return l
}

// ratePolicy returns the units and the window of a rate. At most that many
// requests pass in any window, so that in any second at most the rate, rounded
// up, passes, and on average exactly the rate.
func ratePolicy(rate float64) (int, limit.UsePolicy) {
	units := math.Ceil(rate)
	return int(units), limit.UsePolicy{MaxDuration: time.Duration(units / rate * float64(time.Second))}
}

func rateLimitID(service string) limitID { return limitID{fleetGroup, "rate/" + service} }

func concurrencyLimitID(service string) limitID { return limitID{fleetGroup, "concurrency/" + service} }

// update applies a change of the catalogue. It loads the newest set under the
// lock, since changes can be concurrent.
func (l *limits) update(newest func() *catalogue.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set = newest()
	for _, q := range l.quotas {
		q.units = 0
	}
	for _, s := range l.set.Services() {
		if s.Limits.Rate > 0 {
			units, policy := ratePolicy(s.Limits.Rate)
			l.setLimit(rateLimitID(s.Name), units, policy)
		}
		if s.Limits.Concurrency > 0 {
			l.setLimit(concurrencyLimitID(s.Name), s.Limits.Concurrency, limit.RequestPolicy(time.Duration(s.Class.Deadline)))
		}
	}
	l.setLinkLimits(l.set)
	l.applyOwnership()
}

// setLimit sets the units of a limit. A quota with another policy replaces the
// old one, and may be used only when the loans and uses of the old one are
// over. The lock must be held.
func (l *limits) setLimit(id limitID, units int, policy limit.UsePolicy) {
	quota, ok := l.quotas[id]
	if !ok {
		quota = &sharedQuota{Quota: limit.NewQuota(policy), id: id}
		l.quotas[id] = quota
	}
	if quota.Policy() != policy {
		quota = &sharedQuota{Quota: quota.WithPolicy(policy, time.Now()), id: id}
		l.quotas[id] = quota
	}
	quota.units = units
}

// applyOwnership sets the units that each quota owns. The lock must be held.
func (l *limits) applyOwnership() {
	for id, q := range l.quotas {
		l.shares[id.group].ownership.Apply(q.Quota, q.units)
	}
}

// usesCovered reports whether no quota of a group uses or lends more than it
// owns. The lock must be held.
func (l *limits) usesCovered(group string, now time.Time) bool {
	for id, q := range l.quotas {
		if id.group == group && !q.Covered(now) {
			return false
		}
	}
	return true
}

// activeQuota returns the quota of a limit, or nil if no such limit is in
// force.
func (l *limits) activeQuota(id limitID) *sharedQuota {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.quotas[id]; q != nil && q.units > 0 {
		return q
	}
	return nil
}

func (l *limits) unitsOf(q *sharedQuota) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return q.units
}

// LimitError reports the limit that a request exceeds.
type LimitError struct{ Limit string }

func (e *LimitError) Error() string { return "over the limit " + e.Limit }

// admit acquires the units that a request uses of its service's limits, or
// returns a *LimitError. release must be called with the outcome when the
// request ends.
func (l *limits) admit(ctx context.Context, set *catalogue.Set, req *request.Request) (release func(request.Outcome), err error) {
	service := set.Service(req.Service)
	if service == nil || service.Limits == (catalogue.Limits{}) {
		return func(request.Outcome) {}, nil
	}
	release = func(request.Outcome) {}
	if q := l.activeQuota(concurrencyLimitID(req.Service)); q != nil {
		end := q.Policy().RequestEnd(req.Deadline)
		if !l.acquireOrBorrow(ctx, q, func() bool { return q.Acquire(time.Now(), 1, end) }) {
			return nil, l.refuse(q)
		}
		release = func(outcome request.Outcome) { q.releaseRequest(outcome, end) }
	}
	if q := l.activeQuota(rateLimitID(req.Service)); q != nil {
		if !l.acquireOrBorrow(ctx, q, func() bool { return q.acquireRate(time.Now()) }) {
			release(request.OutcomeNotRun)
			return nil, l.refuse(q)
		}
	}
	return release, nil
}

// releaseRequest releases the unit of a request. A request with an unknown
// outcome may run until end, so its unit is released only then.
func (q *sharedQuota) releaseRequest(outcome request.Outcome, end time.Time) {
	if outcome == request.OutcomeUnknown {
		time.AfterFunc(time.Until(end), func() { q.Release(1, end) })
		return
	}
	q.Release(1, end)
}

// refuse counts a request over a limit and returns its error.
func (l *limits) refuse(q *sharedQuota) error {
	l.d.metrics.limitRefused.Add(1)
	return &LimitError{Limit: q.id.name}
}

// acquireRate acquires a unit of a rate, which is in use for one window.
func (q *sharedQuota) acquireRate(now time.Time) bool {
	return q.Acquire(now, 1, now.Add(q.Policy().MaxDuration))
}

// acquireOrBorrow acquires units. If there are too few, it borrows more from
// peers and tries once more.
func (l *limits) acquireOrBorrow(ctx context.Context, q *sharedQuota, acquire func() bool) bool {
	if acquire() {
		return true
	}
	l.awaitShares(ctx, q.id.group)
	round := l.startBorrowRound(q)
	if round == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowWaitTimeout)
	defer cancel()
	select {
	case <-round:
	case <-ctx.Done():
	}
	return acquire()
}

// startBorrowRound starts a round of borrowing unless one is active, and
// returns a channel that is closed when the round has ended. It returns nil if
// peers had nothing to lend in a round that ended less than borrowBackoff ago.
func (l *limits) startBorrowRound(q *sharedQuota) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.borrowRound != nil {
		return q.borrowRound
	}
	if time.Since(q.lastEmptyRound) < borrowBackoff {
		return nil
	}
	round := make(chan struct{})
	q.borrowRound = round
	go func() {
		borrowed := l.borrow(q)
		q.endBorrowRound(borrowed)
		close(round)
	}()
	return round
}

func (q *sharedQuota) endBorrowRound(borrowed int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.borrowRound = nil
	if borrowed == 0 {
		q.lastEmptyRound = time.Now()
	}
}

// borrow asks peers one after the other until the demand is covered, and
// returns the number of units that they lent.
func (l *limits) borrow(q *sharedQuota) int {
	l.returnSurplus(q)
	borrowed := 0
	deficit := q.Deficit(time.Now())
	for _, lender := range l.lenders(q) {
		if deficit <= 0 {
			break
		}
		lent := l.borrowFrom(q, lender, deficit)
		deficit -= lent
		borrowed += lent
	}
	l.d.metrics.unitsBorrowed.Add(int64(borrowed))
	return borrowed
}

// returnSurplus returns borrowed units that the demand does not need.
func (l *limits) returnSurplus(q *sharedQuota) {
	remaining := q.ReturnSurplus(time.Now())
	for _, lender := range l.lenders(q) {
		want, ok := remaining[lender.member.Incarnation]
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		if _, err := l.callBorrow(ctx, q, lender, want); err != nil {
			l.d.log.Debug().Str("event", "limit.not-given-back").Str("limit", q.id.name).Str("peer", lender.member.ID).Err(err).Send()
		}
		cancel()
	}
}

// borrowFrom asks one peer for units and returns how many it lent in addition.
func (l *limits) borrowFrom(q *sharedQuota, lender lender, deficit int) int {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	asked := time.Now()
	want := q.PrepareRequest(asked, lender.member.Incarnation, deficit)
	out, err := l.callBorrow(ctx, q, lender, want)
	if err != nil {
		l.d.log.Debug().Str("event", "limit.not-borrowed").Str("limit", q.id.name).Str("peer", lender.member.ID).Err(err).Send()
		return 0
	}
	if !out.Renewed {
		return 0
	}
	q.RecordLoan(lender.member.Incarnation, out.Units, asked.Add(out.TTL))
	l.d.log.Debug().Str("event", "limit.borrowed").Str("limit", q.id.name).Str("peer", lender.member.ID).Int("units", out.Units).Send()
	return max(0, out.Units-(want-deficit))
}

func (l *limits) nextSeq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	return l.seq
}

// answerBorrow handles a peer's call to borrow units. This daemon owns nothing
// of a limit that it does not know.
func (l *limits) answerBorrow(_ context.Context, _ string, in *wire.Borrow) (*wire.BorrowReply, error) {
	l.mu.Lock()
	q := l.quotas[limitID{in.Group, in.Limit}]
	closed := l.closed
	l.mu.Unlock()
	if q == nil || closed {
		return &wire.BorrowReply{}, nil
	}
	units, renewed := q.Lend(time.Now(), in.Borrower, in.Seq, in.Want)
	return &wire.BorrowReply{Units: units, Renewed: renewed, TTL: q.Policy().LoanDuration()}, nil
}

// maintain keeps ownership and loans up to date until ctx ends.
func (l *limits) maintain(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, s := range l.shares {
			if l.hasQuotas(s.group) {
				l.syncShares(ctx, s)
			}
		}
		for _, q := range l.unbalancedQuotas() {
			l.startBorrowRound(q)
		}
		sleep.For(ctx, limitsCheckPeriod)
	}
	return nil
}

// hasQuotas reports whether the catalogue has contained a limit of the group
// since this daemon started. Until then nothing is stored in the platform.
func (l *limits) hasQuotas(group string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.quotas {
		if id.group == group {
			return true
		}
	}
	return false
}

// unbalancedQuotas returns the quotas whose demand needs more or fewer units.
func (l *limits) unbalancedQuotas() []*sharedQuota {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*sharedQuota
	for _, q := range l.quotas {
		if q.units > 0 && (q.Deficit(time.Now()) > 0 || len(q.Lenders(time.Now())) > 0) {
			out = append(out, q)
		}
	}
	return out
}

// applyShareFacts applies shares that this daemon or a peer has read or
// written.
func (l *limits) applyShareFacts(facts []spread.Fact) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range facts {
		s := l.shares[f.ID.Key]
		if s == nil {
			continue
		}
		if err := s.update(f.Version, f.Body); err != nil {
			l.d.log.Error().Str("event", "limits.invalid").Str("group", f.ID.Key).Err(err).Send()
		}
	}
	l.applyOwnership()
}

// releaseAllShares records in the platform that other daemons may take over
// the units that this daemon owned once its loans are over. It does not hold
// up a stop: it takes at most sharesTimeout and always returns nil.
func (l *limits) releaseAllShares(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	var end time.Time
	now := time.Now()
	for _, q := range l.quotas {
		if until := now.Add(q.Policy().LoanDuration()); until.After(end) {
			end = until
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sharesTimeout)
	defer cancel()
	for _, s := range l.shares {
		if err := l.releaseShares(ctx, s, end); err != nil {
			l.d.log.Warn().Str("event", "limits.not-left").Str("group", s.group).Err(err).Send()
		}
	}
	return nil
}
