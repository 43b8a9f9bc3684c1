package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestDrainServesQueuedConnections guards against losing requests of clients
// that connected and sent before a stop, but whose connections were not
// accepted yet.
func TestDrainServesQueuedConnections(t *testing.T) {
	c := newClientServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), newTestGateway(t))
	l := listen(t)
	var queued []net.Conn
	for range 20 {
		conn := dial(t, l.Addr().String())
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		queued = append(queued, conn)
	}
	done := make(chan error, 1)
	go func() { done <- c.serve(l) }()
	c.drain(l)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for i, conn := range queued {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		resp.Body.Close()
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("a connection was accepted after the drain")
	}
	for s := range c.stop() {
		s.Close()
	}
}

// TestDrainEndsWhileClientsKeepConnecting guards against a stop that never ends
// because the accept queue is never empty.
func TestDrainEndsWhileClientsKeepConnecting(t *testing.T) {
	c := newClientServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), newTestGateway(t))
	l := listen(t)
	go func() {
		for {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	done := make(chan error, 1)
	go func() { done <- c.serve(l) }()
	c.drain(l)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for s := range c.stop() {
		s.Close()
	}
}

// startClientServer starts c on a free port and returns its address.
func startClientServer(t *testing.T, c *clientServer) string {
	t.Helper()
	l := listen(t)
	done := make(chan error, 1)
	go func() { done <- c.serve(l) }()
	t.Cleanup(func() {
		l.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		for s := range c.stop() {
			s.Close()
		}
	})
	return l.Addr().String()
}

// exchange sends a raw request with the given extra header lines on a
// connection and returns the response status.
func exchange(t *testing.T, conn net.Conn, header string) int {
	t.Helper()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+header+"\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestLimitsApplyToNewConnectionsOnly(t *testing.T) {
	c := newClientServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), newTestGateway(t))
	address := startClientServer(t, c)
	long := "X-Long: " + strings.Repeat("x", 20<<10) + "\r\n"
	old := dial(t, address)
	if status := exchange(t, old, long); status != http.StatusOK {
		t.Fatalf("before the limit: got status %d, want 200", status)
	}
	c.setLimits(routing.ClientLimits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	if status := exchange(t, dial(t, address), long); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("long header on a new connection: got status %d, want 431", status)
	}
	if status := exchange(t, old, ""); status != http.StatusOK {
		t.Errorf("connection opened before the limit: got status %d, want 200", status)
	}
}

func TestSlowHeaderClosesOnlyItsConnection(t *testing.T) {
	c := newClientServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), newTestGateway(t))
	address := startClientServer(t, c)
	c.setLimits(routing.ClientLimits{HeaderTimeout: 20 * time.Millisecond})
	slow := dial(t, address)
	if _, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost"); err != nil {
		t.Fatal(err)
	}
	if status := exchange(t, dial(t, address), ""); status != http.StatusOK {
		t.Errorf("another client: got status %d, want 200", status)
	}
	if _, err := io.ReadAll(slow); err != nil {
		t.Errorf("slow client: got error %v, want a closed connection", err)
	}
}
