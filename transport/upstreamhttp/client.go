// Package upstreamhttp runs requests on backend servers over HTTP/1.1.
//
// It sends a request once and never again by itself. An answer counts only if
// it is whole, carries the identity of its request, and, if it is a success,
// the server's signature. A connection that carried anything else, or whose
// request was given up, is closed.
package upstreamhttp

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bilberrytiller.example/tiller/coordination/upstream"
)

const (
	// dialTimeout is several round trips between regions.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept if the server does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from a server's own limit, for the time on the way.
	idleMargin  = 500 * time.Millisecond
	minIdle     = 200 * time.Millisecond
	sweepPeriod = time.Second
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
)

// Client keeps connections to backend servers. It is safe for concurrent use.
type Client struct {
	names  HeaderNames
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn

	// Dials counts the connections opened, Reuses the requests on kept ones.
	Dials, Reuses atomic.Int64
}

// New returns a client that uses the given header names.
func New(names HeaderNames) *Client {
	return &Client{
		names:  names,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout},
		idle:   map[string][]*conn{},
	}
}

// Exchange is a request that was sent to a server and what became of it.
type Exchange struct {
	// Answer is nil unless a whole answer came.
	Answer *Answer
	Result upstream.Result
	// Sent says that a part of the request may have reached the server.
	Sent bool
	// Err says why there is no answer.
	Err error
}

// Run sends a request to the server at addr. It ends with ctx.
func (c *Client) Run(ctx context.Context, addr string, r *Request) Exchange {
	cn, err := c.get(ctx, addr)
	if err != nil {
		outcome := upstream.Unreachable
		if ctx.Err() != nil {
			outcome = upstream.Abandoned
		}
		return Exchange{Result: upstream.Result{Outcome: outcome}, Err: fmt.Errorf("connect: %w", err)}
	}
	start := time.Now()
	answer, keep, err := cn.exchange(ctx, c.names, r)
	if keep {
		c.put(addr, cn, r.MaxIdleConns)
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
		Outcome: answer.outcome(), Load: answer.Load, Latency: time.Since(start), ColdLeft: answer.ColdLeft,
	}}
}

func (c *Client) get(ctx context.Context, addr string) (*conn, error) {
	for {
		cn := c.take(addr)
		if cn == nil {
			break
		}
		if time.Since(cn.idleSince) < cn.idleLimit && cn.alive() {
			c.Reuses.Add(1)
			return cn, nil
		}
		_ = cn.Close()
	}
	c.Dials.Add(1)
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// take returns the idle connection that was used last, or nil.
func (c *Client) take(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.idle[addr]
	if len(of) == 0 {
		return nil
	}
	cn := of[len(of)-1]
	c.idle[addr] = of[:len(of)-1]
	return cn
}

// put keeps a connection, unless as many as limit are idle.
func (c *Client) put(addr string, cn *conn, limit int) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= limit {
		_ = cn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], cn)
}

// Sweep closes connections that were idle too long, and those to addresses
// that are no longer in use, until ctx ends.
func (c *Client) Sweep(ctx context.Context, inUse func() map[string]bool) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.sweep(inUse())
		}
	}
}

func (c *Client) sweep(inUse map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, of := range c.idle {
		kept := of[:0]
		for _, cn := range of {
			if inUse[addr] && time.Since(cn.idleSince) < cn.idleLimit {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		clear(of[len(kept):])
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
