package httpstop

import (
	"context"
	"net"
	"time"

	"bilberrytiller.example/tiller/coordination/connlimit"
)

type contextKey struct{}

// ConnContext is the ConnContext hook of a server, so that its handler can call Enter.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// Enter records what the connection of a request waits for, from the request's context. It
// returns false if the connection has been closed in favour of another one: the request
// must not be passed on, since its client gets no answer.
func Enter(ctx context.Context, phase connlimit.Phase) bool {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = connlimit.Conn{Phase: phase, Since: time.Now()}
	return !c.closed
}

// AllowWrite bounds how long the client of a request, given by its context, may take to
// make room for an answer: from half of timeout to timeout. The deadline is not moved for
// each answer, since that takes processor time.
func AllowWrite(ctx context.Context, timeout time.Duration) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.writeAllowed) > timeout/2 {
		c.writeAllowed = now
		_ = c.Conn.SetWriteDeadline(now.Add(timeout))
	}
}

// Open returns the number of open connections.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CloseOne closes the connection of servers that is to be closed first in favour of
// another one, and reports whether there is one.
func CloseOne(servers []*Conns, now time.Time) bool {
	for {
		first := firstToClose(servers, now)
		if first == nil {
			return false
		}
		if first.closeInFavour(now) {
			return true
		}
	}
}

func firstToClose(servers []*Conns, now time.Time) *conn {
	var first *conn
	var waits connlimit.Conn
	for _, s := range servers {
		s.mu.Lock()
		for c := range s.open {
			if state, open := c.state(); open && state.MayClose(now) && (first == nil || state.Before(waits)) {
				first, waits = c, state
			}
		}
		s.mu.Unlock()
	}
	return first
}

func (c *conn) state() (waits connlimit.Conn, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits, !c.closed
}

// closeInFavour closes the connection unless its state has changed meanwhile.
func (c *conn) closeInFavour(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.waits.MayClose(now) {
		return false
	}
	c.closed = true
	_ = c.Conn.Close()
	return true
}
