package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bilberrytiller.example/tiller/internal/httpstop"
	"bilberrytiller.example/tiller/state/routing"
)

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultHeaderBytes apply until
	// a configuration sets other values.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultHeaderBytes   = 32 << 10
	// idleGrace is added to the idle timeout of connections, so that closing an
	// idle connection does not race with a request already on its way.
	idleGrace = 5 * time.Second
	// backlogTimeout is how long Accept must return no connection before draining
	// ends. Connections already in the accept queue are returned immediately.
	backlogTimeout = 50 * time.Millisecond
	// drainTimeout bounds draining while clients keep opening connections. It is
	// one twelfth of the usual stop timeout.
	drainTimeout = 500 * time.Millisecond
)

// clientServer serves client connections with the limits in force. New limits
// apply to new connections; open connections keep the limits they started with.
type clientServer struct {
	handler http.Handler
	accept  acceptor
	g       *Gateway

	mu      sync.Mutex
	limits  routing.ClientLimits
	current *handoffListener
	// servers are the current server and older ones that still have open
	// connections.
	servers map[*http.Server]*handoffListener
	stopped bool

	// draining is set when only connections already in the accept queue are still
	// accepted. drained is closed when serve returns.
	// drainUntil is when draining ends at the latest; it is set before draining.
	draining   atomic.Bool
	drainUntil time.Time
	drained    chan struct{}
}

// handoffListener is a net.Listener that receives connections accepted by
// another listener.
type handoffListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// openConns counts the connections that were handed over and are not closed
	// yet.
	openConns atomic.Int64
	// accepted are the connections that the server has accepted.
	accepted *httpstop.Conns
}

func newClientServer(handler http.Handler, g *Gateway) *clientServer {
	c := &clientServer{handler: handler, servers: map[*http.Server]*handoffListener{}, drained: make(chan struct{}), g: g}
	c.accept = acceptor{name: "client", limit: g.connLimits.Clients, conns: g.clientConns, g: g}
	return c
}

// conns returns the connections of all servers.
func (c *clientServer) conns() []*httpstop.Conns {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []*httpstop.Conns
	for _, h := range c.servers {
		conns = append(conns, h.accepted)
	}
	return conns
}

// setLimits sets the limits of new connections.
func (c *clientServer) setLimits(limits routing.ClientLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits == c.limits && c.current != nil || c.stopped {
		return
	}
	c.limits = limits
	c.startServer()
}

// startServer starts a server with the current limits, which replaces the
// current server for new connections. The caller holds mu.
func (c *clientServer) startServer() {
	if c.current != nil {
		c.current.stop()
	}
	h := &handoffListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{
		Handler:           c.handler,
		ReadHeaderTimeout: cmp.Or(c.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       cmp.Or(c.limits.IdleTimeout, defaultIdleTimeout) + idleGrace,
		MaxHeaderBytes:    cmp.Or(c.limits.HeaderBytes, defaultHeaderBytes),
		ConnContext:       httpstop.ConnContext,
	}
	h.accepted = httpstop.Track(s)
	c.g.heads.SetHeadBytes(s.MaxHeaderBytes)
	c.g.limitHeads(h.accepted)
	track := s.ConnState
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		track(conn, state)
		if state != http.StateClosed {
			return
		}
		c.g.occupyMemory(-1)
		if h.openConns.Add(-1) == 0 {
			c.removeIfUnused(s)
		}
	}
	c.current = h
	c.servers[s] = h
	// Serve returns when the listener is closed, which is not an error.
	go func() { _ = s.Serve(h.accepted.Listener(h)) }()
}

// removeIfUnused removes a server that is not current and has no open
// connection.
func (c *clientServer) removeIfUnused(s *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.servers[s]; h != nil && h != c.current && h.openConns.Load() == 0 {
		delete(c.servers, s)
	}
}

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// drain accepts the connections waiting in the accept queue of l and then
// closes l, at the time until at the latest. Closing l without accepting them would lose the requests that they
// carry.
func (c *clientServer) drain(l deadlineListener, until time.Time) {
	c.drainUntil = until
	c.draining.Store(true)
	// The deadline interrupts an Accept that is already blocked.
	if err := l.SetDeadline(time.Now()); err == nil {
		<-c.drained
	}
	_ = l.Close()
}

// serve hands the connections accepted by l to the current server until l is
// closed or drained.
func (c *clientServer) serve(l deadlineListener) error {
	defer close(c.drained)
	var end time.Time
	for {
		draining := c.draining.Load()
		if draining {
			now := time.Now()
			if end.IsZero() {
				end = now.Add(drainTimeout)
				if c.drainUntil.Before(end) {
					end = c.drainUntil
				}
			}
			if now.After(end) {
				return nil
			}
			if err := l.SetDeadline(now.Add(backlogTimeout)); err != nil {
				return fmt.Errorf("set deadline on client listener: %w", err)
			}
		}
		conn, err := l.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && !draining {
			continue
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		if err != nil && c.accept.recover(err) {
			continue
		}
		if err != nil {
			return fmt.Errorf("accept clients: %w", err)
		}
		if !c.accept.admit() || !c.handOff(conn) {
			_ = conn.Close()
		}
	}
}

func (c *clientServer) handOff(conn net.Conn) bool {
	for {
		c.mu.Lock()
		if c.current == nil && !c.stopped {
			c.startServer()
		}
		h, stopped := c.current, c.stopped
		c.mu.Unlock()
		if stopped {
			return false
		}
		h.openConns.Add(1)
		select {
		case h.conns <- conn:
			c.g.occupyMemory(1)
			return true
		case <-h.closed:
			h.openConns.Add(-1)
		}
	}
}

// finish refuses further connections, and waits until the open ones are closed after
// their last answer. It returns the cause if ctx ends first.
func (c *clientServer) finish(ctx context.Context) error {
	var group errgroup.Group
	for s, h := range c.stop() {
		group.Go(func() error { return h.accepted.Finish(ctx, s, h) })
	}
	return group.Wait()
}

// stop refuses further connections and returns the servers with their listeners.
func (c *clientServer) stop() map[*http.Server]*handoffListener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return maps.Clone(c.servers)
}

// Accept returns the next connection that was handed over.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. Connections that were handed over stay open.
func (h *handoffListener) Close() error {
	h.stop()
	return nil
}

// Addr returns an empty address, since the listener has no socket of its own.
func (h *handoffListener) Addr() net.Addr { return &net.TCPAddr{} }

func (h *handoffListener) stop() { h.once.Do(func() { close(h.closed) }) }
