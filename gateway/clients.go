package gateway

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bilberrytiller.example/tiller/state/routing"
)

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes hold
	// until a configuration gives others.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultHeaderBytes   = 32 << 10
	// idleGrace is how much longer than its limit an idle connection is kept,
	// so that a request that is on its way is not crossed by a close.
	idleGrace = 5 * time.Second
	// backlogWait is how long no connection must come before a stop takes none any
	// more. The ones that wait to be accepted come at once.
	backlogWait = 50 * time.Millisecond
	// drainTimeout bounds the same while clients go on to connect. It is a twelfth
	// of the usual time for a stop.
	drainTimeout = 500 * time.Millisecond
)

// clients serves clients' connections within the limits in force. New limits
// bind new connections; those that are open keep the ones they began with.
type clients struct {
	handler http.Handler

	mu      sync.Mutex
	limits  routing.ClientLimits
	current *handoff
	// servers are the current one and those that have connections left.
	servers map[*http.Server]*handoff
	stopped bool

	// draining says that only the connections that wait are still accepted, and
	// drained is closed when there are no more.
	draining atomic.Bool
	drained  chan struct{}
}

// handoff is a listener that is given the connections of another one.
type handoff struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// open counts the connections that were handed over and are not closed.
	open atomic.Int64
}

func newClients(handler http.Handler) *clients {
	return &clients{handler: handler, servers: map[*http.Server]*handoff{}, drained: make(chan struct{})}
}

// setLimits puts limits in force for connections to come.
func (c *clients) setLimits(limits routing.ClientLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits == c.limits && c.current != nil || c.stopped {
		return
	}
	c.limits = limits
	c.open()
}

// open starts a server with the limits in force.
func (c *clients) open() {
	if c.current != nil {
		c.current.stop()
	}
	h := &handoff{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{
		Handler:           c.handler,
		ReadHeaderTimeout: cmp.Or(c.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       cmp.Or(c.limits.IdleTimeout, defaultIdleTimeout) + idleGrace,
		MaxHeaderBytes:    cmp.Or(c.limits.HeaderBytes, defaultHeaderBytes),
	}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed && h.open.Add(-1) == 0 {
			c.forget(s)
		}
	}
	c.current = h
	c.servers[s] = h
	// Serve ends when the hand-off stops, which is no failure.
	go func() { _ = s.Serve(h) }()
}

// forget drops a server that is no longer current and has no connection left.
func (c *clients) forget(s *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.servers[s]; h != nil && h != c.current && h.open.Load() == 0 {
		delete(c.servers, s)
	}
}

// listener is a listener whose wait for connections can be bounded.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// drain takes the connections of l that wait to be accepted, and then closes l.
// A connection that was never accepted would lose the request that it carries.
func (c *clients) drain(l listener) {
	c.draining.Store(true)
	// The deadline ends a wait that has begun.
	if err := l.SetDeadline(time.Now()); err == nil {
		<-c.drained
	}
	_ = l.Close()
}

// serve gives the connections of l to the server with the limits in force
// until l is closed or drained.
func (c *clients) serve(l listener) error {
	defer close(c.drained)
	var end time.Time
	for {
		draining := c.draining.Load()
		if draining {
			now := time.Now()
			if end.IsZero() {
				end = now.Add(drainTimeout)
			}
			if now.After(end) {
				return nil
			}
			if err := l.SetDeadline(now.Add(backlogWait)); err != nil {
				return fmt.Errorf("drain: %w", err)
			}
		}
		conn, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && !draining {
			continue
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil {
			return err
		}
		if !c.give(conn) {
			_ = conn.Close()
		}
	}
}

func (c *clients) give(conn net.Conn) bool {
	for {
		c.mu.Lock()
		if c.current == nil && !c.stopped {
			c.open()
		}
		h, stopped := c.current, c.stopped
		c.mu.Unlock()
		if stopped {
			return false
		}
		h.open.Add(1)
		select {
		case h.conns <- conn:
			return true
		case <-h.closed:
			h.open.Add(-1)
		}
	}
}

// stop returns the servers whose connections are to be ended.
func (c *clients) stop() []*http.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return slices.Collect(maps.Keys(c.servers))
}

// Accept returns the next connection that was handed over.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept; connections that were handed over stay open.
func (h *handoff) Close() error {
	h.stop()
	return nil
}

// Addr is not known to a listener that is given its connections.
func (h *handoff) Addr() net.Addr { return &net.TCPAddr{} }

func (h *handoff) stop() { h.once.Do(func() { close(h.closed) }) }
