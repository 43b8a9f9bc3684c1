// Package peer carries calls between daemons over WebSocket.
//
// Each daemon opens one connection to each peer that it calls. The error of a
// failed call tells whether the peer may have received the call: with ErrNotSent
// it did not, with any other error it may have.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"bilberrytiller.example/tiller/protocol/wire"
)

// Errors of a call.
var (
	// ErrNotSent means that the peer did not receive the call, or did not begin it.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost means that the connection was lost before the answer arrived.
	ErrLost = errors.New("connection to peer was lost")
	// ErrStalled means that no answer began, or that it did not go on.
	ErrStalled = errors.New("answer of peer does not arrive")
	// ErrUnexpectedAnswer means that the peer answered a call that was not made.
	ErrUnexpectedAnswer = errors.New("answer does not match any call that was made")
)

// RemoteError is an error that the peer returned.
type RemoteError struct {
	Type    wire.Type
	Message string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("peer refused %s: %s", e.Type, e.Message) }

const (
	writeTimeout = 5 * time.Second
	// stallTimeout is the longest time between two parts of a message.
	stallTimeout = 500 * time.Millisecond
)

// conn is a connection that this daemon opened. Answers are matched to calls by
// ID.
type conn struct {
	ws      *websocket.Conn
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]pendingCall
	err     error
	done    chan struct{}
	// clock is the peer's clock when it accepted the connection.
	clock clockReading
	// received is when data last arrived from the peer.
	received receiveTime
	// watchingSilence is set while watchSilence runs.
	watchingSilence atomic.Bool
}

// pendingCall is a call that has not been answered.
type pendingCall struct {
	callType wire.Type
	answer   chan wire.Envelope
}

func newConn(ws *websocket.Conn, clock clockReading) *conn {
	c := &conn{ws: ws, clock: clock, pending: map[uint64]pendingCall{}, done: make(chan struct{})}
	c.received.touch(time.Now())
	go c.readLoop()
	return c
}

// waiting says how long a call waits for its answer.
type waiting struct {
	// patience is the time for an answer none of which has arrived, or 0 if only the
	// context limits it.
	patience time.Duration
	// grace is the time that the peer has to answer after the context has ended.
	grace time.Duration
}

// call makes a call and waits for the answer. If ctx ends first and there is a grace
// period, call cancels the call at the peer, which then has that period to answer.
func (c *conn) call(ctx context.Context, t wire.Type, body any, w waiting) (wire.Envelope, error) {
	id, answer, err := c.register(t)
	if err != nil {
		return wire.Envelope{}, err
	}
	defer c.unregister(id)
	defer time.AfterFunc(quietPeriod, c.watchSilence).Stop()
	patience := time.NewTimer(w.patience)
	defer patience.Stop()
	if w.patience == 0 {
		patience.Stop()
	}
	frame, err := wire.Encode(wire.Envelope{Type: t, ID: id}, body)
	if err != nil {
		return wire.Envelope{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := c.write(frame); err != nil {
		return wire.Envelope{}, err
	}
	for {
		select {
		case env := <-answer:
			return env, nil
		case <-c.done:
			return wire.Envelope{}, fmt.Errorf("%w: %w", ErrLost, c.err)
		case <-patience.C:
			if !c.received.isArriving(time.Now()) {
				return wire.Envelope{}, ErrStalled
			}
			patience.Reset(stallTimeout)
			continue
		case <-ctx.Done():
		}
		if w.grace > 0 {
			return c.cancelAndWait(ctx, t, id, answer, w.grace)
		}
		return wire.Envelope{}, context.Cause(ctx)
	}
}

// cancelAndWait cancels a call at the peer and waits for the answer for at most
// the grace period.
func (c *conn) cancelAndWait(ctx context.Context, t wire.Type, id uint64, answer chan wire.Envelope, grace time.Duration) (wire.Envelope, error) {
	frame, err := wire.Encode(wire.Envelope{Type: t, ID: id, Cancel: true}, nil)
	if err != nil {
		return wire.Envelope{}, err
	}
	// A write to a silent connection may block for longer than the grace period.
	go func() { _ = c.write(frame) }()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case env := <-answer:
		return env, nil
	case <-c.done:
		return wire.Envelope{}, fmt.Errorf("%w: %w", ErrLost, c.err)
	case <-timer.C:
		return wire.Envelope{}, context.Cause(ctx)
	}
}

func (c *conn) register(t wire.Type) (uint64, chan wire.Envelope, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, c.err)
	}
	c.lastID++
	answer := make(chan wire.Envelope, 1)
	c.pending[c.lastID] = pendingCall{callType: t, answer: answer}
	return c.lastID, answer, nil
}

func (c *conn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// write sends a frame with its own timeout. The context of a caller must not
// interrupt the write, since that would close a connection that others share.
func (c *conn) write(frame []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		c.close(err)
		return fmt.Errorf("%w: %w", ErrLost, err)
	}
	return nil
}

func (c *conn) readLoop() {
	for {
		frame, err := c.readMessage()
		if err != nil {
			c.close(err)
			return
		}
		env, err := wire.Decode(frame)
		if err != nil {
			c.close(err)
			return
		}
		if err := c.deliver(env); err != nil {
			c.close(err)
			return
		}
	}
}

// readMessage reads a message, and records when each part of it arrived.
func (c *conn) readMessage() ([]byte, error) {
	_, r, err := c.ws.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	defer c.received.end()
	return io.ReadAll(&arrivingReader{r, &c.received})
}

// deliver passes an answer to its call. An answer to a call that is no longer
// pending is dropped. An answer that matches no call is an error, which closes
// the connection.
func (c *conn) deliver(env wire.Envelope) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !env.IsReply || env.ID == 0 || env.ID > c.lastID {
		return fmt.Errorf("message %s with ID %d: %w", env.Type, env.ID, ErrUnexpectedAnswer)
	}
	call, ok := c.pending[env.ID]
	if !ok {
		return nil
	}
	if call.callType != env.Type {
		return fmt.Errorf("answer of type %s to a call of type %s: %w", env.Type, call.callType, ErrUnexpectedAnswer)
	}
	delete(c.pending, env.ID)
	call.answer <- env
	return nil
}

func (c *conn) close(err error) {
	c.mu.Lock()
	wasOpen := c.pending != nil
	if wasOpen {
		c.err = err
		c.pending = nil
	}
	c.mu.Unlock()
	if wasOpen {
		close(c.done)
		_ = c.ws.CloseNow()
	}
}

func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
