package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxRoom is the longest time after which a caller is told to come back.
	maxRoom = 2 * time.Second
	// emptyPeriod is how long a daemon whose parent had no units, or did not reply, does
	// not ask for a single request again.
	emptyPeriod = 100 * time.Millisecond
	// emptyReplyPeriod is how long a daemon does not hold up a reply for an organisation
	// for which other daemons had no units. Its children's other organisations would
	// wait as long.
	emptyReplyPeriod = time.Second
	// maxWants bounds the organisations of one call.
	maxWants = 64
	// maxUnits bounds the units of one organisation in a call.
	maxUnits = 1 << 20
)

// Unit is the right to run one request.
type Unit struct{ until time.Time }

// Verdict says whether a request may run.
type Verdict struct {
	Admitted bool
	Unit     Unit
	// Ask means that the parent may have units: ask it and take again.
	Ask bool
	// Room is the time until there is room if the request is not admitted.
	Room time.Duration
}

// Ledger decides about the requests of one daemon. It is safe for concurrent use.
type Ledger struct {
	bounds  Bounds
	process string
	// limit returns the quota of an organisation, or a zero Limit.
	limit func(organisation string) Limit

	mu       sync.Mutex
	holding  holding
	start    start
	accounts map[string]*account
	// parent is the daemon that is asked, and echo the mark of its latest reply, received
	// at echoAt.
	parent string
	echo   Mark
	echoAt time.Time
	// holder is the process to which the parts were handed last. An earlier process of
	// the same daemon may have handed them on.
	holder string
	// failedAt is when no daemon that was asked replied.
	failedAt time.Time
	// granted counts the units given to other daemons.
	granted int
}

// New returns the ledger of a process that starts now.
func New(process string, bounds Bounds, limit func(organisation string) Limit, now time.Time) *Ledger {
	return &Ledger{
		bounds: bounds, process: process, limit: limit, accounts: map[string]*account{},
		holding: holding{started: now, aloneAt: now, periodStart: now, children: map[string]handed{}},
	}
}

// SetDaemons sets the number of daemons and whether this one is among them.
func (l *Ledger) SetDaemons(count int, listed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding.setCount(count, listed, now)
}

// EarlierProcessEnded records that an earlier process of the host has ended by now.
func (l *Ledger) EarlierProcessEnded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.holding.aloneAt) {
		l.holding.aloneAt = now
	}
}

// LimitsChanged applies changed quotas. Units of earlier quotas are dropped where the
// quota has become lower.
func (l *Ledger) LimitsChanged(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.holding.held(now)
	for name, a := range l.accounts {
		limit := l.limit(name)
		if limit.RatePerSecond <= 0 {
			delete(l.accounts, name)
			continue
		}
		a.issue(held, now)
		next := planFor(limit, l.bounds)
		if next.perSecond < a.plan.perSecond || next.saved < a.plan.saved {
			a.stock = nil
		}
		a.plan = next
	}
}

// Take takes a unit for a request. canAsk says whether the daemon has a parent that
// may be asked.
func (l *Ledger) Take(organisation string, canAsk bool, now time.Time) Verdict {
	return l.take(organisation, canAsk, 1, now)
}

// TakeAgain takes a unit for a request for which the parent was asked.
func (l *Ledger) TakeAgain(organisation string, now time.Time) Verdict {
	return l.take(organisation, false, 0, now)
}

func (l *Ledger) take(organisation string, canAsk bool, demand int, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.holding.held(now)
	a := l.account(organisation, held, now)
	if a == nil {
		return Verdict{Admitted: true}
	}
	a.recordDemand(demand, now)
	units, until := a.take(1, now)
	if units > 0 {
		return Verdict{Admitted: true, Unit: Unit{until}}
	}
	room := a.room(held, now)
	if canAsk && now.Sub(a.emptyAt) >= emptyPeriod && now.Sub(l.failedAt) >= emptyPeriod {
		a.waiting++
		return Verdict{Ask: true, Room: room}
	}
	return Verdict{Room: room}
}

