package peer

import (
	"context"
	"errors"
	"io"
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
	// last is the time from clockStart to the last data. The time of day may step.
	last atomic.Int64
	// inMessage is set while a part of a message has arrived and not the rest.
	inMessage atomic.Bool
}

// clockStart is a time before all others that are compared.
var clockStart = time.Now()

func (r *receiveTime) touch(now time.Time) { r.last.Store(int64(now.Sub(clockStart))) }

// quietFor returns the time since the last data.
func (r *receiveTime) quietFor(now time.Time) time.Duration {
	return now.Sub(clockStart) - time.Duration(r.last.Load())
}

func (r *receiveTime) isQuiet(now time.Time) bool { return r.quietFor(now) >= quietPeriod }

// end records that the rest of a message has arrived, or never will.
func (r *receiveTime) end() { r.inMessage.Store(false) }

// isArriving reports whether a message is arriving.
func (r *receiveTime) isArriving(now time.Time) bool {
	return r.inMessage.Load() && r.quietFor(now) < stallTimeout
}

// maxReadBytes limits a read of arrivingReader, since the connection returns only full ones.
const maxReadBytes = 4 << 10

// arrivingReader records when data of a message arrives.
type arrivingReader struct {
	io.Reader
	received *receiveTime
}

// Read reads a part of the message.
func (r *arrivingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		r.received.touch(time.Now())
		r.received.inMessage.Store(true)
	}
	return n, err
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
