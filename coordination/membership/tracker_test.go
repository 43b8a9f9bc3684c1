package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

var (
	start  = time.Unix(1_800_000_000, 0)
	timing = Timing{
		SuspectAfter: 600 * time.Millisecond,
		DeadAfter:    500 * time.Millisecond,
		Lease:        time.Second,
		MaxTickGap:   500 * time.Millisecond,
	}
	anyAddr = netip.MustParseAddrPort("127.0.0.1:1")
)

const period = 250 * time.Millisecond

// network is a fleet of trackers on one clock, whose heartbeats and records take
// no time.
type network struct {
	t        *testing.T
	now      time.Time
	trackers map[string]*Tracker
	down     map[string]bool
	cut      map[[2]string]bool
}

func newNetwork(t *testing.T, hosts int) *network {
	n := &network{t: t, now: start, trackers: map[string]*Tracker{}, down: map[string]bool{}, cut: map[[2]string]bool{}}
	for i := range hosts {
		n.start(fmt.Sprintf("host-%d", i+1), "inc-1")
	}
	n.run(4)
	return n
}

func (n *network) start(id, incarnation string) *Tracker {
	record := Record{
		ID: id, Incarnation: id + "/" + incarnation, Started: n.now.UnixMilli(),
		DataCentre: "dc", Region: "region", Peer: anyAddr, Caller: anyAddr,
	}
	t := NewTracker(timing, record, n.now)
	n.trackers[id] = t
	delete(n.down, id)
	n.spread(t.Self())
	for other, o := range n.trackers {
		if !n.down[other] {
			n.spread(t.Merge([]Record{o.Self()}, n.now)...)
		}
	}
	return t
}

func (n *network) reaches(a, b string) bool {
	return !n.down[a] && !n.down[b] && !n.cut[[2]string{a, b}] && !n.cut[[2]string{b, a}]
}

// spread gives records to every tracker that runs, and spreads what they say to
// them.
func (n *network) spread(records ...Record) {
	for _, r := range records {
		for _, t := range n.trackers {
			if !n.down[t.self.ID] {
				n.spread(t.Merge([]Record{r}, n.now)...)
			}
		}
	}
}

// run lets a number of periods pass.
func (n *network) run(periods int) {
	for range periods {
		n.now = n.now.Add(period)
		for _, id := range n.ids() {
			if !n.down[id] {
				n.beat(n.trackers[id])
			}
		}
	}
}

func (n *network) beat(t *Tracker) {
	n.spread(t.Tick(n.now)...)
	for _, id := range t.Neighbours() {
		if o := n.trackers[id]; o != nil && n.reaches(t.self.ID, id) {
			t.RecordHeartbeat(id, o.self.Incarnation, n.now)
			o.RecordHeartbeat(t.self.ID, t.self.Incarnation, n.now)
			n.spread(t.Confirm(o.VersionOf(t.self.ID), n.now)...)
		}
	}
}

