package backendhttp

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// writing follows how much of one request was written to its connection.
type writing struct {
	mu     sync.Mutex
	conn   *countedConn
	before int64
	// receivedBefore is what had come on the connection before.
	receivedBefore int64
}

// gotConn notes the connection that the request gets.
func (w *writing) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn, w.before, w.receivedBefore = conn, conn.count(), conn.received.Load()
}

// connected reports whether the request has got a connection.
func (w *writing) connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil
}

// received returns the bytes that have come on the request's connection
// since the request got it.
func (w *writing) received() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return 0
	}
	return w.conn.received.Load() - w.receivedBefore
}

// abort ends the connection and reports whether any byte of the request may
// have left this host. After it nothing more is written.
func (w *writing) abort() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn == nil {
		return false
	}
	return w.conn.seal() != w.before
}

// countedConn counts the bytes that the system took for sending.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	sealed bool
	sent   int64
	// received counts the bytes that came.
	received atomic.Int64
}

func dialWith(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// Read counts what comes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes p unless the connection was sealed.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// seal closes the connection and returns the bytes that were sent. Closing
// first ends a write that blocks.
func (c *countedConn) seal() int64 {
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.sent
}
