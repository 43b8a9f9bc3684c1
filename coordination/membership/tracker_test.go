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

const heartbeatPeriod = 250 * time.Millisecond

// network simulates a fleet of trackers that share one clock and exchange
// heartbeats and records without delay.
type network struct {
	t        *testing.T
	now      time.Time
	trackers map[string]*Tracker
	down     map[string]bool
	cutLinks map[[2]string]bool
}

func newNetwork(t *testing.T, hosts int) *network {
	n := &network{t: t, now: start, trackers: map[string]*Tracker{}, down: map[string]bool{}, cutLinks: map[[2]string]bool{}}
	for i := range hosts {
		n.start(fmt.Sprintf("host-%d", i+1), "inc-1")
	}
	n.advance(4)
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
	n.broadcast(t.Self())
	for other, o := range n.trackers {
		if !n.down[other] {
			n.broadcast(t.Merge([]Record{o.Self()}, n.now)...)
		}
	}
	return t
}

func (n *network) connected(a, b string) bool {
	return !n.down[a] && !n.down[b] && !n.cutLinks[[2]string{a, b}] && !n.cutLinks[[2]string{b, a}]
}

// broadcast delivers records to every running tracker, and then also the
// records that the trackers return in response.
func (n *network) broadcast(records ...Record) {
	for _, r := range records {
		for _, t := range n.trackers {
			if !n.down[t.self.ID] {
				n.broadcast(t.Merge([]Record{r}, n.now)...)
			}
		}
	}
}

// advance simulates a number of heartbeat periods.
func (n *network) advance(periods int) {
	for range periods {
		n.now = n.now.Add(heartbeatPeriod)
		for _, id := range n.ids() {
			if !n.down[id] {
				n.heartbeat(n.trackers[id])
			}
		}
	}
}

