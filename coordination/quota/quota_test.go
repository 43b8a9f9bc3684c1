package quota

import (
	"fmt"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/relay"
)

// TestUnevenDemandUsesQuota guards against quotas that are left unused where demand
// differs between daemons, and against refusals of demand within the quota.
func TestUnevenDemandUsesQuota(t *testing.T) {
	for _, c := range []struct {
		daemons, regions, busy int
		rate, burst, demand    float64
		least                  float64
	}{
		{9, 1, 2, 100, 10, 0.62, 0.99}, {9, 1, 2, 100, 10, 5, 0.9},
		{77, 3, 2, 850, 100, 0.62, 0.99}, {77, 3, 77, 850, 100, 0.62, 0.99}, {77, 3, 77, 850, 100, 5, 0.9},
		{77, 3, 77, 3, 1, 0.62, 0.99}, {77, 3, 2, 3, 1, 0.62, 0.99}, {77, 3, 77, 3, 0, 7, 0.9},
		{77, 3, 77, 30, 5, 0.62, 0.99}, {77, 3, 77, 30, 5, 4, 0.9}, {300, 8, 300, 850, 100, 0.62, 0.99}, {300, 8, 300, 850, 100, 5, 0.9}, {300, 8, 300, 30, 5, 0.62, 0.95},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			l := Limit{c.rate, c.burst}
			const duration = 20 * time.Second
			var admitted, owed float64
			// One run of a small quota differs from the next by more than the bound leaves.
			for seed := range uint64(min(40, 1+3000/(c.rate*c.demand*duration.Seconds()))) {
				f := newFleet(c.daemons, c.regions, map[string]Limit{"shop": l}, seed)
				f.play(15*time.Second, nil, nil)
				f.play(duration, map[string]float64{"shop": c.rate * c.demand}, f.nodes[:c.busy])
				admitted += float64(len(f.admitted["shop"]))
				owed += min(float64(f.asked["shop"]), c.rate*duration.Seconds())
				if e := f.excess("shop", l, time.Time{}); e > 0 {
					t.Errorf("quota exceeded by %v requests", e)
				}
			}
			t.Logf("%v of %v owed admitted", admitted, owed)
			if admitted < c.least*owed {
				t.Errorf("%v requests admitted, want at least %v of the %v within the quota", admitted, c.least, owed)
			}
		})
	}
}

// TestPlanKeepsBounds guards against units that live, or are saved up, for more than
// the bounds leave.
func TestPlanKeepsBounds(t *testing.T) {
	for _, b := range []Bounds{testBounds, {5 * time.Second, 0.1, 0}, {time.Second, 0, 0}, {time.Minute, 0, 20}} {
		for _, l := range []Limit{{0.001, 0}, {0.5, 1}, {3, 0}, {3, 40}, {850, 0}, {850, 2000}, {1e9, 1e9}} {
			p := planFor(l, b)
			window := b.Window.Seconds()
			most := p.saved + p.perSecond*(window+p.life.Seconds())
			if allowed := (l.RatePerSecond*window+l.Burst)*(1+b.Overshoot) + b.Slack; most > allowed {
				t.Errorf("%+v with %+v: up to %v requests in a window, want at most %v", l, b, most, allowed)
			}
			if p.life <= 0 || p.life > b.Window || b == testBounds && p.perSecond < 0.97*l.RatePerSecond {
				t.Errorf("%+v with %+v: plan %+v, want units that can be used, at the rate of the quota", l, b, p)
			}
		}
	}
}

func newLedger(process string, now time.Time) *Ledger {
	return New(process, testBounds, func(string) Limit { return Limit{10, 10} }, now)
}

// TestUnitsEndFromSending guards against units that a slow reply keeps alive.
func TestUnitsEndFromSending(t *testing.T) {
	start := time.Unix(1000, 0)
	l := newLedger("a", start)
	life := planFor(Limit{10, 10}, testBounds).life
	reply := &Reply{Grants: []Grant{{Organisation: "shop", Units: 2, Life: time.Hour}}}
	l.Apply(&Call{}, reply, start, start.Add(life/2))
	if !l.Take("shop", false, start.Add(life-1)).Admitted {
		t.Error("unit before its end was not admitted")
	}
	if l.Take("shop", false, start.Add(life)).Admitted {
		t.Error("unit was admitted after its end")
	}
}

// TestLowerLimitDropsUnits guards against units of a higher quota that are used under
// a lower one.
func TestLowerLimitDropsUnits(t *testing.T) {
	start := time.Unix(1000, 0)
	limit := Limit{10, 10}
	l := New("a", testBounds, func(string) Limit { return limit }, start)
	l.Apply(&Call{}, &Reply{Grants: []Grant{{Organisation: "shop", Units: 2, Life: time.Hour}}}, start, start)
	limit = Limit{5, 10}
	l.LimitsChanged(start)
	if l.Take("shop", false, start).Admitted {
		t.Error("unit of the higher limit was admitted")
	}
	limit = Limit{}
	l.LimitsChanged(start)
	if !l.Take("shop", false, start).Admitted {
		t.Error("request without a quota was not admitted")
	}
}

