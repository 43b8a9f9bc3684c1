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
	// groupFleet is the group of limits that all daemons share.
	groupFleet = "fleet"
	// limitsPeriod is the time between two looks at the demand.
	limitsPeriod = 250 * time.Millisecond
	// borrowTimeout bounds one question to a peer, borrowWait the wait of a
	// request for units.
	borrowTimeout = time.Second
	borrowWait    = 300 * time.Millisecond
	// firstWait bounds the wait of a request for the first shares of a group,
	// which are made when the catalogue gets its first limit.
	firstWait = 3 * time.Second
	// borrowPause is the time after a round without a loan in which requests
	// over the limit are refused at once.
	borrowPause = 250 * time.Millisecond
)

// limits keeps this daemon's side of the limits that the fleet shares.
type limits struct {
	d *Daemon

	mu     sync.Mutex
	set    *catalogue.Set
	shares map[string]*shares
	// accounts are never removed, since loans may outlive a limit.
	accounts map[limitID]*account
	seq      uint64
	closed   bool
}

// limitID names a limit. Its group says which daemons share it.
type limitID struct{ group, name string }

// account is one limit with the units it has at the moment, 0 for none.
type account struct {
	*limit.Quota
	id    limitID
	units int

	mu    sync.Mutex
	round chan struct{}
	empty time.Time
}

func newLimits(d *Daemon) *limits {
	l := &limits{d: d, set: catalogue.Empty(), shares: map[string]*shares{}, accounts: map[limitID]*account{}}
	for _, group := range []string{groupFleet, groupRegion(d.self.Region)} {
		l.shares[group] = newShares(d, group)
	}
	return l
}

// rateTerms returns the units and the window of a rate. Over any window at
// most that many requests pass, so that a second sees at most the rate,
// rounded up, and a long time exactly the rate.
func rateTerms(rate float64) (int, limit.UsePolicy) {
	units := math.Ceil(rate)
	return int(units), limit.UsePolicy{MaxDuration: time.Duration(units / rate * float64(time.Second))}
}

func rateID(service string) limitID { return limitID{groupFleet, "rate/" + service} }

func concurrencyID(service string) limitID { return limitID{groupFleet, "concurrency/" + service} }

// update takes a change of the catalogue over. The newest set is loaded
// under the lock, since changes may come at the same moment.
func (l *limits) update(newest func() *catalogue.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.set = newest()
	for _, a := range l.accounts {
		a.units = 0
	}
	for _, s := range l.set.Services() {
		if s.Limits.Rate > 0 {
			units, terms := rateTerms(s.Limits.Rate)
			l.setLimit(rateID(s.Name), units, terms)
		}
		if s.Limits.Concurrency > 0 {
			l.setLimit(concurrencyID(s.Name), s.Limits.Concurrency, limit.UsePolicy{MaxDuration: time.Duration(s.Class.Deadline), ExplicitRelease: true})
		}
	}
	l.setLinks(l.set)
	l.apply()
}

// setLimit sets the units of a limit. An account with other terms starts
// anew once what the old one lent and used is over.
func (l *limits) setLimit(id limitID, units int, terms limit.UsePolicy) {
	held, ok := l.accounts[id]
	if !ok {
		held = &account{Quota: limit.NewQuota(terms), id: id}
		l.accounts[id] = held
	}
	if held.Policy() != terms {
		held = &account{Quota: held.WithPolicy(terms, time.Now()), id: id}
		l.accounts[id] = held
	}
	held.units = units
}

// apply sets what each account owns.
func (l *limits) apply() {
	for id, a := range l.accounts {
		l.shares[id.group].ownership.Apply(a.Quota, a.units)
	}
}

// settled reports whether no account of a group uses or lends more than it
// owns.
func (l *limits) settled(group string, now time.Time) bool {
	for id, a := range l.accounts {
		if id.group == group && !a.Covered(now) {
			return false
		}
	}
	return true
}

func (l *limits) account(id limitID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[id]; a != nil && a.units > 0 {
		return a
	}
	return nil
}

func (l *limits) unitsOf(a *account) int {
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
	if a := l.account(concurrencyID(req.Service)); a != nil {
		end := req.Deadline
		if !l.take(ctx, a, func() bool { return a.Acquire(time.Now(), 1, end) }) {
			return nil, l.refuse(a)
		}
		release = func(outcome request.Outcome) { a.releaseAfter(outcome, end) }
	}
	if a := l.account(rateID(req.Service)); a != nil {
		if !l.take(ctx, a, func() bool { return a.takeRate(time.Now()) }) {
			release(request.OutcomeNotRun)
			return nil, l.refuse(a)
		}
	}
	return release, nil
}

