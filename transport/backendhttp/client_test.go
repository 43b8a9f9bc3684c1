package backendhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"bilberrytiller.example/tiller/protocol/backendapi"
	"bilberrytiller.example/tiller/state/request"
)

func TestUnwrittenRequestIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	client := New(l.Addr().(*net.TCPAddr).AddrPort(), 10)
	req := &request.Request{ID: "id-1", Key: "key", Service: "payments", Body: []byte("pay"), Deadline: time.Now().Add(time.Minute)}
	if got := client.Run(context.Background(), req); got.Outcome != request.OutcomeNotRun {
		t.Errorf("nothing listens on the address: got %s (%s), want not-run", got.Outcome, got.Reason)
	}
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	addr := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	if got := New(addr, 10).attempt(context.Background(), newClosedConnClient(addr), req, new(sendTracker)); got.Outcome != request.OutcomeNotRun {
		t.Errorf("connection that accepts no write: got %s (%s), want not-run", got.Outcome, got.Reason)
	}
}

// TestRequestTakesAnotherConnectionThanClosedOne guards against a request that is refused
// as it gets a connection that an earlier one has closed, before net/http notices.
func TestRequestTakesAnotherConnectionThanClosedOne(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backendapi.HeaderRequestID, r.Header.Get(backendapi.HeaderRequestID))
	}))
	defer s.Close()
	addr := s.Listener.Addr().(*net.TCPAddr).AddrPort()
	dials := 0
	closedOnce := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		conn, err := countingDial(&net.Dialer{})(ctx, network, addr.String())
		if dials++; err == nil && dials == 1 {
			conn.(*countingConn).closeAndCount()
		}
		return conn, err
	}}}
	req := &request.Request{ID: "id-1", Key: "key", Service: "payments", Body: []byte("pay"), Deadline: time.Now().Add(time.Minute)}
	if got := New(addr, 10).attempt(context.Background(), closedOnce, req, new(sendTracker)); got.Outcome != request.OutcomeDone || dials != 2 {
		t.Errorf("got %s (%s) after %d connections, want done after 2", got.Outcome, got.Reason, dials)
	}
}

// newClosedConnClient returns a client whose connections fail every write, like
// connections that were lost while idle.
func newClosedConnClient(addr netip.AddrPort) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		conn, err := countingDial(&net.Dialer{})(ctx, network, addr.String())
		if err == nil {
			conn.(*countingConn).closeAndCount()
		}
		return conn, err
	}}}
}