// TestNewHolderHasSavedNothing guards against a daemon that takes over parts and
// issues at once what their earlier holder may have issued just before.
func TestNewHolderHasSavedNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger("a", now)
	l.SetDaemons(1, true, now)
	now = now.Add(restartDelay)
	if l.Take("shop", false, now).Admitted {
		t.Error("a new holder admitted a request before it issued a unit")
	}
	if now = now.Add(time.Second / 5); !l.Take("shop", false, now).Admitted {
		t.Error("request after the issue of a unit was not admitted")
	}
}

// TestQuotaIsUsedAfterLossOfHeads guards against parts that stay handed to a daemon that
// is gone, and against a fleet that admits little while the parts of one are away.
func TestQuotaIsUsedAfterLossOfHeads(t *testing.T) {
	for _, c := range []struct {
		lost  int
		after time.Duration
		least float64
	}{{1, 0, 0.9}, {3, 3 * time.Second, 0.95}} {
		f := newFleet(30, 3, map[string]Limit{"shop": {300, 30}}, 1)
		demand := map[string]float64{"shop": 180}
		f.play(6*time.Second, demand, f.nodes)
		for _, n := range f.nodes {
			if c.lost > 0 && n.ledger.Held(f.now) > 0.3 {
				n.up = false
				c.lost--
			}
		}
		f.play(c.after, demand, f.nodes)
		f.admitted, f.asked = map[string][]time.Time{}, map[string]int{}
		f.play(3*time.Second, demand, f.nodes)
		if got, asked := len(f.admitted["shop"]), f.asked["shop"]; float64(got) < c.least*float64(asked) {
			t.Errorf("%s after the loss: %d of %d requests within the quota admitted, want at least %v of them", c.after, got, asked, c.least)
		}
	}
}

// TestUsedUpQuotaDoesNotHoldUpOthers guards against replies that wait for an organisation
// above its quota, and with it for all others in the call.
func TestUsedUpQuotaDoesNotHoldUpOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger("a", now)
	call := &Call{Wants: []Want{{"shop", 3}}}
	if _, short := l.Handle("child", call, now); !short {
		t.Error("the first call that gets too few units is not held up, want it to ask other daemons")
	}
	l.Apply(&Call{}, &Reply{Grants: []Grant{{Organisation: "shop"}}}, now, now)
	if _, short := l.Handle("child", call, now.Add(emptyReplyPeriod/2)); short {
		t.Error("a call is held up although other daemons had no units")
	}
	if _, short := l.Handle("child", call, now.Add(emptyReplyPeriod)); !short {
		t.Error("a call after emptyReplyPeriod does not ask other daemons")
	}
}

// TestUnlistedDaemonHasParent guards against a daemon that gets no units until its entry
// has been written, or written again.
func TestUnlistedDaemonHasParent(t *testing.T) {
	p := NewParents(relay.Member{ID: "b", Region: "north", Zone: "n1"})
	p.SetMembers([]relay.Member{{ID: "a", Region: "north", Zone: "n1"}, {ID: "c", Region: "south", Zone: "s1"}})
	if parent, ok := p.Pick(time.Unix(1000, 0)); !ok || parent.ID != "a" {
		t.Errorf("got parent %+v, want a", parent)
	}
}

// TestSilenceDependsOnUsualReply guards against a daemon that waits long for a silent one,
// and against one that gives up on a daemon that is far away or holds up its reply.
func TestSilenceDependsOnUsualReply(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		took  []time.Duration
		least time.Duration
		most  time.Duration
	}{
		{nil, 100 * ms, 100 * ms}, {[]time.Duration{ms}, 100 * ms, 100 * ms}, {[]time.Duration{41 * ms}, 101 * ms, 150 * ms},
		{[]time.Duration{101 * ms, 41 * ms, 101 * ms}, 101 * ms, 160 * ms}, {[]time.Duration{250 * ms}, 310 * ms, time.Second},
	} {
		p := NewParents(relay.Member{ID: "b"})
		for _, took := range c.took {
			p.MarkWorking("a", took)
		}
		if got, known := p.SilentAfter("a"); got < c.least || got > c.most || known != (len(c.took) > 0) {
			t.Errorf("%v: silent after %s, known %v, want %s to %s", c.took, got, known, c.least, c.most)
		}
	}
}

