package limit

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that a run can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "4")
	_ = flag.Set("rapid.checks", "4000")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// use is one use of a unit as an observer sees it.
type use struct {
	host int
	end  time.Time
}

type message struct {
	from, to   int
	life       int
	seq        uint64
	want       int
	asked      time.Time
	answer     bool
	units      int
	isExtended bool
}

type node struct {
	id        string
	life      int
	alive     bool
	ownership *Ownership
	account   *Quota
	seq       uint64
	taken     []time.Time
}

// fleet is a fleet with a platform whose messages may be lost or late.
type fleet struct {
	limit   int
	terms   UsePolicy
	now     time.Time
	nodes   []*node
	version uint64
	stored  Shares
	down    bool
	flight  []message
	uses    []use
}

func newFleet(hosts, limit int, terms UsePolicy) *fleet {
	f := &fleet{limit: limit, terms: terms, now: time.Unix(1_000_000, 0)}
	for i := range hosts {
		f.nodes = append(f.nodes, &node{id: fmt.Sprintf("h%d", i)})
		f.start(f.nodes[i])
	}
	return f
}

func (f *fleet) start(n *node) {
	n.life++
	n.alive, n.seq, n.taken = true, 0, nil
	n.ownership = NewOwnership(n.id, n.incarnation())
	n.account = NewQuota(f.terms)
}

func (n *node) incarnation() string { return fmt.Sprintf("%s/%d", n.id, n.life) }

// own does what the daemon does from time to time about its ownership.
func (f *fleet) own(n *node, loseAnswer bool) {
	if !f.down {
		n.ownership.Update(f.version, f.stored, f.now)
	}
	changed := n.ownership.Plan(f.now)
	n.ownership.Apply(n.account, f.limit)
	if planned, version := n.ownership.Planned(); changed && !f.down && version == f.version && n.account.Covered(f.now) {
		f.version++
		f.stored = planned
		if !loseAnswer {
			n.ownership.Update(f.version, f.stored, f.now)
			n.ownership.Apply(n.account, f.limit)
		}
	}
}

func (f *fleet) take(n *node) bool {
	end := f.now.Add(f.terms.MaxDuration)
	if !n.account.Acquire(f.now, 1, end) {
		return false
	}
	n.taken = append(n.taken, end)
	f.uses = append(f.uses, use{host: f.index(n), end: end})
	return true
}

// wait lets time pass.
func (f *fleet) wait(ms int) {
	f.now = f.now.Add(time.Duration(ms) * time.Millisecond)
	f.endDue()
}

func (f *fleet) index(n *node) int {
	for i, each := range f.nodes {
		if each == n {
			return i
		}
	}
	return -1
}

// release ends the oldest use of a node that releases its uses.
func (f *fleet) release(n *node) {
	if !f.terms.ExplicitRelease || len(n.taken) == 0 {
		return
	}
	end := n.taken[0]
	n.taken = n.taken[1:]
	n.account.Release(1, end)
	for i, u := range f.uses {
		if u.host == f.index(n) && u.end.Equal(end) {
			f.uses = append(f.uses[:i], f.uses[i+1:]...)
			return
		}
	}
}

// endDue releases what reached its deadline, also at a paused node.
func (f *fleet) endDue() {
	for _, n := range f.nodes {
		for f.terms.ExplicitRelease && len(n.taken) > 0 && !n.taken[0].After(f.now) {
			f.release(n)
		}
	}
	left := f.uses[:0]
	for _, u := range f.uses {
		if u.end.After(f.now) {
			left = append(left, u)
		}
	}
	f.uses = left
}

func (f *fleet) ask(n *node, lender int) {
	if f.nodes[lender] == n {
		return
	}
	if deficit := n.account.Deficit(f.now); deficit > 0 {
		n.seq++
		want := n.account.PrepareRequest(f.now, f.nodes[lender].id, deficit)
		f.flight = append(f.flight, message{from: f.index(n), to: lender, life: n.life, seq: n.seq, want: want, asked: f.now})
	}
}

