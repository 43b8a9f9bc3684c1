package proofs

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	tiller "bilberrytiller.example/tiller/coordination/platform"
	"bilberrytiller.example/tiller/protocol/operatorapi"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"

	"bilberrytiller.example/standin/fleet"
	"bilberrytiller.example/standin/platform"
	"bilberrytiller.example/standin/relay"
)

// nineHosts is a fleet of the size of today: six data centres in three
// regions, and no upstreams.
func nineHosts() fleet.Options {
	return fleet.Options{
		DataCentres: map[string]string{
			"east-1": "east", "east-2": "east", "mid-1": "mid", "mid-2": "mid", "west-1": "west", "west-2": "west",
		},
		Hosts: []string{"east-1", "east-1", "east-2", "mid-1", "mid-1", "mid-2", "west-1", "west-1", "west-2"},
		Seeds: true,
	}
}

// statusOf reads what a daemon knows, or fails the test.
func statusOf(t *testing.T, h *fleet.Host) operatorapi.Status {
	t.Helper()
	status, err := h.Status()
	if err != nil {
		t.Fatalf("status of %s: %v", h.ID, err)
	}
	return status
}

// memberOf returns a member as a daemon sees it.
func memberOf(status operatorapi.Status, id string) operatorapi.Member {
	i := slices.IndexFunc(status.Members, func(m operatorapi.Member) bool { return m.Host == id })
	if i < 0 {
		return operatorapi.Member{}
	}
	return status.Members[i]
}

// everywhere waits until a condition holds of the status of every running
// daemon but those given.
func everywhere(t *testing.T, f *fleet.Fleet, what string, holds func(operatorapi.Status) bool, but ...*fleet.Host) {
	t.Helper()
	fleet.Eventually(t, what, func() bool {
		for _, h := range f.Hosts {
			if !h.Running() || slices.Contains(but, h) {
				continue
			}
			if status, err := h.Status(); err != nil || !holds(status) {
				return false
			}
		}
		return true
	})
}

// seen waits until a host is in a state for every other running daemon.
func seen(t *testing.T, f *fleet.Fleet, h *fleet.Host, state string) {
	t.Helper()
	everywhere(t, f, h.ID+" is "+state, func(s operatorapi.Status) bool { return memberOf(s, h.ID).State == state }, h)
}

// logField returns the value of a pair in a line of a daemon's log, or "".
func logField(line, name string) string {
	for pair := range strings.FieldsSeq(line) {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}

// tookForDead reports whether a log tells that a member was taken for dead.
func tookForDead(log, member string) bool {
	for line := range strings.SplitSeq(log, "\n") {
		if logField(line, "event") == "member.changed" && logField(line, "member") == member && logField(line, "state") == "dead" {
			return true
		}
	}
	return false
}

// metric reads a counter or gauge of a daemon, or fails the test.
func metric(t *testing.T, h *fleet.Host, name string) int64 {
	t.Helper()
	var all map[string]any
	if err := h.GetJSON(operatorapi.PathMetrics, &all); err != nil {
		t.Fatalf("metrics of %s: %v", h.ID, err)
	}
	value, ok := all[name].(float64)
	if !ok {
		t.Fatalf("%s has no metric %s", h.ID, name)
	}
	return int64(value)
}

// grown waits until a counter of a daemon has grown by an amount.
func grown(t *testing.T, h *fleet.Host, name string, by int64) {
	t.Helper()
	before := metric(t, h, name)
	fleet.Eventually(t, name+" grows", func() bool { return metric(t, h, name) >= before+by })
}

func TestKilledHostIsDeadAndItsSuccessorAlive(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	h := f.Hosts[4]
	before := statusOf(t, h).Incarnation
	h.Kill()
	seen(t, f, h, "dead")
	fleet.Eventually(t, "the death is logged", func() bool { return tookForDead(f.Hosts[0].Log(), h.ID) })
	f.Restart(h)
	f.WaitConverged()
	if after := memberOf(statusOf(t, f.Hosts[0]), h.ID).Incarnation; after == before || after != statusOf(t, h).Incarnation {
		t.Errorf("incarnation %s is seen after the restart, was %s", after, before)
	}
}

func TestPausedHostIsDeadThenAliveAgain(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	h := f.Hosts[4]
	before, logged := statusOf(t, h).Incarnation, h.Log()
	h.Pause()
	seen(t, f, h, "dead")
	h.Resume()
	f.WaitConverged()
	fleet.Eventually(t, "the resumed daemon is confirmed", func() bool { return statusOf(t, h).Standing.Confirmed })
	if after := memberOf(statusOf(t, f.Hosts[0]), h.ID).Incarnation; after != before {
		t.Errorf("incarnation %s is seen after the pause, was %s", after, before)
	}
	for _, other := range f.Hosts {
		if tookForDead(strings.TrimPrefix(h.Log(), logged), other.ID) {
			t.Errorf("the paused daemon took %s for dead", other.ID)
		}
	}
}

func TestPausedDaemonThatWasReplacedHoldsNoDutyWhenItResumes(t *testing.T) {
	f := fleet.Start(t, smallFleet())
	h := f.Hosts[2]
	before := statusOf(t, h).Incarnation
	h.Pause()
	old := f.Replace(h)
	f.WaitConverged()
	old.Resume()
	fleet.Eventually(t, "the replaced daemon is superseded", func() bool {
		s := statusOf(t, old).Standing
		return s.Superseded && !s.Confirmed
	})
	f.WaitConverged()
	for _, other := range f.Hosts {
		if got := memberOf(statusOf(t, other), h.ID).Incarnation; got == before {
			t.Errorf("%s takes the replaced daemon for %s", other.ID, h.ID)
		}
	}
	for _, service := range []string{"lookups", "payments"} {
		fleet.Eventually(t, service+" are served", func() bool {
			return run(t, f.Client(), service, "after-replacement").Outcome == request.OutcomeDone
		})
	}
}

func TestHostJoinsThroughPeersWhileThePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	f.Platform.SetFaults(platform.Faults{Down: true})
	joined := f.AddHost("mid-2")
	f.WaitConverged()
	h := f.Hosts[0]
	h.Kill()
	seen(t, f, h, "dead")
	if got := statusOf(t, joined); !got.Standing.Confirmed || got.Standing.Isolated {
		t.Errorf("the joined daemon's standing is %+v", got.Standing)
	}
}