// releaseAfter gives the unit of a request back. One with an unknown outcome
// may run on until its deadline.
func (a *account) releaseAfter(outcome request.Outcome, end time.Time) {
	if outcome == request.OutcomeUnknown {
		time.AfterFunc(time.Until(end), func() { a.Release(1, end) })
		return
	}
	a.Release(1, end)
}

func (l *limits) refuse(a *account) error {
	l.d.metrics.limitRefused.Add(1)
	return &LimitError{Limit: a.id.name}
}

func (a *account) takeRate(now time.Time) bool {
	return a.Acquire(now, 1, now.Add(a.Policy().MaxDuration))
}

// take takes units, and asks peers for more if there are too few.
func (l *limits) take(ctx context.Context, a *account, take func() bool) bool {
	if take() {
		return true
	}
	l.awaitShares(ctx, a.id.group)
	round := l.borrowRound(a)
	if round == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowWait)
	defer cancel()
	select {
	case <-round:
	case <-ctx.Done():
	}
	return take()
}

// borrowRound returns a channel that is closed when peers were asked, or nil
// if they had nothing to lend a short time ago.
func (l *limits) borrowRound(a *account) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.round != nil {
		return a.round
	}
	if time.Since(a.empty) < borrowPause {
		return nil
	}
	round := make(chan struct{})
	a.round = round
	go func() {
		got := l.borrow(a)
		a.endRound(got)
		close(round)
	}()
	return round
}

func (a *account) endRound(got int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.round = nil
	if got == 0 {
		a.empty = time.Now()
	}
}

// borrow asks peers in turn until the demand is covered, and returns the
// units they lent.
func (l *limits) borrow(a *account) int {
	l.giveBack(a)
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

// giveBack gives units back that the demand does not need.
func (l *limits) giveBack(a *account) {
	left := a.ReturnSurplus(time.Now())
	for _, lender := range l.lenders(a) {
		want, ok := left[lender.member.Incarnation]
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		if _, err := l.ask(ctx, a, lender, want); err != nil {
			l.d.log.Debug().Str("event", "limit.not-given-back").Str("limit", a.id.name).Str("peer", lender.member.ID).Err(err).Send()
		}
		cancel()
	}
}

// borrowFrom returns the units that a peer lent for longer than before.
func (l *limits) borrowFrom(a *account, lender lender, deficit int) int {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	asked := time.Now()
	want := a.PrepareRequest(asked, lender.member.Incarnation, deficit)
	out, err := l.ask(ctx, a, lender, want)
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
	a := l.accounts[limitID{in.Group, in.Limit}]
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
			if l.wanted(s.group) {
				l.keepShares(ctx, s)
			}
		}
		for _, a := range l.unbalanced() {
			l.borrowRound(a)
		}
		sleep.For(ctx, limitsPeriod)
	}
	return nil
}

// wanted reports whether the catalogue has had a limit of the group. Without
// one nothing is kept in the platform.
func (l *limits) wanted(group string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.accounts {
		if id.group == group {
			return true
		}
	}
	return false
}

// unbalanced returns the accounts whose demand needs more or fewer units.
func (l *limits) unbalanced() []*account {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*account
	for _, a := range l.accounts {
		if a.units > 0 && (a.Deficit(time.Now()) > 0 || len(a.Lenders(time.Now())) > 0) {
			out = append(out, a)
		}
	}
	return out
}

// takeShares takes shares over that a peer read or wrote.
func (l *limits) takeShares(facts []spread.Fact) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range facts {
		s := l.shares[f.ID.Key]
		if s == nil {
			continue
		}
		if err := s.adopt(f.Version, f.Body); err != nil {
			l.d.log.Error().Str("event", "limits.invalid").Str("group", f.ID.Key).Err(err).Send()
		}
	}
	l.apply()
}

// leave tells the platform that others may have what this daemon owned once
// its loans are over. It does not hold a stop up.
func (l *limits) leave(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	var end time.Time
	now := time.Now()
	for _, a := range l.accounts {
		if until := now.Add(a.Policy().LoanDuration()); until.After(end) {
			end = until
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sharesTimeout)
	defer cancel()
	for _, s := range l.shares {
		if err := l.leaveShares(ctx, s, end); err != nil {
			l.d.log.Warn().Str("event", "limits.not-left").Str("group", s.group).Err(err).Send()
		}
	}
	return nil
}
