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

// TestStopServesConnectionsThatWaitToBeAccepted has clients connect and send
// before the first connection is accepted, and a stop at that moment.
func TestStopServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	c := newClients(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	l := listen(t)
	var waiting []net.Conn
	for range 20 {
		conn := dial(t, l.Addr().String())
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		waiting = append(waiting, conn)
	}
	done := make(chan error, 1)
	go func() { done <- c.serve(l) }()
	c.drain(l)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	for i, conn := range waiting {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		resp.Body.Close()
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("a connection is taken after the stop")
	}
	for _, s := range c.stop() {
		s.Close()
	}
}

// TestStopEndsWhileClientsGoOnToConnect has clients connect again and again, so
// that the listener is never without one.
func TestStopEndsWhileClientsGoOnToConnect(t *testing.T) {
	c := newClients(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
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
	for _, s := range c.stop() {
		s.Close()
	}
}

// served starts clients on a port of its own.
func served(t *testing.T, c *clients) string {
	t.Helper()
	l := listen(t)
	done := make(chan error, 1)
	go func() { done <- c.serve(l) }()
	t.Cleanup(func() {
		l.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		for _, s := range c.stop() {
			s.Close()
		}
	})
	return l.Addr().String()
}

// exchange sends a raw request on a connection and returns the status.
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

func TestLimitsBindNewConnectionsAndCutNone(t *testing.T) {
	c := newClients(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	address := served(t, c)
	long := "X-Long: " + strings.Repeat("x", 20<<10) + "\r\n"
	old := dial(t, address)
	if status := exchange(t, old, long); status != http.StatusOK {
		t.Fatalf("before the limit: %d", status)
	}
	c.setLimits(routing.ClientLimits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	if status := exchange(t, dial(t, address), long); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a long head on a new connection: %d", status)
	}
	if status := exchange(t, old, ""); status != http.StatusOK {
		t.Errorf("the open connection: %d", status)
	}
}

func TestSlowHeadIsCutOthersAreServed(t *testing.T) {
	c := newClients(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	address := served(t, c)
	c.setLimits(routing.ClientLimits{HeaderTimeout: 20 * time.Millisecond})
	slow := dial(t, address)
	if _, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost"); err != nil {
		t.Fatal(err)
	}
	if status := exchange(t, dial(t, address), ""); status != http.StatusOK {
		t.Errorf("another client: %d", status)
	}
	if _, err := io.ReadAll(slow); err != nil {
		t.Errorf("the slow client's connection: %v", err)
	}
}
