package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// A connection with pending calls is silent if nothing has arrived from the peer
// for quietPeriod and a ping is not answered within pingTimeout. Silence must be
// detected within one second, so the two together stay below that.
const (
	quietPeriod = 250 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
)

// ErrSilent means that a connection is open but no longer carries data.
var ErrSilent = errors.New("connection to peer is silent: no answer to a ping")

// receiveTime is the time at which data last arrived from a peer.
type receiveTime struct {
	unixMs atomic.Int64
}

func (r *receiveTime) touch(now time.Time) { r.unixMs.Store(now.UnixMilli()) }

func (r *receiveTime) isQuiet(now time.Time) bool {
	return now.UnixMilli()-r.unixMs.Load() >= quietPeriod.Milliseconds()
}

// watchSilence closes the connection if it is silent, so that its calls fail and
// the next call opens a new connection. A peer that is only slow still answers
// the ping. Each call starts watchSilence after it has waited for quietPeriod;
// only one runs at a time. It returns when no calls are pending.
func (c *conn) watchSilence() {
	if !c.watchingSilence.CompareAndSwap(false, true) {
		return
	}
	defer c.watchingSilence.Store(false)
	for c.hasPendingCalls() {
		if c.received.isQuiet(time.Now()) && !c.ping() {
			c.close(ErrSilent)
			return
		}
		time.Sleep(quietPeriod)
	}
}

// hasPendingCalls reports whether any call waits for its answer.
func (c *conn) hasPendingCalls() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// ping reports whether the peer answers a ping within pingTimeout.
func (c *conn) ping() bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		return false
	}
	c.received.touch(time.Now())
	return true
}