func (n *network) heartbeat(t *Tracker) {
	n.broadcast(t.Tick(n.now)...)
	for _, id := range t.Neighbours() {
		if o := n.trackers[id]; o != nil && n.connected(t.self.ID, id) {
			t.RecordHeartbeat(id, o.self.Incarnation, n.now)
			o.RecordHeartbeat(t.self.ID, t.self.Incarnation, n.now)
			n.broadcast(t.Confirm(o.VersionOf(t.self.ID), n.now)...)
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

// expectState fails the test unless every other running tracker has the member
// in the given state.
func (n *network) expectState(id string, state State) {
	n.t.Helper()
	for other, t := range n.trackers {
		if m, _ := t.View().Member(id); other != id && !n.down[other] && m.State != state {
			n.t.Errorf("%s has %s in state %s, want %s", other, id, m.State, state)
		}
	}
}

func TestStoppedMemberBecomesSuspectThenDead(t *testing.T) {
	n := newNetwork(t, 9)
	n.down["host-5"] = true
	n.advance(3)
	n.expectState("host-5", Suspect)
	n.advance(3)
	n.expectState("host-5", Dead)
}

func TestPausedMemberRejoinsWithSameIncarnation(t *testing.T) {
	n := newNetwork(t, 9)
	before := n.trackers["host-5"].Self().Incarnation
	n.down["host-5"] = true
	n.advance(8)
	n.expectState("host-5", Dead)
	paused := n.trackers["host-5"]
	if paused.Confirmed(n.now) {
		t.Error("daemon is still confirmed after a pause longer than its lease")
	}
	delete(n.down, "host-5")
	n.advance(2)
	n.expectState("host-5", Alive)
	if m, _ := n.trackers["host-1"].View().Member("host-5"); m.Incarnation != before {
		t.Errorf("incarnation %s, want %s", m.Incarnation, before)
	}
	if !paused.Confirmed(n.now) {
		t.Error("daemon is not confirmed after it rejoined")
	}
	for _, m := range paused.View().Members() {
		if m.State != Alive {
			t.Errorf("paused daemon has %s in state %s, want alive", m.ID, m.State)
		}
	}
}

func TestSuspectedMemberRefutesImmediately(t *testing.T) {
	n := newNetwork(t, 3)
	suspicion := n.trackers["host-1"].records["host-3"]
	suspicion.State = Suspect
	n.broadcast(suspicion)
	n.expectState("host-3", Alive)
	if n.trackers["host-3"].Self().Sequence == 0 {
		t.Error("member did not increase its sequence")
	}
}

func TestConfirmationWithDeadStateIsRefuted(t *testing.T) {
	n := newNetwork(t, 3)
	member := n.trackers["host-3"]
	n.now = n.now.Add(2 * timing.Lease)
	deadRecord := member.Self()
	deadRecord.State = Dead
	if out := member.Confirm(deadRecord.Version(), n.now); len(out) != 1 || out[0].Version() <= deadRecord.Version() {
		t.Errorf("member returned %v, want one record with a higher version than its dead record", out)
	}
	if member.Confirmed(n.now) {
		t.Error("daemon was confirmed by a neighbour that has it as dead")
	}
}

// TestLargestSequenceIsRefuted guards against a sequence that overflows, after which no other
// member accepts the daemon's records.
func TestLargestSequenceIsRefuted(t *testing.T) {
	n := newNetwork(t, 3)
	member, other := n.trackers["host-3"], n.trackers["host-1"]
	suspicion := member.Self()
	suspicion.State, suspicion.Sequence = Suspect, maxSequence
	other.Merge([]Record{suspicion}, n.now)
	out := member.Merge([]Record{suspicion}, n.now)
	if len(out) != 1 || !out[0].Valid() || out[0].Version() <= suspicion.Version() {
		t.Fatalf("member returned %+v, want a valid record with a higher version", out)
	}
	leaving := member.Leave()
	other.Merge(append(out, leaving), n.now)
	if got := other.records["host-3"]; got != leaving || member.Superseded() {
		t.Errorf("another member has %+v, want %+v", got, leaving)
	}
	if again := member.Merge([]Record{suspicion}, n.now); len(again) != 0 {
		t.Errorf("member refuted an old record again with %+v", again)
	}
}

func TestRestartedMemberReplacesOldIncarnation(t *testing.T) {
	n := newNetwork(t, 9)
	n.down["host-5"] = true
	n.advance(1)
	n.start("host-5", "inc-2")
	n.expectState("host-5", Alive)
	if m, _ := n.trackers["host-1"].View().Member("host-5"); m.Incarnation != "host-5/inc-2" {
		t.Errorf("incarnation %s is seen after the restart", m.Incarnation)
	}
}

func TestRestartWithSlowClockReplacesOldIncarnation(t *testing.T) {
	n := newNetwork(t, 3)
	n.down["host-3"] = true
	now := n.now
	n.now = now.Add(-time.Hour)
	restarted := n.start("host-3", "inc-2")
	n.now = now
	n.broadcast(restarted.Merge([]Record{n.trackers["host-1"].records["host-3"]}, n.now)...)
	if m, _ := n.trackers["host-1"].View().Member("host-3"); m.Incarnation != "host-3/inc-2" {
		t.Errorf("incarnation %s is seen after the restart", m.Incarnation)
	}
}

func TestReplacedDaemonThatResumesIsSuperseded(t *testing.T) {
	n := newNetwork(t, 3)
	old := n.trackers["host-3"]
	n.down["host-3"] = true
	n.advance(2)
	replacement := n.start("host-3", "inc-2")
	n.advance(2)
	if out := old.Merge([]Record{replacement.Self()}, n.now); len(out) != 0 {
		t.Errorf("replaced daemon returned %v, want no records", out)
	}
	old.Confirm(old.Self().Version(), n.now)
	if !old.Superseded() || old.Confirmed(n.now) {
		t.Error("replaced daemon is not superseded or is still confirmed")
	}
}

func TestIsolatedDaemonKeepsLastView(t *testing.T) {
	n := newNetwork(t, 9)
	isolated := n.trackers["host-5"]
	for _, id := range n.ids() {
		n.cutLinks[[2]string{"host-5", id}] = true
	}
	for range 40 {
		n.now = n.now.Add(heartbeatPeriod)
		if out := isolated.Tick(n.now); len(out) != 0 {
			t.Fatalf("isolated daemon returned %v, want no records", out)
		}
	}
	if !isolated.Isolated() || isolated.Confirmed(n.now) {
		t.Error("daemon without contact to any neighbour is not isolated or is still confirmed")
	}
	for _, m := range isolated.View().Members() {
		if want := m.ID == "host-5"; (m.State == Alive) != want || !m.Usable() {
			t.Errorf("isolated daemon shows %s in state %s", m.ID, m.State)
		}
	}
	isolated.UpdateHosts([]Host{{ID: "host-1", Removed: true}}, n.now)
	if m, ok := isolated.View().Member("host-1"); ok {
		t.Errorf("host removed by the platform is still in the view in state %s", m.State)
	}
}

func TestPausedDaemonSuspectsNoMember(t *testing.T) {
	n := newNetwork(t, 3)
	paused := n.trackers["host-1"]
	n.now = n.now.Add(time.Hour)
	paused.RecordHeartbeat("host-2", "host-2/inc-1", n.now)
	if out := paused.Tick(n.now); len(out) != 0 {
		t.Errorf("daemon returned %v after its own pause, want no records", out)
	}
	if paused.Confirmed(n.now) {
		t.Error("daemon is still confirmed after its own pause")
	}
}

func TestListedHostIsDeadUntilHeardAndDroppedWhenRemoved(t *testing.T) {
	n := newNetwork(t, 2)
	tracker := n.trackers["host-1"]
	host := Host{ID: "host-9", DataCentre: "dc", Region: "region", Peer: anyAddr, Caller: anyAddr}
	tracker.UpdateHosts([]Host{host}, n.now)
	if m, ok := tracker.View().Member("host-9"); !ok || m.State != Dead || m.Incarnation != "" {
		t.Errorf("listed host that was never heard from is %+v, want state dead without incarnation", m)
	}
	if !slices.Contains(tracker.Neighbours(), "host-9") {
		t.Error("listed host is not among the neighbours")
	}
	host.Removed = true
	tracker.UpdateHosts([]Host{host}, n.now)
	if _, ok := tracker.View().Member("host-9"); ok {
		t.Error("removed host is still in the view")
	}
}

func TestStaleHostListDoesNotRemoveLiveMember(t *testing.T) {
	n := newNetwork(t, 3)
	tracker := n.trackers["host-1"]
	tracker.UpdateHosts([]Host{{ID: "host-2", Removed: true}}, n.now)
	n.advance(8)
	if m, _ := tracker.View().Member("host-2"); m.State != Alive {
		t.Errorf("member that is still heard is in state %s, want alive", m.State)
	}
	tracker.UpdateHosts([]Host{{ID: "host-2", Leaving: true}}, n.now)
	if m, _ := tracker.View().Member("host-2"); m.State != Leaving {
		t.Errorf("leaving host is in state %s, want leaving", m.State)
	}
}

func TestLeavingMemberEndsDead(t *testing.T) {
	n := newNetwork(t, 3)
	n.broadcast(n.trackers["host-3"].Leave())
	n.expectState("host-3", Leaving)
	n.down["host-3"] = true
	n.advance(6)
	n.expectState("host-3", Dead)
}

func TestInvalidPeerRecordsAreRejected(t *testing.T) {
	n := newNetwork(t, 2)
	tracker := n.trackers["host-1"]
	for _, r := range []Record{
		{},
		{ID: "x", Incarnation: "i", State: Dead + 1, Peer: anyAddr, Caller: anyAddr},
		{ID: "x", Incarnation: "i", Sequence: maxSequence + 1, Peer: anyAddr, Caller: anyAddr},
		{ID: "x", Incarnation: "i"},
	} {
		tracker.Merge([]Record{r}, n.now)
		if _, ok := tracker.View().Member(r.ID); ok {
			t.Errorf("accepted invalid record %+v", r)
		}
	}
}
