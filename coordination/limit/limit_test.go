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

func TestMain(m *testing.M) {
	// These are defaults: m.Run parses the command line later, so flags given
	// there take precedence.
	for name, value := range map[string]string{"rapid.seed": "4", "rapid.checks": "4000", "rapid.steps": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// use is one use of a unit, recorded independently of the quotas.
type use struct {
	host int
	end  time.Time
}

type message struct {
	from, to   int
	generation int
	seq        uint64
	want       int
	sentAt     time.Time
	answer     bool
	units      int
	isExtended bool
}

type node struct {
	id         string
	generation int
	alive      bool
	ownership  *Ownership
	quota      *Quota
	seq        uint64
	useEnds    []time.Time
	// heard holds the newest request that the node has had from each incarnation.
	heard map[string]heardRequest
}

type heardRequest struct {
	seq uint64
	at  time.Time
}

// fleet is a model of daemons that share a limit. Messages between them and
// answers of the platform may be lost or late.
type fleet struct {
	limit        int
	policy       UsePolicy
	now          time.Time
	nodes        []*node
	version      uint64
	stored       Shares
	platformDown bool
	inFlight     []message
	uses         []use
	// lateChanges counts older requests that arrived late and had an effect.
	lateChanges int
}

func newFleet(hosts, limit int, policy UsePolicy) *fleet {
	f := &fleet{limit: limit, policy: policy, now: time.Unix(1_000_000, 0)}
	for i := range hosts {
		f.nodes = append(f.nodes, &node{id: fmt.Sprintf("h%d", i)})
		f.start(f.nodes[i])
	}
	return f
}

func (f *fleet) start(n *node) {
	n.generation++
	n.alive, n.seq, n.useEnds, n.heard = true, 0, nil, map[string]heardRequest{}
	n.ownership = NewOwnership(n.id, n.incarnation())
	n.quota = NewQuota(f.policy)
}

func (f *fleet) ids() []string {
	var out []string
	for _, n := range f.nodes {
		out = append(out, n.id)
	}
	return out
}

func (n *node) incarnation() string { return fmt.Sprintf("%s/%d", n.id, n.generation) }

// updateOwnership runs one round of a daemon's periodic ownership update. If
// loseAnswer is set, the daemon does not learn that its write succeeded.
func (f *fleet) updateOwnership(n *node, loseAnswer bool, expected ...string) {
	if !f.platformDown {
		n.ownership.Update(f.version, f.stored, f.now)
	}
	changed := n.ownership.Plan(expected, f.now)
	n.ownership.Apply(n.quota, f.limit)
	if planned, version := n.ownership.Planned(); changed && !f.platformDown && version == f.version && n.quota.Covered(f.now) {
		f.version++
		f.stored = planned
		if !loseAnswer {
			n.ownership.Update(f.version, f.stored, f.now)
			n.ownership.Apply(n.quota, f.limit)
		}
	}
}

func (f *fleet) take(n *node) bool {
	end := f.now.Add(f.policy.MaxDuration)
	if !n.quota.Acquire(f.now, 1, end) {
		return false
	}
	n.useEnds = append(n.useEnds, end)
	f.uses = append(f.uses, use{host: f.index(n), end: end})
	return true
}

// wait advances the clock.
func (f *fleet) wait(ms int) {
	f.now = f.now.Add(time.Duration(ms) * time.Millisecond)
	f.endExpired()
}

func (f *fleet) index(n *node) int {
	for i, other := range f.nodes {
		if other == n {
			return i
		}
	}
	return -1
}

// release ends a node's oldest use if the policy requires explicit release.
func (f *fleet) release(n *node) {
	if !f.policy.ExplicitRelease || len(n.useEnds) == 0 {
		return
	}
	end := n.useEnds[0]
	n.useEnds = n.useEnds[1:]
	n.quota.Release(1, end)
	for i, u := range f.uses {
		if u.host == f.index(n) && u.end.Equal(end) {
			f.uses = append(f.uses[:i], f.uses[i+1:]...)
			return
		}
	}
}

// endExpired ends the uses that have reached their end, also at nodes that are
// paused.
func (f *fleet) endExpired() {
	for _, n := range f.nodes {
		for f.policy.ExplicitRelease && len(n.useEnds) > 0 && !n.useEnds[0].After(f.now) {
			f.release(n)
		}
	}
	remaining := f.uses[:0]
	for _, u := range f.uses {
		if u.end.After(f.now) {
			remaining = append(remaining, u)
		}
	}
	f.uses = remaining
}

func (f *fleet) requestLoan(n *node, lender int) {
	if f.nodes[lender] == n {
		return
	}
	if deficit := n.quota.Deficit(f.now); deficit > 0 {
		n.seq++
		want := n.quota.PrepareRequest(f.now, f.nodes[lender].id, deficit)
		f.inFlight = append(f.inFlight, message{from: f.index(n), to: lender, generation: n.generation, seq: n.seq, want: want, sentAt: f.now})
	}
}

func (f *fleet) returnSurplus(n *node) {
	for lender, want := range n.quota.ReturnSurplus(f.now) {
		n.seq++
		to := slices.IndexFunc(f.nodes, func(each *node) bool { return each.id == lender })
		f.inFlight = append(f.inFlight, message{from: f.index(n), to: to, generation: n.generation, seq: n.seq, want: want, sentAt: f.now})
	}
}

func (f *fleet) deliver(i int) {
	m := f.inFlight[i]
	f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...)
	borrower, lender := f.nodes[m.from], f.nodes[m.to]
	switch {
	case m.answer && borrower.alive && borrower.generation == m.generation && borrower.seq == m.seq && m.isExtended:
		borrower.quota.RecordLoan(lender.id, m.units, m.sentAt.Add(f.policy.LoanDuration()))
	case !m.answer && lender.alive:
		m.answer = true
		from := fmt.Sprintf("%s/%d", borrower.id, m.generation)
		m.units, m.isExtended = lender.quota.Lend(f.now, from, m.seq, m.want)
		heard := lender.heard[from]
		if m.seq > heard.seq {
			lender.heard[from] = heardRequest{m.seq, f.now}
		} else if f.now.Sub(heard.at) < requestMemory && (m.units > 0 || m.isExtended) {
			f.lateChanges++
		}
		f.inFlight = append(f.inFlight, m)
	}
}

func (f *fleet) check(t *rapid.T) {
	f.endExpired()
	if len(f.uses) > f.limit {
		t.Fatalf("%d units in use, limit is %d", len(f.uses), f.limit)
	}
	if f.lateChanges > 0 {
		t.Fatal("a request that arrived after a newer one had an effect")
	}
}

// recoverAll ends an outage of the platform, restarts the stopped nodes, delivers the
// messages in flight once the nodes own units again, and lets time pass until all loans
// have expired.
func (f *fleet) recoverAll() {
	f.platformDown = false
	for _, n := range f.nodes {
		if !n.alive {
			f.start(n)
		}
	}
	const ownedAfterRounds = 50
	for round := range 100 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.endExpired()
		for _, n := range f.nodes {
			f.updateOwnership(n, false)
		}
		if round == ownedAfterRounds {
			for len(f.inFlight) > 0 {
				f.deliver(0)
			}
		}
	}
}