func TestCutOffHostKeepsItsLastView(t *testing.T) {
	for name, mode := range map[string]relay.Mode{"cut": relay.Disconnect, "silent": relay.Blackhole} {
		t.Run(name, func(t *testing.T) {
			f := fleet.Start(t, nineHosts())
			h := f.Hosts[4]
			f.SetHostPaths(h, mode)
			seen(t, f, h, "dead")
			fleet.Eventually(t, "the daemon is isolated and not confirmed", func() bool {
				s := statusOf(t, h).Standing
				return s.Isolated && !s.Confirmed
			})
			grown(t, h, "heartbeats_failed", 36)
			for _, m := range statusOf(t, h).Members {
				if m.State != "alive" && m.State != "suspect" {
					t.Errorf("the isolated daemon sees %s %s", m.Host, m.State)
				}
			}
			f.SetHostPaths(h, relay.Pass)
			f.WaitConverged()
		})
	}
}

func TestConnectionsThatGoSilentCostNoMember(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	h := f.Hosts[4]
	before := map[*fleet.Host]string{}
	for _, other := range f.Hosts {
		before[other] = other.Log()
	}
	// Each of the four neighbours' connections fails once, so the counter is
	// read before the cut: a reading 400 ms after it has counted them already.
	failed := metric(t, h, "heartbeats_failed")
	f.SetHostPaths(h, relay.BlackholeOpen)
	fleet.Eventually(t, "heartbeats to four neighbours fail", func() bool {
		return metric(t, h, "heartbeats_failed") >= failed+4
	})
	grown(t, h, "heartbeats_answered", 60)
	f.WaitConverged()
	for _, other := range f.Hosts {
		if tookForDead(strings.TrimPrefix(other.Log(), before[other]), h.ID) {
			t.Errorf("%s took the host with silent connections for dead", other.ID)
		}
	}
}

func TestAllHostsReplacedOneAfterTheOtherWhileThePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	want := statusOf(t, f.Hosts[0]).CatalogueVersion
	f.Platform.SetFaults(platform.Faults{Down: true})
	for _, h := range f.Hosts {
		h.Kill()
		f.Restart(h)
		f.WaitConverged()
	}
	everywhere(t, f, "catalogue outlives all hosts", func(s operatorapi.Status) bool { return s.CatalogueVersion == want })
}

func TestPeersThatSpeakGarbageHarmNothing(t *testing.T) {
	f := fleet.Start(t, nineHosts())
	frames := map[string][]byte{"garbage": []byte("\xff\x00 not a frame"), "unknown version": unknownVersion(t)}
	for name, frame := range frames {
		for _, h := range f.Hosts {
			if err := sendFrame(t, h.PeerAddr(), frame); err == nil {
				t.Fatalf("%s takes %s and leaves the connection open", h.ID, name)
			}
		}
	}
	garbled := httptest.NewServer(http.HandlerFunc(answerGarbage))
	defer garbled.Close()
	addr := netip.MustParseAddrPort(garbled.Listener.Addr().String())
	f.Platform.SetHosts(append(f.HostList(), tiller.Host{
		ID: "garbled", DataCentre: "east-1", Region: "east", Peer: addr, Caller: addr, State: tiller.HostLive,
	}))
	everywhere(t, f, "the garbled host is listed and dead", func(s operatorapi.Status) bool {
		return memberOf(s, "garbled").State == "dead"
	})
	f.WaitConverged()
}

func unknownVersion(t *testing.T) []byte {
	t.Helper()
	frame, err := wire.Encode(wire.Envelope{Type: wire.TypeHello, ID: 1}, &wire.Hello{})
	if err != nil {
		t.Fatal(err)
	}
	i := slices.Index(frame, 'v')
	frame[i+1] = wire.Version + 6
	return frame
}

// sendFrame sends a frame to a daemon and returns how its connection ended.
func sendFrame(t *testing.T, to netip.AddrPort, frame []byte) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	header := http.Header{}
	header.Set(peer.HeaderAuth, peer.NewAuth("stranger", []byte(fleet.Secret)).Token(time.Now()))
	ws, _, err := websocket.Dial(ctx, "ws://"+to.String()+peer.Path, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ws.CloseNow() }()
	if err := ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return err
	}
	_, _, err = ws.Read(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// answerGarbage answers each frame of a daemon with one that is not CBOR.
func answerGarbage(w http.ResponseWriter, r *http.Request) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = ws.CloseNow() }()
	for {
		if _, _, err := ws.Read(r.Context()); err != nil {
			return
		}
		if err := ws.Write(r.Context(), websocket.MessageBinary, []byte("\xff\xff")); err != nil {
			return
		}
	}
}
