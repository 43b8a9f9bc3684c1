package backendhttp

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// sendTracker tracks how much of one request was written to its connection, and
// how much arrived on it.
type sendTracker struct {
	mu   sync.Mutex
	conn *countingConn
	// sentBefore and receivedBefore are the bytes that the connection had carried
	// before the request got it.
	sentBefore     int64
	receivedBefore int64
	// closedBefore is set if the connection was closed by an earlier request. net/http
	// hands out such a connection until it notices.
	closedBefore bool
}

// gotConn records the connection that the request is assigned.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.sentBefore, t.receivedBefore = conn, conn.sentBytes(), conn.received.Load()
	t.closedBefore = conn.isClosed()
}

// hasConn reports whether the request has been assigned a connection.
func (t *sendTracker) hasConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil
}

// gotClosedConn reports whether the request was assigned a connection that an earlier
// request had closed, so that nothing was written.
func (t *sendTracker) gotClosedConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closedBefore
}

// reset prepares for another connection.
func (t *sendTracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.closedBefore = nil, false
}

// receivedBytes returns the number of bytes received on the request's connection
// since the request was assigned to it.
func (t *sendTracker) receivedBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return 0
	}
	return t.conn.received.Load() - t.receivedBefore
}

// abort closes the connection and reports whether any byte of the request may have
// left this host. No further byte is written afterwards.
func (t *sendTracker) abort() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return false
	}
	return t.conn.closeAndCount() != t.sentBefore
}

// countingConn counts the bytes that the kernel accepted for sending (sent) and
// the bytes read from the connection (received).
type countingConn struct {
	net.Conn
	mu       sync.Mutex
	closed   bool
	sent     int64
	received atomic.Int64
}

func countingDial(dialer *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes p and counts the bytes. After closeAndCount it returns
// net.ErrClosed.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

func (c *countingConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *countingConn) sentBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// closeAndCount closes the connection and returns the number of bytes sent. It
// closes first, so that a blocked Write ends and releases the lock.
func (c *countingConn) closeAndCount() int64 {
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.sent
}