func drawPolicy(t *rapid.T) UsePolicy {
	if rapid.Bool().Draw(t, "rate") {
		return UsePolicy{MaxDuration: time.Second}
	}
	return UsePolicy{MaxDuration: 4 * time.Second, ExplicitRelease: true}
}

// TestSumStaysUnderTheLimit runs a fleet with lost and late messages, lost
// answers and outages of the platform, paused daemons (nodes that are not
// drawn for a long time), and killed and restarted daemons. It checks the
// limit after each step. After the failures end, the whole limit must be
// usable again.
func TestSumStaysUnderTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 5).Draw(t, "hosts"), rapid.IntRange(1, 12).Draw(t, "limit"), drawPolicy(t))
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
				if len(f.inFlight) > 0 {
					do(rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message"))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"own": alive(func(n *node) {
				expected := rapid.SliceOfDistinct(rapid.SampledFrom(f.ids()), rapid.ID[string]).Draw(t, "expected")
				f.updateOwnership(n, rapid.IntRange(0, 4).Draw(t, "lost") == 0, expected...)
			}),
			"take": alive(func(n *node) { f.take(n) }),
			"take all": alive(func(n *node) {
				for f.take(n) {
				}
			}),
			"release":   alive(f.release),
			"ask":       alive(func(n *node) { f.requestLoan(n, rapid.IntRange(0, len(f.nodes)-1).Draw(t, "lender")) }),
			"give back": alive(f.returnSurplus),
			"give all back": alive(func(n *node) {
				f.inFlight = nil
				f.returnSurplus(n)
				for len(f.inFlight) > 0 && !f.inFlight[0].answer {
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
				f.inFlight = nil
				f.requestLoan(n, rapid.IntRange(0, len(f.nodes)-1).Draw(t, "lender"))
				f.wait(rapid.IntRange(0, 1500).Draw(t, "ms"))
				if len(f.inFlight) > 0 {
					f.deliver(0)
				}
				f.wait(rapid.IntRange(0, 1500).Draw(t, "ms"))
				if len(f.inFlight) > 0 {
					f.deliver(0)
				}
				for f.take(n) {
				}
			}),
			"lose":   message(func(i int) { f.inFlight = append(f.inFlight[:i], f.inFlight[i+1:]...) }),
			"wait":   func(t *rapid.T) { f.wait(rapid.IntRange(1, 1500).Draw(t, "ms")) },
			"outage": func(*rapid.T) { f.platformDown = !f.platformDown },
			"kill":   alive(func(n *node) { n.alive = false }),
			"restart": func(*rapid.T) {
				if n := pick(); !n.alive {
					f.start(n)
				}
			},
			"": f.check,
		})
		f.recoverAll()
		f.check(t)
		for _, n := range f.nodes {
			for f.take(n) {
			}
		}
		f.check(t)
		if len(f.uses) != f.limit {
			t.Fatalf("after recovery %d of %d units can be used", len(f.uses), f.limit)
		}
	})
}

