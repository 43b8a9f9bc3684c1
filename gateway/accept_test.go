package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"bilberrytiller.example/tiller/coordination/connlimit"
)

// failingListener returns errors before it accepts.
type failingListener struct {
	*net.TCPListener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.TCPListener.Accept()
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func okHandler(http.ResponseWriter, *http.Request) {}

// TestClientsAreServedAfterAcceptErrors guards against one failed accept that ends the
// service of clients while the gateway says that it is ready.
func TestClientsAreServedAfterAcceptErrors(t *testing.T) {
	c := newClientServer(http.HandlerFunc(okHandler), newTestGateway(t))
	l := &failingListener{listen(t), []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS}}
	ended := make(chan error, 1)
	go func() { ended <- c.serve(l) }()
	if status := exchange(t, dial(t, l.Addr().String()), ""); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
	l.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestLastingAcceptErrorEndsService guards against a listener that fails for good while
// the gateway goes on.
func TestLastingAcceptErrorEndsService(t *testing.T) {
	c := newClientServer(http.HandlerFunc(okHandler), newTestGateway(t))
	if err := c.serve(&failingListener{listen(t), []error{syscall.EBADF}}); !errors.Is(err, syscall.EBADF) {
		t.Errorf("got %v, want EBADF", err)
	}
}

// isServed reports whether a new client gets an answer.
func isServed(t *testing.T, address string) bool {
	conn := dial(t, address)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestNewConnectionsDisplaceIdleOnes guards against idle connections that keep new clients
// out, and against one that is closed while its request is served.
func TestNewConnectionsDisplaceIdleOnes(t *testing.T) {
	g := newTestGateway(t)
	g.connLimits = connlimit.Limits{Clients: 2}
	entered, release := make(chan struct{}, 4), make(chan struct{})
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			entered <- struct{}{}
			<-release
		}
	})
	c := newClientServer(slow, g)
	g.clients = c
	address := startClientServer(t, c)
	idle, serving := dial(t, address), dial(t, address)
	if status := exchange(t, idle, ""); status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	served := make(chan int, 1)
	go func() { served <- exchange(t, serving, "Slow: 1\r\n") }()
	<-entered
	// The server records that a connection is idle only after its client has the answer.
	for end := time.Now().Add(10 * time.Second); !isServed(t, address); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no new client is served")
		}
	}
	_ = idle.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: got %v, want it closed", err)
	}
	close(release)
	if status := <-served; status != http.StatusOK {
		t.Errorf("request in service: got status %d, want 200", status)
	}
}
