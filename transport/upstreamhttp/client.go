// Package upstreamhttp sends requests to backend servers over HTTP/1.1.
//
// Each request is sent once; the package never retries. An answer is accepted
// only if it is complete, carries the ID of the request and, for a 2xx status,
// the server's signature. A connection that received anything else, or whose
// request was cancelled, is closed. A connection carries no second request with the
// ID of one that was not run on it, and none after a rejection without an ID: a second
// copy of the rejection may arrive late.
package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"bilberrytiller.example/tiller/coordination/upstream"
)

const (
	// dialTimeout covers several round trips between regions.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout applies to connections whose server sent no Keep-Alive
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's Keep-Alive timeout to
	// allow for network latency.
	idleTimeoutMargin = 500 * time.Millisecond
	minIdleTimeout    = 200 * time.Millisecond
	sweepInterval     = time.Second
	// tcpUserTimeout bounds how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 2 * time.Second
)

// Client sends requests over pooled connections to backend servers. It is safe
// for concurrent use.
type Client struct {
	names  HeaderNames
	dialer net.Dialer
	// bodyMemory is what large bodies that are being read may use together.
	bodyMemory BodyMemory

	mu   sync.Mutex
	idle map[string][]*conn

	// maxConns limits the open connections. Zero means no limit.
	maxConns  int64
	openConns atomic.Int64

	// Dials counts the connection attempts, Reuses the requests sent on idle
	// connections.
	Dials, Reuses atomic.Int64
}

// New returns a client that uses the given header names.
func New(names HeaderNames) *Client {
	return &Client{
		names:  names,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setTCPUserTimeout},
		idle:   map[string][]*conn{},

		bodyMemory: semaphore.NewWeighted(largeBodyMemory),
	}
}

// SetBodyMemory sets the memory for large bodies of answers. It must be called before the
// first request.
func (c *Client) SetBodyMemory(m BodyMemory) { c.bodyMemory = m }

// SetMaxConns limits the open connections; 0 means no limit. It must be called before the
// first request.
func (c *Client) SetMaxConns(n int) { c.maxConns = int64(n) }

// ErrTooManyConns means that a request was not sent, because the limit of open
// connections is reached and all of them are in use.
var ErrTooManyConns = errors.New("all connections to servers are in use")

// OpenConns returns the number of open connections.
func (c *Client) OpenConns() int64 { return c.openConns.Load() }

// Exchange is the outcome of one request to a backend server.
type Exchange struct {
	// Answer is nil unless a complete, valid answer was received.
	Answer *Answer
	Result upstream.Result
	// Sent reports whether any part of the request may have reached the server.
	Sent bool
	// Err is the reason for a nil Answer.
	Err error
}

// Run sends a request to the server at addr and waits for the answer until ctx
// ends.
func (c *Client) Run(ctx context.Context, addr string, r *Request) Exchange {
	cn, roundTrip, err := c.getConn(ctx, addr, r)
	if err != nil {
		outcome := upstream.Unreachable
		if ctx.Err() != nil || errors.Is(err, ErrTooManyConns) {
			outcome = upstream.Abandoned
		}
		return Exchange{Result: upstream.Result{Outcome: outcome}, Err: fmt.Errorf("connect: %w", err)}
	}
	if r.MaySend != nil && !r.MaySend() {
		_ = cn.Close()
		return Exchange{Result: upstream.Result{Outcome: upstream.Withdrawn, RoundTrip: roundTrip}, Err: ErrWithdrawn}
	}
	start := time.Now()
	answer, keep, err := cn.exchange(ctx, c.names, r)
	if keep {
		c.putIdle(addr, cn, r.MaxIdleConns)
	} else {
		_ = cn.Close()
	}
	if err != nil {
		outcome := upstream.Lost
		if ctx.Err() != nil {
			outcome = upstream.Abandoned
		}
		return Exchange{Sent: true, Result: upstream.Result{Outcome: outcome, Latency: time.Since(start)}, Err: err}
	}
	return Exchange{Sent: true, Answer: answer, Result: upstream.Result{
		Outcome: answer.outcome(), Load: answer.Load, Latency: time.Since(start), RoundTrip: roundTrip, ColdLeft: answer.ColdLeft,
		RateLimit: answer.RateLimit, Signal: answer.Signal,
	}}
}

// getConn returns an idle connection that may carry the request, or a new one with
// the time that it took to connect.
func (c *Client) getConn(ctx context.Context, addr string, r *Request) (cn *conn, roundTrip time.Duration, err error) {
	for {
		cn := c.popIdle(addr, r)
		if cn == nil {
			break
		}
		if time.Since(cn.idleSince) < cn.idleTimeout && cn.alive() {
			c.Reuses.Add(1)
			return cn, 0, nil
		}
		_ = cn.Close()
	}
	return c.dial(ctx, addr)
}

// dial opens a connection, and closes an idle one to any server if the limit is reached.
func (c *Client) dial(ctx context.Context, addr string) (cn *conn, roundTrip time.Duration, err error) {
	if open := c.openConns.Add(1); c.maxConns > 0 && open > c.maxConns && !c.closeOldestIdle() {
		c.openConns.Add(-1)
		return nil, 0, ErrTooManyConns
	}
	c.Dials.Add(1)
	start := time.Now()
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		c.openConns.Add(-1)
		return nil, 0, err
	}
	return c.newConn(raw), time.Since(start), nil
}

// closeOldestIdle closes the connection that has been idle for longest, and reports
// whether there was one.
func (c *Client) closeOldestIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := ""
	for addr, conns := range c.idle {
		if len(conns) > 0 && (oldest == "" || conns[0].idleSince.Before(c.idle[oldest][0].idleSince)) {
			oldest = addr
		}
	}
	if oldest == "" {
		return false
	}
	_ = c.idle[oldest][0].Close()
	c.idle[oldest] = slices.Delete(c.idle[oldest], 0, 1)
	return true
}

func (c *Client) newConn(raw net.Conn) *conn {
	cn := &conn{Conn: raw, head: headLimiter{source: raw}, bodyMemory: c.bodyMemory, idleTimeout: defaultIdleTimeout}
	cn.onClose = func() { c.openConns.Add(-1) }
	cn.reader = bufio.NewReaderSize(&cn.head, readBufferSize)
	return cn
}

// Warm connects to addr and keeps the connection for a later request. It returns
// the time that it took to connect.
func (c *Client) Warm(ctx context.Context, addr string) (time.Duration, error) {
	cn, roundTrip, err := c.dial(ctx, addr)
	if err != nil {
		return 0, fmt.Errorf("connect: %w", err)
	}
	c.putIdle(addr, cn, 1)
	return roundTrip, nil
}

// popIdle removes and returns the most recently used idle connection to addr that
// may carry the request, or returns nil.
func (c *Client) popIdle(addr string, r *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	for i, cn := range slices.Backward(conns) {
		if cn.mayCarry(r) {
			c.idle[addr] = slices.Delete(conns, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle returns a connection to the pool, or closes it if the pool already
// holds limit idle connections to addr.
func (c *Client) putIdle(addr string, cn *conn, limit int) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= limit {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// Sweep periodically closes connections that have exceeded their idle timeout
// and connections to addresses that are no longer in use, until ctx ends.
func (c *Client) Sweep(ctx context.Context, inUse func() map[string]bool) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.closeUnused(inUse())
		}
	}
}

func (c *Client) closeUnused(inUse map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		kept := conns[:0]
		for _, cn := range conns {
			if inUse[addr] && time.Since(cn.idleSince) < cn.idleTimeout {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		clear(conns[len(kept):])
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
