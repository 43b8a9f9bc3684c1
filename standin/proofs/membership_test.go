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

// nineHostFleet returns the options of a fleet of nine hosts in six data centres
// and three regions, without upstreams. It has the size of the production fleet.
func nineHostFleet() fleet.Options {
	return fleet.Options{
		DataCentres: map[string]string{
			"east-1": "east", "east-2": "east", "mid-1": "mid", "mid-2": "mid", "west-1": "west", "west-2": "west",
		},
		Hosts: []string{"east-1", "east-1", "east-2", "mid-1", "mid-1", "mid-2", "west-1", "west-1", "west-2"},
		Seeds: true,
	}
}

// statusOf returns the status of a daemon, or fails the test.
func statusOf(t *testing.T, h *fleet.Host) operatorapi.Status {
	t.Helper()
	status, err := h.Status()
	if err != nil {
		t.Fatalf("status of %s: %v", h.ID, err)
	}
	return status
}

// memberOf returns a member of the status of a daemon, or the zero Member.
func memberOf(status operatorapi.Status, id string) operatorapi.Member {
	i := slices.IndexFunc(status.Members, func(m operatorapi.Member) bool { return m.Host == id })
	if i < 0 {
		return operatorapi.Member{}
	}
	return status.Members[i]
}

// awaitStatus waits until a condition holds for the status of every running
// daemon except the given ones.
func awaitStatus(t *testing.T, f *fleet.Fleet, what string, holds func(operatorapi.Status) bool, except ...*fleet.Host) {
	t.Helper()
	fleet.Eventually(t, what, func() bool {
		for _, h := range f.Hosts {
			if !h.Running() || slices.Contains(except, h) {
				continue
			}
			if status, err := h.Status(); err != nil || !holds(status) {
				return false
			}
		}
		return true
	})
}

// awaitMemberState waits until all other running daemons see a host in a state.
func awaitMemberState(t *testing.T, f *fleet.Fleet, h *fleet.Host, state string) {
	t.Helper()
	awaitStatus(t, f, h.ID+" is "+state, func(s operatorapi.Status) bool { return memberOf(s, h.ID).State == state }, h)
}

// logField returns the value of a key=value pair in a line of a daemon's log, or
// "".
func logField(line, name string) string {
	for pair := range strings.FieldsSeq(line) {
		if value, ok := strings.CutPrefix(pair, name+"="); ok {
			return value
		}
	}
	return ""
}

// loggedDead reports whether a log has an event that marks a member dead.
func loggedDead(log, member string) bool {
	for line := range strings.SplitSeq(log, "\n") {
		if logField(line, "event") == "member.changed" && logField(line, "member") == member && logField(line, "state") == "dead" {
			return true
		}
	}
	return false
}

// metric returns a counter or gauge of a daemon, or fails the test.
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

// awaitMetricIncrease waits until a counter of a daemon has increased by at least
// the given amount.
func awaitMetricIncrease(t *testing.T, h *fleet.Host, name string, by int64) {
	t.Helper()
	before := metric(t, h, name)
	fleet.Eventually(t, name+" increases", func() bool { return metric(t, h, name) >= before+by })
}

// TestKilledHostIsDeadUntilRestarted guards against a killed daemon that is never
// marked dead, and against a restarted daemon that is taken for the killed one
// instead of a new incarnation.
func TestKilledHostIsDeadUntilRestarted(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	h := f.Hosts[4]
	before := statusOf(t, h).Incarnation
	h.Kill()
	awaitMemberState(t, f, h, "dead")
	fleet.Eventually(t, "the dead member is logged", func() bool { return loggedDead(f.Hosts[0].Log(), h.ID) })
	f.Restart(h)
	f.WaitConverged()
	if after := memberOf(statusOf(t, f.Hosts[0]), h.ID).Incarnation; after == before || after != statusOf(t, h).Incarnation {
		t.Errorf("incarnation is %s after the restart, was %s before; want the new one of the daemon", after, before)
	}
}

// TestPauseStopsEveryThread guards against pauses that begin later than their tests
// assume, so that a paused daemon still takes a request.
func TestPauseStopsEveryThread(t *testing.T) {
	h := fleet.Start(t, threeHostFleet()).Hosts[0]
	for range 100 {
		h.Pause()
		if states := strings.Join(h.ThreadStates(), ""); states != strings.Repeat("T", max(1, len(states))) {
			t.Fatalf("states of the threads after a pause are %q, want T", states)
		}
		h.Resume()
	}
}

// TestPausedHostIsDeadThenAliveAgain guards against a paused daemon that does not
// return with its old incarnation when it resumes, and against one that marks
// other hosts dead because it received no heartbeats while it was paused.
func TestPausedHostIsDeadThenAliveAgain(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	h := f.Hosts[4]
	before, logged := statusOf(t, h).Incarnation, h.Log()
	h.Pause()
	awaitMemberState(t, f, h, "dead")
	h.Resume()
	f.WaitConverged()
	fleet.Eventually(t, "the resumed daemon is confirmed", func() bool { return statusOf(t, h).Standing.Confirmed })
	if after := memberOf(statusOf(t, f.Hosts[0]), h.ID).Incarnation; after != before {
		t.Errorf("incarnation is %s after the pause, want %s as before", after, before)
	}
	for _, other := range f.Hosts {
		if loggedDead(strings.TrimPrefix(h.Log(), logged), other.ID) {
			t.Errorf("the paused daemon marked %s dead", other.ID)
		}
	}
}

