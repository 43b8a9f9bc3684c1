package httpstop

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testServer is a server whose handler waits for release.
type testServer struct {
	*http.Server
	listener net.Listener
	conns    *Conns
	release  chan struct{}
	served   atomic.Int64
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{Server: &http.Server{}, listener: l, release: make(chan struct{})}
	s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { s.served.Add(1); <-s.release })
	s.conns = Track(s.Server)
	go func() { _ = s.Serve(s.conns.Listener(l)) }()
	t.Cleanup(func() { s.Close() })
	return s
}

func (s *testServer) finish(ctx context.Context) error {
	return s.conns.Finish(ctx, s.Server, s.listener)
}

// dial connects to the server and waits until the connection is accepted.
func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	before := s.openCount()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	for s.openCount() == before {
		time.Sleep(time.Millisecond)
	}
	return conn
}

func (s *testServer) openCount() int {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return len(s.conns.open)
}

func send(conn net.Conn) (*http.Response, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// TestStopAnswersRequestOnUnusedConnection guards against a stop that drops the first
// request of a connection that was opened before.
func TestStopAnswersRequestOnUnusedConnection(t *testing.T) {
	s := startServer(t)
	close(s.release)
	conn := s.dial(t)
	finished := make(chan error, 1)
	go func() { finished <- s.finish(context.Background()) }()
	for {
		extra, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			break
		}
		extra.Close()
	}
	if resp, err := send(conn); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v, want status 200", resp, err)
	}
	if err := <-finished; err != nil {
		t.Error(err)
	}
}

func TestFinishReturnsCauseWhileRequestRuns(t *testing.T) {
	s := startServer(t)
	conn := s.dial(t)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for s.served.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := s.finish(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the deadline of the context", err)
	}
	close(s.release)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v, want status 200 after the end of Finish", resp, err)
	}
}

// TestIdleConnectionsAreClosed guards against a stop that waits for clients that keep
// connections open without using them.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := startServer(t)
	close(s.release)
	for range 3 {
		if _, err := send(s.dial(t)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), unusedTimeout/2)
	defer cancel()
	if err := s.finish(ctx); err != nil {
		t.Errorf("got %v, want the connections closed", err)
	}
}

// pausingConn is the server's end of a connection, whose reads return only after resume.
type pausingConn struct {
	net.Conn
	read   chan struct{}
	resume chan struct{}
}

func (c *pausingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read <- struct{}{}
	<-c.resume
	return n, err
}

// TestClosedConnectionReturnsNoRequest guards against a request that is read while its
// connection is closed as idle, and is passed on although its client gets no answer.
func TestClosedConnectionReturnsNoRequest(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	paused := &pausingConn{server, make(chan struct{}), make(chan struct{})}
	c := &conn{Conn: paused, accepted: time.Now()}
	c.setState(http.StateIdle)
	read := make(chan error, 1)
	go func() {
		n, err := c.Read(make([]byte, 100))
		if n > 0 {
			err = fmt.Errorf("read %d bytes after the close", n)
		}
		read <- err
	}()
	if _, err := client.Write([]byte("GET")); err != nil {
		t.Fatal(err)
	}
	<-paused.read
	if !c.closeIfIdle() {
		t.Fatal("the idle connection was not closed")
	}
	close(paused.resume)
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want net.ErrClosed", err)
	}
}

// TestReadConnectionIsNotIdle guards against closing a connection whose next request has
// been read, before net/http records it.
func TestReadConnectionIsNotIdle(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	c := &conn{Conn: server, accepted: time.Now()}
	c.setState(http.StateIdle)
	go func() { _, _ = client.Write([]byte("GET")) }()
	if n, err := c.Read(make([]byte, 100)); n != 3 || err != nil {
		t.Fatal(n, err)
	}
	if c.closeIfIdle() || !c.mayCarryRequest(time.Now().Add(time.Hour)) {
		t.Error("the connection counts as idle or unused after it has been read from")
	}
}

// TestEachRequestServedInStopIsAnswered guards against both in a whole server: clients
// send on idle connections while these are being closed.
func TestEachRequestServedInStopIsAnswered(t *testing.T) {
	const rounds, clients = 20, 40
	for range rounds {
		s := startServer(t)
		close(s.release)
		var conns []net.Conn
		for range clients {
			conn := s.dial(t)
			if _, err := send(conn); err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		before := s.served.Load()
		var answered atomic.Int64
		var sending sync.WaitGroup
		for i, conn := range conns {
			sending.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Microsecond)
				if resp, err := send(conn); err == nil && resp.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			})
		}
		if err := s.finish(context.Background()); err != nil {
			t.Fatal(err)
		}
		sending.Wait()
		if served := s.served.Load() - before; served != answered.Load() {
			t.Fatalf("%d requests were served, %d answered", served, answered.Load())
		}
	}
}

// TestWriteToSilentReaderEnds guards against clients that send requests and read none of
// the answers: their connections stayed for ever.
func TestWriteToSilentReaderEnds(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	c := &conn{Conn: server, accepted: time.Now()}
	AllowWrite(ConnContext(context.Background(), c), 50*time.Millisecond)
	if _, err := c.Write([]byte("answer")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want the write to end at its deadline", err)
	}
}
