package gateway

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"sync"
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
)

// clients serves clients' connections within the limits in force. New limits
// bind new connections; those that are open keep the ones they began with.
type clients struct {
	handler http.Handler

	mu      sync.Mutex
	limits  routing.ClientLimits
	current *handoff
	servers []*http.Server
	stopped bool
}

// handoff is a listener that is given the connections of another one.
type handoff struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newClients(handler http.Handler) *clients { return &clients{handler: handler} }

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
	address := net.Addr(&net.TCPAddr{})
	h := &handoff{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	s := &http.Server{
		Handler:           c.handler,
		ReadHeaderTimeout: cmp.Or(c.limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       cmp.Or(c.limits.IdleTimeout, defaultIdleTimeout) + idleGrace,
		MaxHeaderBytes:    cmp.Or(c.limits.HeaderBytes, defaultHeaderBytes),
	}
	c.current = h
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(h) }()
}

// serve gives the connections of l to the server with the limits in force
// until l is closed.
func (c *clients) serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
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
		select {
		case h.conns <- conn:
			return true
		case <-h.closed:
		}
	}
}

// stop returns the servers whose connections are to be ended.
func (c *clients) stop() []*http.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return c.servers
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
func (h *handoff) Addr() net.Addr { return h.address }

func (h *handoff) stop() { h.once.Do(func() { close(h.closed) }) }
