// Package httpstop ends an HTTP server without dropping requests.
//
// http.Server.Shutdown keeps a connection that has carried no request open for some
// seconds, and drops a request that it reads on one: its client gets no answer, and
// cannot tell whether the request has run.
package httpstop

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"bilberrytiller.example/tiller/internal/sleep"
)

const (
	// unusedTimeout is how long a connection is awaited that has carried no request.
	unusedTimeout = 5 * time.Second
	checkInterval = 10 * time.Millisecond
)

// Conns are the open connections of a server.
type Conns struct {
	mu   sync.Mutex
	open map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// Track returns the connections of a server that has not started to serve. It sets the
// server's ConnState hook.
func Track(s *http.Server) *Conns {
	c := &Conns{open: map[net.Conn]connState{}}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(c.open, conn)
			return
		}
		c.open[conn] = connState{state, time.Now()}
	}
	return c
}

// Finish closes the listener of the server, ends each connection after its next answer,
// and closes the server when no connection is left that may carry a request. If ctx ends
// first, it returns the cause and leaves the connections open.
func (c *Conns) Finish(ctx context.Context, s *http.Server, l net.Listener) error {
	_ = l.Close()
	s.SetKeepAlivesEnabled(false)
	for c.mayCarryRequest(time.Now()) {
		if !sleep.For(ctx, checkInterval) {
			return context.Cause(ctx)
		}
	}
	return s.Close()
}

func (c *Conns) mayCarryRequest(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		if conn.state != http.StateNew || now.Sub(conn.since) < unusedTimeout {
			return true
		}
	}
	return false
}