// TestHeadsFormTree guards against daemons that are each other's parents, against further
// regions without a parent, and against parents of all daemons of a large region.
func TestHeadsFormTree(t *testing.T) {
	for _, c := range []struct{ daemons, regions, mostSteps int }{{60, 16, 2}, {74, 3, 1}, {1000, 16, 3}} {
		var members []relay.Member
		for i := range c.daemons {
			members = append(members, relay.Member{ID: fmt.Sprintf("d%03d", i), Region: fmt.Sprintf("r%02d", i%c.regions), Zone: fmt.Sprintf("z%02d", i%(2*c.regions)), Capacity: float64(i % 3)})
		}
		now, roots := time.Unix(1000, 0), 0
		parentOf, children := map[string]string{}, map[string]int{}
		for _, m := range members {
			p := NewParents(m)
			p.SetMembers(members)
			if parent, ok := p.Pick(now); ok {
				parentOf[m.ID] = parent.ID
				if parent.Region == m.Region {
					children[parent.ID]++
				}
			} else if roots++; len(p.Peers(now)) != issuingGroups-1 {
				t.Errorf("%s has %d other issuers, want %d", m.ID, len(p.Peers(now)), issuingGroups-1)
			}
		}
		if roots != issuingGroups {
			t.Errorf("%d daemons have no parent, want %d", roots, issuingGroups)
		}
		for id := range parentOf {
			steps := -1
			for at, ok := id, true; ok && steps <= c.mostSteps; steps++ {
				at, ok = parentOf[at], parentOf[at] != ""
			}
			if steps > c.mostSteps {
				t.Errorf("%+v: %s is more than %d steps from an issuer", c, id, c.mostSteps)
			}
		}
		for id, n := range children {
			if n > maxChildren && c.daemons/c.regions > maxFlatGroup || n >= maxFlatGroup {
				t.Errorf("%+v: %s is the parent of %d daemons of its region", c, id, n)
			}
		}
	}
}

// TestOwnPartWaitsAfterFirstCount guards against a daemon that learns of the others just
// after one has left, whose larger part is still handed over.
func TestOwnPartWaitsAfterFirstCount(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger("a", now)
	now = now.Add(time.Minute)
	l.SetDaemons(4, true, now)
	if held := l.Held(now.Add(restartDelay - 1)); held != 0 {
		t.Errorf("issues from %v parts before restartDelay, want 0", held)
	}
	if held := l.Held(now.Add(restartDelay)); held != 0.25 {
		t.Errorf("issues from %v parts after restartDelay, want its own quarter", held)
	}
}

// TestReceivedPartsIssueFromNowOn guards against a daemon that issues units for the time
// in which another one still held the parts.
func TestReceivedPartsIssueFromNowOn(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger("a", now)
	l.Take("shop", false, now)
	now = now.Add(time.Second)
	first, _ := l.Handle("child", &Call{}, now)
	call := &Call{Echo: first.Mark, Parts: 0.75, PartsFor: ownPartsFor, Wants: []Want{{"shop", 100}}}
	if r, _ := l.Handle("child", call, now.Add(time.Second)); r.Grants[0].Units != 0 {
		t.Errorf("gave %d units at the moment of the hand-over, want 0", r.Grants[0].Units)
	}
}

// TestPartsEndBeforeTheyReturn guards against a parent that uses parts longer than its child
// leaves them alone, or by a clock that has not come yet.
func TestPartsEndBeforeTheyReturn(t *testing.T) {
	for _, ahead := range []time.Duration{0, time.Hour} {
		now := time.Unix(1000, 0)
		parent, child := newLedger("p", now), newLedger("c", now)
		parent.SetDaemons(2, true, now)
		child.SetDaemons(2, true, now)
		now = now.Add(restartDelay)
		call := child.NewCall("parent", now)
		reply, _ := parent.Handle("child", call, now)
		now = now.Add(20 * time.Millisecond)
		child.Apply(call, reply, now, now)
		now = now.Add(time.Second)
		call = child.NewCall("parent", now)
		call.Echo.Clock += ahead
		parent.Handle("child", call, now)
		if held := parent.Held(now.Add(ownPartsFor - 50*time.Millisecond)); held != 1 {
			t.Errorf("the parent uses %v parts until shortly before they are back, want 1", held)
		}
		if held := parent.Held(now.Add(ownPartsFor - 1)); held != 0.5 {
			t.Errorf("the parent uses %v parts when they are about to be back, want its half", held)
		}
		if held := child.Held(now.Add(ownPartsFor - 1)); held != 0 {
			t.Errorf("the child uses %v parts before they are back, want 0", held)
		}
	}
}

// TestReturnedPartsIssueFromNowOn guards against a daemon that was stopped for a while and
// issues units for the time in which its parent held its part.
func TestReturnedPartsIssueFromNowOn(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger("a", now)
	l.SetDaemons(1, true, now)
	now = now.Add(2 * restartDelay)
	for l.Take("shop", false, now).Admitted {
	}
	call := l.NewCall("parent", now)
	l.Apply(call, &Reply{Mark: Mark{"p", time.Minute}}, now, now)
	if call = l.NewCall("parent", now); call.Parts != 1 {
		t.Fatalf("handed over %v parts, want 1", call.Parts)
	}
	if l.Take("shop", false, now.Add(ownPartsFor)).Admitted {
		t.Error("a request was admitted when the part came back, want none before a unit was issued")
	}
}

// BenchmarkHandle measures the answer to a call for many organisations at a daemon with
// many children.
func BenchmarkHandle(b *testing.B) {
	now := time.Unix(1000, 0)
	l := newLedger("a", now)
	for i := range 170 {
		l.holding.children[fmt.Sprint(i)] = handed{0.001, now.Add(time.Hour)}
	}
	call := &Call{}
	for i := range maxWants {
		call.Wants = append(call.Wants, Want{fmt.Sprint(i), 1})
	}
	for b.Loop() {
		l.Handle("child", call, now)
	}
}