func (n *network) ids() []string {
	var out []string
	for id := range n.trackers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// want fails the test unless a member is in the state for every other that runs.
func (n *network) want(id string, state State) {
	n.t.Helper()
	for other, t := range n.trackers {
		if m, _ := t.View().Member(id); other != id && !n.down[other] && m.State != state {
			n.t.Errorf("%s sees %s %s, want %s", other, id, m.State, state)
		}
	}
}

func TestKilledMemberIsSuspectedThenDead(t *testing.T) {
	n := newNetwork(t, 9)
	n.down["host-5"] = true
	n.run(3)
	n.want("host-5", Suspect)
	n.run(3)
	n.want("host-5", Dead)
}

func TestPausedMemberIsAliveAgainWithItsIncarnation(t *testing.T) {
	n := newNetwork(t, 9)
	before := n.trackers["host-5"].Self().Incarnation
	n.down["host-5"] = true
	n.run(8)
	n.want("host-5", Dead)
	paused := n.trackers["host-5"]
	if paused.Confirmed(n.now) {
		t.Error("a daemon paused past its lease is confirmed")
	}
	delete(n.down, "host-5")
	n.run(2)
	n.want("host-5", Alive)
	if m, _ := n.trackers["host-1"].View().Member("host-5"); m.Incarnation != before {
		t.Errorf("incarnation %s, want %s", m.Incarnation, before)
	}
	if !paused.Confirmed(n.now) {
		t.Error("a daemon that came back is not confirmed")
	}
	for _, m := range paused.View().Members() {
		if m.State != Alive {
			t.Errorf("the paused daemon sees %s %s", m.ID, m.State)
		}
	}
}

func TestSuspectedMemberRefutesAtOnce(t *testing.T) {
	n := newNetwork(t, 3)
	suspicion := n.trackers["host-1"].records["host-3"]
	suspicion.State = Suspect
	n.spread(suspicion)
	n.want("host-3", Alive)
	if n.trackers["host-3"].Self().Sequence == 0 {
		t.Error("the member did not raise its sequence")
	}
}

func TestNeighbourThatHoldsAMemberForDeadIsRefuted(t *testing.T) {
	n := newNetwork(t, 3)
	member := n.trackers["host-3"]
	n.now = n.now.Add(2 * timing.Lease)
	death := member.Self()
	death.State = Dead
	if out := member.Confirm(death.Version(), n.now); len(out) != 1 || out[0].Version() <= death.Version() {
		t.Errorf("the member says %v to its death", out)
	}
	if member.Confirmed(n.now) {
		t.Error("the word of a neighbour that holds the daemon for dead confirmed it")
	}
}

func TestRestartedMemberReplacesTheOldAtOnce(t *testing.T) {
	n := newNetwork(t, 9)
	n.down["host-5"] = true
	n.run(1)
	n.start("host-5", "inc-2")
	n.want("host-5", Alive)
	if m, _ := n.trackers["host-1"].View().Member("host-5"); m.Incarnation != "host-5/inc-2" {
		t.Errorf("incarnation %s is seen after the restart", m.Incarnation)
	}
}

func TestRestartedMemberWithASlowerClockReplacesTheOld(t *testing.T) {
	n := newNetwork(t, 3)
	n.down["host-3"] = true
	now := n.now
	n.now = now.Add(-time.Hour)
	restarted := n.start("host-3", "inc-2")
	n.now = now
	n.spread(restarted.Merge([]Record{n.trackers["host-1"].records["host-3"]}, n.now)...)
	if m, _ := n.trackers["host-1"].View().Member("host-3"); m.Incarnation != "host-3/inc-2" {
		t.Errorf("incarnation %s is seen after the restart", m.Incarnation)
	}
}

func TestReplacedDaemonThatResumesIsSuperseded(t *testing.T) {
	n := newNetwork(t, 3)
	old := n.trackers["host-3"]
	n.down["host-3"] = true
	n.run(2)
	replacement := n.start("host-3", "inc-2")
	n.run(2)
	if out := old.Merge([]Record{replacement.Self()}, n.now); len(out) != 0 {
		t.Errorf("the replaced daemon says %v", out)
	}
	old.Confirm(old.Self().Version(), n.now)
	if !old.Superseded() || old.Confirmed(n.now) {
		t.Error("the replaced daemon may still act")
	}
}

func TestIsolatedDaemonKeepsItsLastView(t *testing.T) {
	n := newNetwork(t, 9)
	alone := n.trackers["host-5"]
	for _, id := range n.ids() {
		n.cut[[2]string{"host-5", id}] = true
	}
	for range 40 {
		n.now = n.now.Add(period)
		if out := alone.Tick(n.now); len(out) != 0 {
			t.Fatalf("an isolated daemon says %v", out)
		}
	}
	if !alone.Isolated() || alone.Confirmed(n.now) {
		t.Error("a daemon that hears nobody is not isolated, or confirmed")
	}
	for _, m := range alone.View().Members() {
		if want := m.ID == "host-5"; (m.State == Alive) != want || !m.Usable() {
			t.Errorf("the isolated daemon shows %s %s", m.ID, m.State)
		}
	}
	alone.UpdateHosts([]Host{{ID: "host-1", Removed: true}}, n.now)
	if m, ok := alone.View().Member("host-1"); ok {
		t.Errorf("a host that the platform removed is still shown %s", m.State)
	}
}

func TestOwnPauseCondemnsNobody(t *testing.T) {
	n := newNetwork(t, 3)
	paused := n.trackers["host-1"]
	n.now = n.now.Add(time.Hour)
	paused.RecordHeartbeat("host-2", "host-2/inc-1", n.now)
	if out := paused.Tick(n.now); len(out) != 0 {
		t.Errorf("after its own pause the daemon says %v", out)
	}
	if paused.Confirmed(n.now) {
		t.Error("the daemon is confirmed after its pause")
	}
}

func TestListedHostIsDeadUntilHeardAndGoneWhenRemoved(t *testing.T) {
	n := newNetwork(t, 2)
	one := n.trackers["host-1"]
	host := Host{ID: "host-9", DataCentre: "dc", Region: "region", Peer: anyAddr, Caller: anyAddr}
	one.UpdateHosts([]Host{host}, n.now)
	if m, ok := one.View().Member("host-9"); !ok || m.State != Dead || m.Incarnation != "" {
		t.Errorf("a host never heard from is shown as %+v", m)
	}
	if !slices.Contains(one.Neighbours(), "host-9") {
		t.Error("no heartbeat would go to a listed host")
	}
	host.Removed = true
	one.UpdateHosts([]Host{host}, n.now)
	if _, ok := one.View().Member("host-9"); ok {
		t.Error("a removed host is still shown")
	}
}

func TestLaggingListRemovesNobodyWhoIsHeard(t *testing.T) {
	n := newNetwork(t, 3)
	one := n.trackers["host-1"]
	one.UpdateHosts([]Host{{ID: "host-2", Removed: true}}, n.now)
	n.run(8)
	if m, _ := one.View().Member("host-2"); m.State != Alive {
		t.Errorf("a member that is heard is shown %s", m.State)
	}
	one.UpdateHosts([]Host{{ID: "host-2", Leaving: true}}, n.now)
	if m, _ := one.View().Member("host-2"); m.State != Leaving {
		t.Errorf("a leaving host is shown %s", m.State)
	}
}

func TestLeavingIsSpreadAndEndsDead(t *testing.T) {
	n := newNetwork(t, 3)
	n.spread(n.trackers["host-3"].Leave())
	n.want("host-3", Leaving)
	n.down["host-3"] = true
	n.run(6)
	n.want("host-3", Dead)
}

func TestRecordsOfPeersAreChecked(t *testing.T) {
	n := newNetwork(t, 2)
	one := n.trackers["host-1"]
	for _, r := range []Record{
		{},
		{ID: "x", Incarnation: "i", State: Dead + 1, Peer: anyAddr, Caller: anyAddr},
		{ID: "x", Incarnation: "i", Sequence: maxSequence + 1, Peer: anyAddr, Caller: anyAddr},
		{ID: "x", Incarnation: "i"},
	} {
		one.Merge([]Record{r}, n.now)
		if _, ok := one.View().Member(r.ID); ok {
			t.Errorf("took %+v", r)
		}
	}
}