// Return gives back the unit of a request that has not run.
func (l *Ledger) Return(organisation string, u Unit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(organisation, l.holding.held(now), now); a != nil && now.Before(u.until) {
		a.add(1, u.until)
	}
}

// account returns the account of an organisation at a daemon that holds held parts, or nil
// if the organisation has no quota.
func (l *Ledger) account(organisation string, held float64, now time.Time) *account {
	a := l.accounts[organisation]
	if a == nil {
		limit := l.limit(organisation)
		if limit.RatePerSecond <= 0 {
			return nil
		}
		a = l.newAccount(limit, held, now)
		l.accounts[organisation] = a
	}
	a.issue(held, now)
	return a
}

// newAccount returns the account of an organisation without demand until now.
func (l *Ledger) newAccount(limit Limit, held float64, now time.Time) *account {
	a := &account{plan: planFor(limit, l.bounds), issuedAt: now, issuedFrom: held, demandAt: now}
	steady := l.holding.steady()
	a.saved = min(a.plan.mostSaved(steady), a.plan.perSecond*steadyPeriod.Seconds()*steady)
	return a
}

// Peek returns how many units of an organisation's quota the daemon has for requests now,
// without asking others. It takes none.
func (l *Ledger) Peek(organisation string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.holding.held(now)
	a := l.accounts[organisation]
	if a == nil {
		a = l.newAccount(l.limit(organisation), held, now)
	}
	a.issue(held, now)
	return a.units(now) + int(a.saved)
}

// NewCall returns the next call to a parent. The call must be sent now, and its reply
// passed to Apply.
func (l *Ledger) NewCall(parent string, now time.Time) *Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := &Call{parent: parent}
	if l.parent != parent {
		l.parent, l.echo = parent, Mark{}
	}
	call.Wants = l.wants(now, func(a *account) int { return a.want(now) })
	elsewhere := l.holder != l.echo.Process && now.Before(l.holding.awayUntil)
	if l.echo == (Mark{}) || elsewhere {
		return call
	}
	// The parent's clock has advanced by as much since.
	call.Echo = Mark{l.echo.Process, l.echo.Clock + now.Sub(l.echoAt)}
	call.Parts, call.PartsFor = l.holding.handOver(now)
	if call.Parts > 0 {
		l.holder = l.echo.Process
		l.holding.giveAway(now.Add(call.PartsFor))
		for _, a := range l.accounts {
			a.issue(0, now)
		}
	}
	return call
}

// NewSpareCall returns a call to another issuer, or nil if no units are missing.
func (l *Ledger) NewSpareCall(now time.Time) *Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.holding.held(now)
	wants := l.wants(now, func(a *account) int { return a.deficit(held, now) })
	if len(wants) == 0 {
		return nil
	}
	return &Call{Spare: true, Wants: wants}
}

func (l *Ledger) wants(now time.Time, want func(*account) int) []Want {
	var wants []Want
	held := l.holding.held(now)
	for name, a := range l.accounts {
		a.issue(held, now)
		if n := want(a); n > 0 {
			wants = append(wants, Want{name, n})
		} else {
			l.forgetIdle(name, a, held, now)
		}
	}
	if len(wants) > maxWants {
		slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(b.Units, a.Units) })
		wants = wants[:maxWants]
	}
	for _, w := range wants {
		a := l.accounts[w.Organisation]
		a.calledFor, a.waiting = a.waiting, 0
	}
	return wants
}

// forgetIdle forgets an account that holds nothing and that a new one would equal.
func (l *Ledger) forgetIdle(name string, a *account, held float64, now time.Time) {
	full := a.saved >= a.plan.mostSaved(held) || held == 0
	if full && now.Sub(a.askedAt) > idlePeriod && a.units(now) == 0 {
		delete(l.accounts, name)
	}
}