func (f *fleet) giveBack(n *node) {
	for lender, want := range n.account.ReturnSurplus(f.now) {
		n.seq++
		to := slices.IndexFunc(f.nodes, func(each *node) bool { return each.id == lender })
		f.flight = append(f.flight, message{from: f.index(n), to: to, life: n.life, seq: n.seq, want: want, asked: f.now})
	}
}

func (f *fleet) deliver(i int) {
	m := f.flight[i]
	f.flight = append(f.flight[:i], f.flight[i+1:]...)
	asker, lender := f.nodes[m.from], f.nodes[m.to]
	switch {
	case m.answer && asker.alive && asker.life == m.life && asker.seq == m.seq && m.isExtended:
		asker.account.RecordLoan(lender.id, m.units, m.asked.Add(f.terms.LoanDuration()))
	case !m.answer && lender.alive:
		m.answer = true
		m.units, m.isExtended = lender.account.Lend(f.now, fmt.Sprintf("%s/%d", asker.id, m.life), m.seq, m.want)
		f.flight = append(f.flight, m)
	}
}

func (f *fleet) check(t *rapid.T) {
	f.endDue()
	if len(f.uses) > f.limit {
		t.Fatalf("%d units in use of %d", len(f.uses), f.limit)
	}
}

// heal brings every node up, delivers every message at once and lets time
// pass until everything lent has lapsed.
func (f *fleet) heal() {
	f.down, f.flight = false, nil
	for _, n := range f.nodes {
		if !n.alive {
			f.start(n)
		}
	}
	for range 100 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.endDue()
		for _, n := range f.nodes {
			f.own(n, false)
		}
	}
}

func terms(t *rapid.T) UsePolicy {
	if rapid.Bool().Draw(t, "rate") {
		return UsePolicy{MaxDuration: time.Second}
	}
	return UsePolicy{MaxDuration: 4 * time.Second, ExplicitRelease: true}
}

// TestSumStaysUnderTheLimit runs a fleet under lost and late messages, lost
// answers of the platform and its outages, pauses (a node that is not drawn
// for long), killed and restarted daemons, and checks each step. After the
// failures end, the whole limit must be usable again.
func TestSumStaysUnderTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "hosts"), rapid.IntRange(1, 12).Draw(t, "limit"), terms(t))
		pick := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")] }
		alive := func(do func(*node)) func(*rapid.T) {
			return func(*rapid.T) {
				if n := pick(); n.alive {
					do(n)
				}
			}
		}
		message := func(do func(int)) func(*rapid.T) {
			return func(t *rapid.T) {
				if len(f.flight) > 0 {
					do(rapid.IntRange(0, len(f.flight)-1).Draw(t, "message"))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"own":  alive(func(n *node) { f.own(n, rapid.IntRange(0, 4).Draw(t, "lost") == 0) }),
			"take": alive(func(n *node) { f.take(n) }),
			"take all": alive(func(n *node) {
				for f.take(n) {
				}
			}),
			"release":   alive(f.release),
			"ask":       alive(func(n *node) { f.ask(n, rapid.IntRange(0, len(f.nodes)-1).Draw(t, "lender")) }),
			"give back": alive(f.giveBack),
			"give all back": alive(func(n *node) {
				f.flight = nil
				f.giveBack(n)
				for len(f.flight) > 0 && !f.flight[0].answer {
					f.deliver(0)
				}
				for _, each := range f.nodes {
					for each.alive && f.take(each) {
					}
				}
			}),
			"deliver": message(f.deliver),
			"exchange": alive(func(n *node) {
				for f.take(n) {
				}
				f.flight = nil
				f.ask(n, rapid.IntRange(0, len(f.nodes)-1).Draw(t, "lender"))
				f.wait(rapid.IntRange(0, 1500).Draw(t, "ms"))
				if len(f.flight) > 0 {
					f.deliver(0)
				}
				f.wait(rapid.IntRange(0, 1500).Draw(t, "ms"))
				if len(f.flight) > 0 {
					f.deliver(0)
				}
				for f.take(n) {
				}
			}),
			"lose":   message(func(i int) { f.flight = append(f.flight[:i], f.flight[i+1:]...) }),
			"wait":   func(t *rapid.T) { f.wait(rapid.IntRange(1, 1500).Draw(t, "ms")) },
			"outage": func(*rapid.T) { f.down = !f.down },
			"kill":   alive(func(n *node) { n.alive = false }),
			"restart": func(*rapid.T) {
				if n := pick(); !n.alive {
					f.start(n)
				}
			},
			"": f.check,
		})
		f.heal()
		f.check(t)
		for _, n := range f.nodes {
			for f.take(n) {
			}
		}
		f.check(t)
		if len(f.uses) != f.limit {
			t.Fatalf("after the failures %d units can be used of %d", len(f.uses), f.limit)
		}
	})
}

