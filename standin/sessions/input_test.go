package sessions

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"bilberrytiller.example/tiller/coordination/permit"
	"bilberrytiller.example/tiller/protocol/callerapi"
	"bilberrytiller.example/tiller/protocol/wire"
	"bilberrytiller.example/tiller/state/catalogue"
	"bilberrytiller.example/tiller/state/request"
	"bilberrytiller.example/tiller/transport/peer"

	"bilberrytiller.example/standin/backend"
	"bilberrytiller.example/standin/fleet"
)

// startTwoHosts starts a fleet of two entry hosts with one service.
func startTwoHosts(t *testing.T) *fleet.Fleet {
	t.Helper()
	return fleet.Start(t, fleet.Options{
		DataCentres: map[string]string{"north-1": "north"},
		Hosts:       []string{"north-1", "north-1"},
		Services:    []catalogue.Service{fleet.Service("lookups", request.RankLookup, true)},
		Upstreams:   []fleet.Upstream{{Name: "lookups-1", Service: "lookups", DataCentre: "north-1", Options: backend.Options{Slots: 4}}},
	})
}

// requireServed fails the test unless the fleet answers a request.
func requireServed(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	result, err := f.Client().Run(ctx, "lookups", "", []byte("x"), nil)
	if err != nil || result.Outcome != request.OutcomeDone {
		t.Fatalf("got %+v, %v; want done", result, err)
	}
}

// TestIncompleteHeadersCloseOnlyTheirConnection guards against a client that
// sends a partial header and keeps its connection open: the daemon must close
// that connection, and serve other clients before and after.
func TestIncompleteHeadersCloseOnlyTheirConnection(t *testing.T) {
	t.Parallel()
	f := startTwoHosts(t)
	conn, err := net.Dial("tcp", f.Hosts[0].CallerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /v1/run/lookups HTTP/1.1\r\nHost: x\r\nTiller-"); err != nil {
		t.Fatal(err)
	}
	requireServed(t, f)
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("got %v, want the daemon to close the connection", err)
	}
	requireServed(t, f)
}

// TestOversizedHeadersAreRejected guards against a client that exhausts memory
// with a large header: a header of 64 KiB gets status 431, and the daemon goes
// on serving.
func TestOversizedHeadersAreRejected(t *testing.T) {
	t.Parallel()
	f := startTwoHosts(t)
	conn, err := net.Dial("tcp", f.Hosts[0].CallerAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	header := "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"
	// The daemon may close the connection before it has read the whole header,
	// so that the write may fail.
	_, _ = io.WriteString(conn, "GET /v1/lookup?service=lookups HTTP/1.1\r\nHost: x\r\n"+header)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %d, want %d", resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	}
	requireServed(t, f)
}

var peerAddress = regexp.MustCompile(`event=daemon\.ready .*peer=(\S+)`)

// dialPeer opens an authenticated connection to the peer listener of a daemon.
func dialPeer(ctx context.Context, t *testing.T, h *fleet.Host) *websocket.Conn {
	t.Helper()
	address := peerAddress.FindStringSubmatch(h.Log())[1]
	header := http.Header{peer.HeaderAuth: {peer.NewAuth("tests", []byte(fleet.Secret)).Token(time.Now())}}
	ws, _, err := websocket.Dial(ctx, "ws://"+address+peer.Path, &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		t.Fatal(err)
	}
	return ws
}

// TestMalformedFrameClosesOnlyItsConnection guards against a peer whose frames
// cannot be decoded: the daemon must close that connection with the reason,
// log it, and keep its other peers and its callers.
func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	t.Parallel()
	f := startTwoHosts(t)
	unknownVersion := []byte{0xa2, 0x61, 'v', 0x18, 99, 0x61, 't', 0x60}
	for name, frame := range map[string][]byte{"not CBOR": []byte("\xffgarbage"), "unknown version": unknownVersion, "empty": {}} {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		ws := dialPeer(ctx, t, f.Hosts[0])
		if err := ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
			t.Fatal(err)
		}
		_, _, err := ws.Read(ctx)
		var closed websocket.CloseError
		if !errors.As(err, &closed) || closed.Code != websocket.StatusUnsupportedData || closed.Reason == "" {
			t.Errorf("%s: got %v, want status unsupported data with a reason", name, err)
		}
	}
	fleet.Eventually(t, "the malformed frame is logged", func() bool { return strings.Contains(f.Hosts[0].Log(), "event=peer.malformed") })
	f.WaitConverged()
	requireServed(t, f)
}

// TestUnknownMessageTypeLeavesConnectionOpen guards against a peer of a newer
// release that sends a message type which the daemon does not know: the daemon
// must answer with an error and go on reading from the connection.
func TestUnknownMessageTypeLeavesConnectionOpen(t *testing.T) {
	t.Parallel()
	f := startTwoHosts(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ws := dialPeer(ctx, t, f.Hosts[0])
	for id := range uint64(2) {
		frame, err := wire.Encode(wire.Envelope{Type: "no-such-call", ID: id}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
			t.Fatal(err)
		}
		_, answer, err := ws.Read(ctx)
		if err != nil {
			t.Fatal(err)
		}
		env, err := wire.Decode(answer)
		if err != nil || env.ID != id || !strings.Contains(env.Error, "unknown call no-such-call") {
			t.Errorf("got %+v, %v; want an error that names the unknown call", env, err)
		}
	}
}

// TestInvalidKeysNeverRun guards against a payment that runs with an expired
// key or with a key signed with the secret of another fleet. Each entry host
// must reject both, and no backend server may run them.
func TestInvalidKeysNeverRun(t *testing.T) {
	t.Parallel()
	payments := fleet.Service("payments", request.RankPayment, false)
	f := fleet.Start(t, fleet.Options{
		DataCentres: map[string]string{"north-1": "north"},
		Hosts:       []string{"north-1", "north-1"},
		Services:    []catalogue.Service{payments},
		Upstreams:   []fleet.Upstream{{Name: "payments-1", Service: "payments", DataCentre: "north-1", Options: backend.Options{Slots: 4}}},
	})
	status, err := f.Hosts[0].Status()
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, secret string
		expires      time.Time
		want         request.Reason
	}{
		{"expired", fleet.Secret, time.Now().Add(-time.Hour), request.ReasonKeyExpired},
		{"forged", "a-secret-of-another-fleet", time.Now().Add(time.Hour), request.ReasonKeyInvalid},
	}
	for _, c := range cases {
		key, err := permit.NewIssuer([]byte(c.secret), rand.Reader).Issue(status.Incarnation, c.expires)
		if err != nil {
			t.Fatal(err)
		}
		for _, h := range f.Hosts {
			req, err := http.NewRequest(http.MethodPost, "http://"+h.CallerAddr.String()+callerapi.PathRun+"payments", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(callerapi.HeaderKey, key.String())
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got := resp.Header.Get(callerapi.HeaderReason); got != string(c.want) {
				t.Errorf("%s key at %s: got reason %s, want %s", c.name, h.ID, got, c.want)
			}
		}
	}
	if runs := f.Backends["payments-1"].Stats().Runs; runs != 0 {
		t.Errorf("backend server ran %d requests with invalid keys, want 0", runs)
	}
}
