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
	// limitsInterval is the time between two looks at the demand.
	limitsInterval = 250 * time.Millisecond
	// borrowTimeout bounds one question to a peer, borrowWait the wait of a
	// request for units.
	borrowTimeout = time.Second
	maxBorrowWait = 300 * time.Millisecond
	// firstSharesTimeout bounds the wait of a request for the first shares of a group,
	// which are made when the catalogue gets its first limit.
	firstSharesTimeout = 3 * time.Second
	// borrowBackoff is the time after a round without a loan in which requests
	// over the limit are refused at once.
	borrowBackoff = 250 * time.Millisecond
)

// limits keeps this daemon's side of the limits that the fleet shares.
type limits struct {
	d *Daemon

	mu     sync.Mutex
	set    *catalogue.Set
	shares map[string]*groupShares
	// quotas are never removed, since loans may outlive a limit.
	quotas map[limitID]*sharedQuota
	seq    uint64
	closed bool
}

// limitID names a limit. Its group says which daemons share it.
type limitID struct{ group, name string }

// sharedQuota is one limit with the units it has at the moment, 0 for none.
type sharedQuota struct {
	*limit.Quota
	id    limitID
	units int

	mu             sync.Mutex
	borrowRound    chan struct{}
	lastEmptyRound time.Time
}

func newLimits(d *Daemon) *limits {
	l := &limits{d: d, set: catalogue.Empty(), shares: map[string]*groupShares{}, quotas: map[limitID]*sharedQuota{}}
	for _, group := range []string{fleetGroup, regionGroup(d.self.Region)} {
		l.shares[group] = newGroupShares(d, group)
	}
	return l
}

// ratePolicy returns the units and the window of a rate. Over any window at
// most that many requests pass, so that a second sees at most the rate,
// rounded up, and a long time exactly the rate.
func ratePolicy(rate float64) (int, limit.UsePolicy) {
	units := math.Ceil(rate)
	return int(units), limit.UsePolicy{MaxDuration: time.Duration(units / rate * float64(time.Second))}
}

func rateLimitID(service string) limitID { return limitID{fleetGroup, "rate/" + service} }

func concurrencyLimitID(service string) limitID { return limitID{fleetGroup, "concurrency/" + service} }

// update takes a change of the catalogue over. The newest set is loaded
// under the lock, since changes may come at the same moment.
func (l *limits) update(newest func() *catalogue.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set = newest()
	for _, a := range l.quotas {
		a.units = 0
	}
	for _, s := range l.set.Services() {
		if s.Limits.Rate > 0 {
			units, terms := ratePolicy(s.Limits.Rate)
			l.setLimit(rateLimitID(s.Name), units, terms)
		}
		if s.Limits.Concurrency > 0 {
			l.setLimit(concurrencyLimitID(s.Name), s.Limits.Concurrency, limit.UsePolicy{MaxDuration: time.Duration(s.Class.Deadline), ExplicitRelease: true})
		}
	}
	l.setLinkLimits(l.set)
	l.applyOwnership()
}

// setLimit sets the units of a limit. An account with other terms starts
// anew once what the old one lent and used is over.
func (l *limits) setLimit(id limitID, units int, terms limit.UsePolicy) {
	held, ok := l.quotas[id]
	if !ok {
		held = &sharedQuota{Quota: limit.NewQuota(terms), id: id}
		l.quotas[id] = held
	}
	if held.Policy() != terms {
		held = &sharedQuota{Quota: held.WithPolicy(terms, time.Now()), id: id}
		l.quotas[id] = held
	}
	held.units = units
}

// applyOwnership sets what each account owns.
func (l *limits) applyOwnership() {
	for id, a := range l.quotas {
		l.shares[id.group].ownership.Apply(a.Quota, a.units)
	}
}

// usesCovered reports whether no account of a group uses or lends more than it
// owns.
func (l *limits) usesCovered(group string, now time.Time) bool {
	for id, a := range l.quotas {
		if id.group == group && !a.Covered(now) {
			return false
		}
	}
	return true
}

func (l *limits) account(id limitID) *sharedQuota {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.quotas[id]; a != nil && a.units > 0 {
		return a
	}
	return nil
}

func (l *limits) unitsOf(a *sharedQuota) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.units
}

// LimitError says which limit a request is over.
type LimitError struct{ Limit string }

func (e *LimitError) Error() string { return "over the limit " + e.Limit }

// admit takes what a request uses of its service's limits, or returns a
// *LimitError. The end of the request gives it back by release.
func (l *limits) admit(ctx context.Context, set *catalogue.Set, req *request.Request) (release func(request.Outcome), err error) {
	service := set.Service(req.Service)
	if service == nil || service.Limits == (catalogue.Limits{}) {
		return func(request.Outcome) {}, nil
	}
	release = func(request.Outcome) {}
	if a := l.account(concurrencyLimitID(req.Service)); a != nil {
		end := req.Deadline
		if !l.take(ctx, a, func() bool { return a.Acquire(time.Now(), 1, end) }) {
			return nil, l.refuse(a)
		}
		release = func(outcome request.Outcome) { a.releaseRequest(outcome, end) }
	}
	if a := l.account(rateLimitID(req.Service)); a != nil {
		if !l.take(ctx, a, func() bool { return a.acquireRate(time.Now()) }) {
			release(request.OutcomeNotRun)
			return nil, l.refuse(a)
		}
	}
	return release, nil
}