// TestDemandAtOneDaemonGetsNearlyAll checks that one daemon with all the
// demand can borrow at least 80 of the 90 units that nine daemons share.
func TestDemandAtOneDaemonGetsNearlyAll(t *testing.T) {
	f := newFleet(9, 90, UsePolicy{MaxDuration: time.Second})
	f.recoverAll()
	busy := f.nodes[0]
	most := 0
	for range 200 {
		f.now = f.now.Add(50 * time.Millisecond)
		f.endExpired()
		for f.take(busy) {
		}
		most = max(most, len(f.uses))
		for lender := range f.nodes {
			f.requestLoan(busy, lender)
			for len(f.inFlight) > 0 {
				f.deliver(0)
			}
		}
	}
	if most < 80 {
		t.Errorf("one daemon with all the demand used %d of 90 units, want at least 80", most)
	}
}

func TestLateRequestDoesNotChangeLoan(t *testing.T) {
	now := time.Unix(1000, 0)
	quota := NewQuota(UsePolicy{MaxDuration: time.Second})
	quota.SetOwned(10, now, now.Add(time.Hour))
	if units, extended := quota.Lend(now, "peer", 2, 5); units != 5 || !extended {
		t.Fatalf("lent %d, extended %v, want 5, true", units, extended)
	}
	if units, extended := quota.Lend(now, "other", 2, 0); units != 0 || extended {
		t.Fatalf("lent %d, extended %v, want 0, false", units, extended)
	}
	for _, late := range []time.Duration{0, quota.Policy().LoanDuration(), requestMemory - 1} {
		for _, borrower := range []string{"peer", "other"} {
			if units, extended := quota.Lend(now.Add(late), borrower, 1, 1); units != 0 || extended {
				t.Errorf("request of %s got %d, extended %v, %v after a newer one, want 0, false", borrower, units, extended, late)
			}
		}
		if late == 0 && quota.Acquire(now, 6, now.Add(time.Second)) {
			t.Error("lent units could be acquired")
		}
	}
	if quota.Acquire(now.Add(requestMemory), 1, now.Add(requestMemory+time.Second)); len(quota.lent) != 0 {
		t.Errorf("%d borrowers are remembered after %v, want 0", len(quota.lent), requestMemory)
	}
}