// TestReplacedDaemonStaysInactiveWhenResumed guards against two active daemons of
// one host: a daemon is paused, replaced by a new one and resumed. It must find
// itself superseded and no longer confirmed, and no other daemon may take it for
// the host.
func TestReplacedDaemonStaysInactiveWhenResumed(t *testing.T) {
	f := fleet.Start(t, threeHostFleet())
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
			t.Errorf("%s lists the replaced daemon as %s", other.ID, h.ID)
		}
	}
	for _, service := range []string{"lookups", "payments"} {
		fleet.Eventually(t, service+" are answered", func() bool {
			return runRequest(t, f.Client(), service, "after-replacement").Outcome == request.OutcomeDone
		})
	}
}

// TestHostJoinsThroughPeersWhilePlatformIsDown guards against a daemon that needs
// the platform to join: it must join through its seeds, and stay confirmed when
// another host is killed.
func TestHostJoinsThroughPeersWhilePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	f.Platform.SetFaults(platform.Faults{Down: true})
	joined := f.AddHost("mid-2")
	f.WaitConverged()
	h := f.Hosts[0]
	h.Kill()
	awaitMemberState(t, f, h, "dead")
	if got := statusOf(t, joined); !got.Standing.Confirmed || got.Standing.Isolated {
		t.Errorf("standing of the joined daemon is %+v, want confirmed and not isolated", got.Standing)
	}
}

// TestIsolatedHostKeepsItsMemberList guards against a disconnected daemon that
// marks the rest of the fleet dead. It must report itself isolated and keep its
// members alive or suspect until it is connected again.
func TestIsolatedHostKeepsItsMemberList(t *testing.T) {
	for name, mode := range map[string]relay.Mode{"disconnected": relay.Disconnect, "blackholed": relay.Blackhole} {
		t.Run(name, func(t *testing.T) {
			f := fleet.Start(t, nineHostFleet())
			h := f.Hosts[4]
			f.SetHostPaths(h, mode)
			awaitMemberState(t, f, h, "dead")
			fleet.Eventually(t, "the daemon is isolated and not confirmed", func() bool {
				s := statusOf(t, h).Standing
				return s.Isolated && !s.Confirmed
			})
			awaitMetricIncrease(t, h, "heartbeats_failed", 36)
			for _, m := range statusOf(t, h).Members {
				if m.State != "alive" && m.State != "suspect" {
					t.Errorf("the isolated daemon sees %s as %s, want alive or suspect", m.Host, m.State)
				}
			}
			f.SetHostPaths(h, relay.Pass)
			f.WaitConverged()
		})
	}
}

// TestStalledConnectionsDoNotMarkMemberDead guards against a member that is marked
// dead because its open connections carry no more bytes, although new connections
// work.
func TestStalledConnectionsDoNotMarkMemberDead(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	h := f.Hosts[4]
	before := map[*fleet.Host]string{}
	for _, other := range f.Hosts {
		before[other] = other.Log()
	}
	// The connection to each of the four neighbours fails only once, so the
	// counter is read before the connections are stalled: 400 ms later it has
	// already counted these failures.
	failed := metric(t, h, "heartbeats_failed")
	f.SetHostPaths(h, relay.BlackholeOpen)
	fleet.Eventually(t, "heartbeats to four neighbours fail", func() bool {
		return metric(t, h, "heartbeats_failed") >= failed+4
	})
	awaitMetricIncrease(t, h, "heartbeats_answered", 60)
	f.WaitConverged()
	for _, other := range f.Hosts {
		if loggedDead(strings.TrimPrefix(other.Log(), before[other]), h.ID) {
			t.Errorf("%s marked the host with stalled connections dead", other.ID)
		}
	}
}

// TestRollingReplacementWhilePlatformIsDown guards against the loss of the
// catalogue when all daemons are replaced one after the other during an outage of
// the platform.
func TestRollingReplacementWhilePlatformIsDown(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	want := statusOf(t, f.Hosts[0]).CatalogueVersion
	f.Platform.SetFaults(platform.Faults{Down: true})
	for _, h := range f.Hosts {
		h.Kill()
		f.Restart(h)
		f.WaitConverged()
	}
	awaitStatus(t, f, "the catalogue is in force on all replaced daemons", func(s operatorapi.Status) bool { return s.CatalogueVersion == want })
}

// TestMalformedPeerFramesAreHarmless guards against a peer that sends malformed
// frames or frames of an unknown version. Daemons must close its connections, mark
// a host dead that answers calls with malformed frames, and keep the other members.
func TestMalformedPeerFramesAreHarmless(t *testing.T) {
	f := fleet.Start(t, nineHostFleet())
	frames := map[string][]byte{"garbage": []byte("\xff\x00 not a frame"), "unknown version": unknownVersion(t)}
	for name, frame := range frames {
		for _, h := range f.Hosts {
			if err := sendFrame(t, h.PeerAddr(), frame); err == nil {
				t.Fatalf("%s does not close a connection after a frame with %s", h.ID, name)
			}
		}
	}
	malformed := httptest.NewServer(http.HandlerFunc(answerGarbage))
	defer malformed.Close()
	addr := netip.MustParseAddrPort(malformed.Listener.Addr().String())
	f.Platform.SetHosts(append(f.HostList(), tiller.Host{
		ID: "garbled", DataCentre: "east-1", Region: "east", Peer: addr, Caller: addr, State: tiller.HostLive,
	}))
	awaitStatus(t, f, "the host with malformed answers is dead", func(s operatorapi.Status) bool {
		return memberOf(s, "garbled").State == "dead"
	})
	f.WaitConverged()
}

// unknownVersion returns a valid frame whose protocol version is unknown.
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

// sendFrame sends a frame to a daemon and returns the error with which the
// connection ended, or nil if it stayed open.
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

// answerGarbage accepts a peer connection and answers each frame with bytes that
// are not CBOR.
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
