package httpstop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startServer starts a server whose handler waits for release.
func startServer(t *testing.T, release <-chan struct{}) (*http.Server, net.Listener, *Conns) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
	conns := Track(s)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return s, l, conns
}

func dial(t *testing.T, l net.Listener, conns *Conns) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	for !conns.mayCarryRequest(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	return conn
}

func call(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got no answer: %v", err)
	}
	return resp
}

// TestStopAnswersRequestOnUnusedConnection guards against a stop that drops the first
// request of a connection that was opened before.
func TestStopAnswersRequestOnUnusedConnection(t *testing.T) {
	release := make(chan struct{})
	close(release)
	s, l, conns := startServer(t, release)
	conn := dial(t, l, conns)
	finished := make(chan error, 1)
	go func() { finished <- conns.Finish(context.Background(), s, l) }()
	for {
		extra, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			break
		}
		extra.Close()
	}
	if resp := call(t, conn); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("got status %d and close %v, want 200 and close", resp.StatusCode, resp.Close)
	}
	if err := <-finished; err != nil {
		t.Error(err)
	}
}

func TestFinishReturnsCauseWhileRequestRuns(t *testing.T) {
	release := make(chan struct{})
	s, l, conns := startServer(t, release)
	conn := dial(t, l, conns)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := conns.Finish(ctx, s, l); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the deadline of the context", err)
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v, want status 200 after the end of Finish", resp, err)
	}
}
