package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// A connection on which calls wait is silent when nothing has come from the
// peer for quietPeriod and a ping is not answered within pongTimeout. Both
// together stay within the second in which silence is to be noticed.
const (
	quietPeriod = 250 * time.Millisecond
	pongTimeout = 500 * time.Millisecond
)

// ErrSilent says that a connection was open but carried nothing any more.
var ErrSilent = errors.New("connection to peer is silent")

// activity tells when something last came from a peer.
type activity struct {
	lastMs atomic.Int64
}

func (a *activity) touch(now time.Time) { a.lastMs.Store(now.UnixMilli()) }

func (a *activity) quiet(now time.Time) bool {
	return now.UnixMilli()-a.lastMs.Load() >= quietPeriod.Milliseconds()
}

// watchSilence closes the connection when it is silent, so that its calls
// end and the next call opens another one. A slow peer answers the ping. It
// returns when no call waits. A call starts it once it has waited for
// quietPeriod; of several starts one watches.
func (c *conn) watchSilence() {
	if !c.watching.CompareAndSwap(false, true) {
		return
	}
	defer c.watching.Store(false)
	for c.waiting() {
		if c.active.quiet(time.Now()) && !c.pong() {
			c.close(ErrSilent)
			return
		}
		time.Sleep(quietPeriod)
	}
}

// waiting reports whether a call waits for its answer.
func (c *conn) waiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

// pong reports whether the peer answers a ping.
func (c *conn) pong() bool {
	ctx, cancel := context.WithTimeout(context.Background(), pongTimeout)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		return false
	}
	c.active.touch(time.Now())
	return true
}
