// Package httpstop ends an HTTP server so that each request that it has read is
// answered, and none is passed on whose client gets no answer.
//
// http.Server.Shutdown does not do so. It keeps a connection that has carried no request
// open for some seconds, and drops a request that it reads on one. It may also close a
// connection as idle whose next request has been read, but not been recorded yet; without
// the shutdown flag, as after SetKeepAlivesEnabled(false), that request is even served.
// Here a connection is closed as idle only if none of its next request has been read, and
// nothing is read from it afterwards.
package httpstop

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"bilberrytiller.example/tiller/coordination/connlimit"
	"bilberrytiller.example/tiller/coordination/memory"
	"bilberrytiller.example/tiller/internal/sleep"
)

const (
	// unusedTimeout is how long a connection is awaited that has carried no request.
	unusedTimeout = 5 * time.Second
	checkInterval = 10 * time.Millisecond
)

// Conns are the open connections of a server.
type Conns struct {
	// heads is nil without a limit of large heads.
	heads *headLimit

	mu   sync.Mutex
	open map[*conn]bool
}

// Track returns the connections of a server that has not started to serve. It sets the
// server's ConnState hook; the server must accept from Listener.
func Track(s *http.Server) *Conns {
	c := &Conns{open: map[*conn]bool{}}
	s.ConnState = c.setState
	return c
}

// Listener returns a listener that accepts from l connections that are tracked.
func (c *Conns) Listener(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	conns *Conns
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	tracked := &conn{Conn: accepted, heads: l.conns.heads, accepted: now, waits: connlimit.Conn{Phase: connlimit.Head, Since: now}}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[tracked] = true
	return tracked, nil
}

func (c *Conns) setState(changed net.Conn, state http.ConnState) {
	tracked := changed.(*conn)
	tracked.setState(state)
	if state != http.StateNew && state != http.StateActive {
		tracked.leaveHead()
	}
	if state == http.StateClosed || state == http.StateHijacked {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, tracked)
	}
}

// Finish closes the listener of the server, ends each connection that has carried a
// request when it is idle, and closes the server when no connection is left that may
// carry one. If ctx ends first, it returns the cause and leaves the connections open.
func (c *Conns) Finish(ctx context.Context, s *http.Server, l net.Listener) error {
	_ = l.Close()
	for c.closeIdle(time.Now()) > 0 {
		if !sleep.For(ctx, checkInterval) {
			return context.Cause(ctx)
		}
	}
	// The server closes the listener again if Serve has not returned yet.
	if err := s.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// closeIdle closes the idle connections and returns the number of those that may still
// carry a request.
func (c *Conns) closeIdle(now time.Time) (remaining int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for tracked := range c.open {
		if !tracked.closeIfIdle() && tracked.mayCarryRequest(now) {
			remaining++
		}
	}
	return remaining
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	heads    *headLimit
	accepted time.Time

	mu sync.Mutex
	// used is set when a request has been read. idle is set while none of the next one
	// has been read.
	used, idle bool
	closed     bool
	// waits is what the connection waits for.
	waits connlimit.Conn
	// writeAllowed is when AllowWrite last set the write deadline.
	writeAllowed time.Time
	// size is the size of the head that is being read, and place its place or nil.
	size  headSize
	place *memory.Head
	// readingHead is set while bytes of a head are awaited. placeRevoked is set when the
	// place is wanted for another head.
	readingHead, placeRevoked bool
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used || state != http.StateNew
	c.idle = state == http.StateIdle
	if c.idle {
		c.waits = connlimit.Conn{Phase: connlimit.Idle, Since: time.Now()}
		c.size.next()
	} else if c.waits.Phase == connlimit.Idle {
		c.waits = connlimit.Conn{Phase: connlimit.Head, Since: time.Now()}
	}
}

// Read reads from the connection. What arrived before the connection was closed, but was
// not returned, is dropped.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.readingHead = c.place != nil && c.readsHead()
	gaveUp := c.readingHead && c.placeRevoked
	c.mu.Unlock()
	if gaveUp {
		return 0, c.refuseHead()
	}
	n, err := c.Conn.Read(p)
	needsPlace, gaveUp, closed := c.endRead(p, n, err)
	if closed {
		return 0, net.ErrClosed
	}
	if gaveUp || needsPlace && !c.enterHead() {
		return 0, c.refuseHead()
	}
	return n, err
}

// endRead records what was read. It reports whether the head needs a place, or has given
// up its place, and whether the connection was closed.
func (c *conn) endRead(p []byte, n int, err error) (needsPlace, gaveUp, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	gaveUp = c.readingHead && c.placeRevoked && err != nil
	c.readingHead = false
	if c.closed {
		return false, false, true
	}
	if n > 0 {
		c.idle = false
		if c.waits.Phase == connlimit.Idle {
			c.waits = connlimit.Conn{Phase: connlimit.Head, Since: time.Now()}
		}
	}
	return c.recordRead(p, n), gaveUp, false
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.Conn.Close()
}

// CloseWrite ends the sending side, so that the last answer arrives although the client
// is still sending.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	c.closed = true
	_ = c.Conn.Close()
	return true
}

func (c *conn) mayCarryRequest(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used || now.Sub(c.accepted) < unusedTimeout
}