func TestOwnershipEndsBeforeOthersTakeIt(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewOwnership("h", "h/1")
	o.Plan(nil, now)
	shares, _ := o.Planned()
	o.Update(1, shares, now)
	quota := NewQuota(UsePolicy{MaxDuration: time.Second})
	o.Apply(quota, 10)
	last := now.Add(LeaseDuration - MaxClockSkew - time.Second)
	if !quota.Acquire(last, 1, last.Add(time.Second)) || quota.Acquire(last.Add(time.Second), 1, last.Add(2*time.Second)) {
		t.Error("ownership does not end MaxClockSkew before the end of its lease")
	}
	early, _ := shares.Plan("other", "other/1", nil, now.Add(LeaseDuration+MaxClockSkew))
	late, _ := shares.Plan("other", "other/1", nil, now.Add(LeaseDuration+MaxClockSkew+time.Second))
	if got, want := early.Owners["other"].Parts(), 0; got != want {
		t.Errorf("another host took %d parts before the lease had ended on every clock", got)
	}
	if got := late.Owners["other"].Parts(); got != TotalParts {
		t.Errorf("another host took %d of %d parts after the lease had ended", got, TotalParts)
	}
}

// A host that is killed or cut off right after it was the first to own parts must not
// have taken those of the others, which they could have back only when its lease ends.
func TestFirstOwnerLeavesExpectedHostsTheirShares(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet(3, 30, UsePolicy{MaxDuration: time.Second})
	for _, n := range f.nodes {
		f.updateOwnership(n, false, f.ids()...)
		f.platformDown = n == f.nodes[1]
	}
	for i, want := range []int{10, 10, 0} {
		if got := Units(f.stored.Owners[f.nodes[i].id].Spans, f.limit); got != want {
			t.Errorf("%s owns %d of 30 units, want %d", f.nodes[i].id, got, want)
		}
	}
	all := Shares{Owners: map[string]Owner{"h0": {Incarnation: "h0/1", Spans: []Span{{0, TotalParts}}, ExpiresMs: now.Add(LeaseDuration).UnixMilli()}}}
	if next, changed := all.Plan("h0", "h0/1", f.ids(), now); !changed || next.Owners["h0"].Parts() != TotalParts/3 {
		t.Errorf("the owner of all parts keeps %d of %d beside two hosts without an entry", next.Owners["h0"].Parts(), TotalParts)
	}
}

func TestReturnedUnitsAreNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	quota := NewQuota(UsePolicy{MaxDuration: time.Second})
	quota.RecordLoan("peer", 4, now.Add(3*time.Second))
	if remaining := quota.ReturnSurplus(now); len(remaining) != 1 || remaining["peer"] != 0 {
		t.Fatalf("remaining loans are %v, want 0 units for peer", remaining)
	}
	if quota.Acquire(now, 1, now.Add(time.Second)) {
		t.Error("a returned unit could be acquired")
	}
}

// A second change of the policy must not forget that uses and loans of the first,
// longer policy are not over.
func TestSecondPolicyChangeKeepsWait(t *testing.T) {
	now := time.Unix(1000, 0)
	long, short := UsePolicy{MaxDuration: time.Minute}, UsePolicy{MaxDuration: time.Second}
	quota := NewQuota(long).WithPolicy(short, now).WithPolicy(UsePolicy{MaxDuration: 2 * time.Second}, now.Add(time.Second))
	quota.SetOwned(1, time.Time{}, now.Add(time.Hour))
	end := now.Add(long.LoanDuration())
	if quota.CanAcquire(end.Add(-time.Millisecond), 1, end) {
		t.Error("a unit can be acquired while uses of the first policy last")
	}
	if !quota.CanAcquire(end, 1, end.Add(time.Second)) {
		t.Error("no unit can be acquired after uses of the first policy are over")
	}
}