// Handle answers a child's call. short says that the child got fewer units than it
// asked for, so that Fill may add some once this daemon's own parent has answered.
func (l *Ledger) Handle(child string, call *Call, now time.Time) (reply *Reply, short bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receiveParts(child, call, now)
	held := l.holding.held(now)
	reply = &Reply{}
	if !l.holding.waits(now) {
		reply.Mark = l.mark(now)
	}
	for _, w := range call.Wants {
		a := l.account(w.Organisation, held, now)
		if a == nil || w.Units <= 0 {
			continue
		}
		w.Units = min(w.Units, maxUnits)
		if call.Spare {
			available := min(w.Units, a.spare(held, now))
			reply.Grants = append(reply.Grants, l.grant(Want{w.Organisation, available}, a, held, now))
			continue
		}
		a.recordDemand(w.Units, now)
		g := l.grant(w, a, held, now)
		if g.Units < w.Units {
			a.waiting += w.Units - g.Units
			short = short || now.Sub(a.emptyAt) >= emptyReplyPeriod
		}
		reply.Grants = append(reply.Grants, g)
	}
	return reply, short
}

// Fill adds units to a reply that had too few.
func (l *Ledger) Fill(call *Call, reply *Reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.holding.held(now)
	missing := make(map[string]int, len(call.Wants))
	for _, w := range call.Wants {
		missing[w.Organisation] = w.Units
	}
	for i, g := range reply.Grants {
		a := l.account(g.Organisation, held, now)
		n := missing[g.Organisation] - g.Units
		if a == nil || n <= 0 {
			continue
		}
		more := l.grant(Want{g.Organisation, n}, a, held, now)
		if g.Units == 0 {
			reply.Grants[i] = more
		} else if more.Units > 0 {
			reply.Grants[i].Units += more.Units
			reply.Grants[i].Life = min(g.Life, more.Life)
		}
	}
}

func (l *Ledger) grant(w Want, a *account, held float64, now time.Time) Grant {
	units, until := a.take(w.Units, now)
	l.granted += units
	g := Grant{Organisation: w.Organisation, Units: units}
	if units > 0 {
		g.Life = until.Sub(now)
	}
	if units < w.Units {
		g.Room = a.room(held, now)
	}
	return g
}

func (l *Ledger) mark(now time.Time) Mark { return Mark{l.process, now.Sub(l.holding.started)} }

func (l *Ledger) receiveParts(child string, call *Call, now time.Time) {
	if call.Echo.Process != l.process || call.Parts < 0 || call.Parts > 1 {
		return
	}
	sent := l.holding.started.Add(call.Echo.Clock)
	if sent.After(now) {
		sent = now
	}
	until := sent.Add(min(call.PartsFor, ownPartsFor) - clockMargin)
	l.holding.children[child] = handed{call.Parts, until}
}

// Apply records the reply to a call that was sent at the given time.
func (l *Ledger) Apply(call *Call, reply *Reply, sent, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A silent parent may reply when the next one has been asked.
	if !call.Spare && call.parent == l.parent {
		l.echo, l.echoAt = reply.Mark, now
	}
	held := l.holding.held(now)
	for _, g := range reply.Grants {
		a := l.account(g.Organisation, held, now)
		if a == nil {
			continue
		}
		if until := sent.Add(min(g.Life, a.plan.life)); g.Units > 0 && now.Before(until) {
			a.add(g.Units, until)
			a.emptyAt = time.Time{}
		}
		a.roomAt = now.Add(min(g.Room, maxRoom))
		if g.Units == 0 {
			a.emptyAt = now
		}
	}
}

// Fail records that a call got no reply. The next call asks for its units too. It hands
// over no parts, so that they come back if the parent stays unreachable.
func (l *Ledger) Fail(call *Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.echo = Mark{}
	for _, w := range call.Wants {
		if a := l.accounts[w.Organisation]; a != nil {
			a.waiting += a.calledFor
			a.calledFor = 0
		}
	}
}

// RoundFailed records that no daemon that was asked replied. No request waits any longer.
func (l *Ledger) RoundFailed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = now
	for _, a := range l.accounts {
		a.waiting = 0
	}
}

// Held returns the parts from which the daemon issues units, from 0 to 1.
func (l *Ledger) Held(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.held(now)
}

// Granted returns the number of units given to other daemons since the start.
func (l *Ledger) Granted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted
}

// Stock returns the units in stock for all organisations.
func (l *Ledger) Stock(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, a := range l.accounts {
		sum += a.units(now)
	}
	return sum
}