// releaseRequest gives the unit of a request back. One with an unknown outcome
// may run on until its deadline.
func (a *sharedQuota) releaseRequest(outcome request.Outcome, end time.Time) {
	if outcome == request.OutcomeUnknown {
		time.AfterFunc(time.Until(end), func() { a.Release(1, end) })
		return
	}
	a.Release(1, end)
}

func (l *limits) refuse(a *sharedQuota) error {
	l.d.metrics.limitRefused.Add(1)
	return &LimitError{Limit: a.id.name}
}

func (a *sharedQuota) acquireRate(now time.Time) bool {
	return a.Acquire(now, 1, now.Add(a.Policy().MaxDuration))
}

// take takes units, and asks peers for more if there are too few.
func (l *limits) take(ctx context.Context, a *sharedQuota, take func() bool) bool {
	if take() {
		return true
	}
	l.awaitShares(ctx, a.id.group)
	round := l.startBorrowRound(a)
	if round == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, maxBorrowWait)
	defer cancel()
	select {
	case <-round:
	case <-ctx.Done():
	}
	return take()
}

// startBorrowRound returns a channel that is closed when peers were asked, or nil
// if they had nothing to lend a short time ago.
func (l *limits) startBorrowRound(a *sharedQuota) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.borrowRound != nil {
		return a.borrowRound
	}
	if time.Since(a.lastEmptyRound) < borrowBackoff {
		return nil
	}
	round := make(chan struct{})
	a.borrowRound = round
	go func() {
		got := l.borrow(a)
		a.endBorrowRound(got)
		close(round)
	}()
	return round
}

func (a *sharedQuota) endBorrowRound(got int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrowRound = nil
	if got == 0 {
		a.lastEmptyRound = time.Now()
	}
}

// borrow asks peers in turn until the demand is covered, and returns the
// units they lent.
func (l *limits) borrow(a *sharedQuota) int {
	l.returnSurplus(a)
	got := 0
	deficit := a.Deficit(time.Now())
	for _, lender := range l.lenders(a) {
		if deficit <= 0 {
			break
		}
		lent := l.borrowFrom(a, lender, deficit)
		deficit -= lent
		got += lent
	}
	l.d.metrics.unitsBorrowed.Add(int64(got))
	return got
}

// returnSurplus gives units back that the demand does not need.
func (l *limits) returnSurplus(a *sharedQuota) {
	left := a.ReturnSurplus(time.Now())
	for _, lender := range l.lenders(a) {
		want, ok := left[lender.member.Incarnation]
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		if _, err := l.callBorrow(ctx, a, lender, want); err != nil {
			l.d.log.Debug().Str("event", "limit.not-given-back").Str("limit", a.id.name).Str("peer", lender.member.ID).Err(err).Send()
		}
		cancel()
	}
}

// borrowFrom returns the units that a peer lent for longer than before.
func (l *limits) borrowFrom(a *sharedQuota, lender lender, deficit int) int {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	asked := time.Now()
	want := a.PrepareRequest(asked, lender.member.Incarnation, deficit)
	out, err := l.callBorrow(ctx, a, lender, want)
	if err != nil {
		l.d.log.Debug().Str("event", "limit.not-borrowed").Str("limit", a.id.name).Str("peer", lender.member.ID).Err(err).Send()
		return 0
	}
	if !out.Renewed {
		return 0
	}
	a.RecordLoan(lender.member.Incarnation, out.Units, asked.Add(out.TTL))
	l.d.log.Debug().Str("event", "limit.borrowed").Str("limit", a.id.name).Str("peer", lender.member.ID).Int("units", out.Units).Send()
	return max(0, out.Units-(want-deficit))
}

func (l *limits) nextSeq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	return l.seq
}

// answerBorrow lends units to a peer. Of a limit that this daemon does not
// know it owns nothing.
func (l *limits) answerBorrow(_ context.Context, _ string, in *wire.Borrow) (*wire.BorrowReply, error) {
	l.mu.Lock()
	a := l.quotas[limitID{in.Group, in.Limit}]
	closed := l.closed
	l.mu.Unlock()
	if a == nil || closed {
		return &wire.BorrowReply{}, nil
	}
	units, extended := a.Lend(time.Now(), in.Borrower, in.Seq, in.Want)
	return &wire.BorrowReply{Units: units, Renewed: extended, TTL: a.Policy().LoanDuration()}, nil
}

// follow keeps ownership and loans up to date until ctx ends.
func (l *limits) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, s := range l.shares {
			if l.hasQuotas(s.group) {
				l.syncShares(ctx, s)
			}
		}
		for _, a := range l.unbalanced() {
			l.startBorrowRound(a)
		}
		sleep.For(ctx, limitsInterval)
	}
	return nil
}

// hasQuotas reports whether the catalogue has had a limit of the group. Without
// one nothing is kept in the platform.
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

// unbalanced returns the accounts whose demand needs more or fewer units.
func (l *limits) unbalanced() []*sharedQuota {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*sharedQuota
	for _, a := range l.quotas {
		if a.units > 0 && (a.Deficit(time.Now()) > 0 || len(a.Lenders(time.Now())) > 0) {
			out = append(out, a)
		}
	}
	return out
}

// applyShareFacts takes shares over that a peer read or wrote.
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

// leave tells the platform that others may have what this daemon owned once
// its loans are over. It does not hold a stop up.
func (l *limits) leave(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	var end time.Time
	now := time.Now()
	for _, a := range l.quotas {
		if until := now.Add(a.Policy().LoanDuration()); until.After(end) {
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