// TestDemandAtOneDaemonGetsNearlyAll has demand at one daemon only.
func TestDemandAtOneDaemonGetsNearlyAll(t *testing.T) {
	f := newFleet(9, 90, UsePolicy{MaxDuration: time.Second})
	f.heal()
	busy := f.nodes[0]
	most := 0
	for range 200 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.endDue()
		for f.take(busy) {
		}
		most = max(most, len(f.uses))
		for lender := range f.nodes {
			f.ask(busy, lender)
			for len(f.flight) > 0 {
				f.deliver(0)
			}
		}
	}
	if most < 80 {
		t.Errorf("one daemon with all the demand used %d of 90", most)
	}
}

func TestLateQuestionLeavesALoanAsItIs(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewQuota(UsePolicy{MaxDuration: time.Second})
	a.SetOwned(10, now, now.Add(time.Hour))
	if units, extended := a.Lend(now, "peer", 2, 5); units != 5 || !extended {
		t.Fatalf("lent %d, extended %v", units, extended)
	}
	if units, extended := a.Lend(now, "peer", 1, 1); units != 0 || extended {
		t.Errorf("the late question got %d, extended %v", units, extended)
	}
	if a.Acquire(now, 6, now.Add(time.Second)) {
		t.Error("lent units were taken")
	}
}

func TestOwnershipEndsBeforeOthersTakeIt(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewOwnership("h", "h/1")
	o.Plan(now)
	shares, _ := o.Planned()
	o.Update(1, shares, now)
	a := NewQuota(UsePolicy{MaxDuration: time.Second})
	o.Apply(a, 10)
	last := now.Add(LeaseDuration - MaxClockSkew - time.Second)
	if !a.Acquire(last, 1, last.Add(time.Second)) || a.Acquire(last.Add(time.Second), 1, last.Add(2*time.Second)) {
		t.Error("ownership does not end a clock skew before its lease")
	}
	early, _ := shares.Plan("other", "other/1", now.Add(LeaseDuration+MaxClockSkew))
	late, _ := shares.Plan("other", "other/1", now.Add(LeaseDuration+MaxClockSkew+time.Second))
	if got, want := early.Owners["other"].Parts(), 0; got != want {
		t.Errorf("another took %d parts before the lease was over everywhere", got)
	}
	if got := late.Owners["other"].Parts(); got != TotalParts {
		t.Errorf("another took %d of %d parts that nobody owns", got, TotalParts)
	}
}

func TestUnitsGivenBackAreNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewQuota(UsePolicy{MaxDuration: time.Second})
	a.RecordLoan("peer", 4, now.Add(3*time.Second))
	if left := a.ReturnSurplus(now); len(left) != 1 || left["peer"] != 0 {
		t.Fatalf("left %v, want nothing of the loan of peer", left)
	}
	if a.Acquire(now, 1, now.Add(time.Second)) {
		t.Error("a unit that was given back was taken")
	}
}
