package quota

import (
	"testing"
	"time"
)

// round makes each node call the first daemon and its parent once.
func (f *fleet) round() {
	for _, n := range f.nodes {
		f.callFirst(n)
		f.ask(n, 0)
	}
	f.now = f.now.Add(10 * time.Millisecond)
}

func (f *fleet) restart(nodes []*node) {
	for _, n := range nodes {
		f.start(n)
	}
	f.publish()
}

func (f *fleet) held() float64 {
	sum := 0.0
	for _, n := range f.nodes {
		sum += n.ledger.Held(f.now)
	}
	return sum
}

// TestQuotaIsUsableAfterRestartOfAll guards against a fleet that refuses all requests of
// organisations with a quota for the time for which earlier processes handed over their
// parts, and against one that uses parts which others may still use.
func TestQuotaIsUsableAfterRestartOfAll(t *testing.T) {
	for _, c := range []struct {
		name            string
		daemons, spared int
		usable          bool
	}{{"all", 74, 0, true}, {"all of two", 2, 0, true}, {"one stays", 74, 1, false}, {"more than one may release", maxStarting + 1, 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(c.daemons, 3, map[string]Limit{"shop": {300, 30}}, 1)
			f.play(4*time.Second, nil, nil)
			f.restart(f.nodes[c.spared:])
			usable, together := 0, 0
			for round := 1; round <= 12; round++ {
				f.round()
				if usable == 0 && f.held() > 0.99 {
					usable = round
				}
				heads := 0
				for _, n := range f.nodes {
					if n.ledger.Held(f.now) > 0 {
						heads++
					}
				}
				if together == 0 && heads <= issuingGroups && f.held() > 0.99 {
					together = round
				}
			}
			t.Logf("the parts are in use after %d rounds of calls, and at the heads after %d", usable, together)
			if got := usable > 0 && usable <= 4 && together <= 6; got != c.usable {
				t.Errorf("the quota was usable within 4 rounds and at the heads within 6: %v, want %v", got, c.usable)
			}
		})
	}
}

// TestProcessIsReleasedOnlyWhileAllWait guards against a release by pledges that have
// ended, that belong to another process, or that were made before a larger fleet was known.
func TestProcessIsReleasedOnlyWhileAllWait(t *testing.T) {
	for _, c := range []struct {
		name     string
		late     time.Duration
		call     StartCall
		released bool
	}{
		{"waits", 0, StartCall{Process: "b/2", WaitsFor: time.Second, Daemons: 2}, true},
		{"pledge has ended", pledgePeriod, StartCall{Process: "b/2", WaitsFor: time.Hour, Daemons: 2}, false},
		{"does not wait", 0, StartCall{Process: "b/2", Daemons: 2}, false},
		{"pledged to an earlier process", 0, StartCall{Process: "b/2", Echo: Mark{"a/1", 0}, WaitsFor: time.Second, Daemons: 2}, false},
		{"knows more daemons", 0, StartCall{Process: "b/2", WaitsFor: time.Second, Daemons: 3}, false},
		{"first daemon has waited", restartDelay, StartCall{Process: "b/2", WaitsFor: time.Hour, Daemons: 2}, false},
		{"half of the daemons are new", 0, StartCall{Process: "b/2", WaitsFor: time.Second, Daemons: 2, New: true}, false},
		{"first daemon is new", 0, StartCall{Process: "b/2", WaitsFor: time.Second, Daemons: 2}, false},
	} {
		now := time.Unix(1000, 0)
		l := newLedger("a/2", now)
		if c.name != "first daemon is new" {
			l.Rejoin()
		}
		l.SetDaemons(2, true, now)
		l.SetFleet([]string{"b"}, true)
		mark := l.HandleStart("b", &StartCall{Process: "b/2"}, now).Mark
		if c.call.Echo == (Mark{}) {
			c.call.Echo = mark
		}
		now = now.Add(c.late)
		reply := l.HandleStart("b", &c.call, now)
		if got := reply.Released == "b/2"; got != c.released {
			t.Errorf("%s: released %v, want %v", c.name, got, c.released)
		}
		if c.late == 0 && (l.Held(now) > 0) != c.released {
			t.Errorf("%s: the first daemon uses %v parts", c.name, l.Held(now))
		}
		if again := l.HandleStart("b", &StartCall{Process: "b/3"}, now); again.Released != "" {
			t.Errorf("%s: a later process was released", c.name)
		}
	}
}

// TestProcessPledgesItselfOnce guards against two processes of which each could release a
// third while the other counts on its pledge.
func TestProcessPledgesItselfOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newLedger("b/2", now)
	l.SetDaemons(2, true, now)
	l.SetFleet([]string{"a"}, false)
	if call := l.NewStartCall(now); call == nil || call.Echo != (Mark{}) {
		t.Errorf("a new daemon makes the call %+v, want one without a pledge", call)
	}
	l.Rejoin()
	l.ApplyStart(&StartReply{Mark: Mark{"a/2", 1}}, now)
	l.ApplyStart(&StartReply{Mark: Mark{"a/3", 2}}, now)
	if call := l.NewStartCall(now); call.Echo.Process != "a/2" {
		t.Errorf("pledges itself to %q, want a/2", call.Echo.Process)
	}
	l.SetFleet([]string{"a"}, true)
	if mark := l.HandleStart("a", &StartCall{Process: "a/3"}, now).Mark; mark != (Mark{}) {
		t.Errorf("collects pledges with mark %+v after its own, want none", mark)
	}
	l.ApplyStart(&StartReply{Released: "b/1", Daemons: 2}, now)
	if held := l.Held(now); held != 0 {
		t.Errorf("uses %v parts after the release of an earlier process, want 0", held)
	}
}

// TestStoppedDaemonIsReleasedToo guards against a fleet that waits after its restart, since
// one daemon had stopped and removed itself from the list before.
func TestStoppedDaemonIsReleasedToo(t *testing.T) {
	f := newFleet(8, 2, map[string]Limit{"shop": {300, 30}}, 1)
	f.play(4*time.Second, nil, nil)
	f.nodes[0].left = true
	f.restart(f.nodes)
	f.play(restartDelay/2, nil, nil)
	if held := f.held(); held < 0.99 {
		t.Errorf("%.3f parts are in use %v after the restart of all, want all", held, restartDelay/2)
	}
}

// TestWaitingProcessIsHandedNoParts guards against a part that an earlier process has handed
// to one that waits, also by a call that arrives late, and that both use once all are released.
func TestWaitingProcessIsHandedNoParts(t *testing.T) {
	f := newFleet(3, 1, map[string]Limit{"shop": {300, 30}}, 1)
	f.play(4*time.Second, nil, nil)
	last, parent := f.nodes[0], f.nodes[2]
	for _, n := range f.nodes[1:] {
		f.start(n)
	}
	f.play(ownPartsFor+400*time.Millisecond, nil, nil)
	late := last.ledger.NewCall(parent.member.ID, f.now)
	f.restart([]*node{last})
	for range 4 {
		for _, n := range f.nodes {
			f.callFirst(n)
		}
		parent.ledger.Handle(last.member.ID, late, f.now)
		f.mostHeld = max(f.mostHeld, f.held())
	}
	if held := f.held(); held < 0.99 || held > 1.01 {
		t.Errorf("the fleet uses %v parts after the restart of its last process, want 1", held)
	}
	if f.mostHeld > 1+1e-9 {
		t.Errorf("daemons used %v parts at the same time, want at most 1", f.mostHeld)
	}
}
