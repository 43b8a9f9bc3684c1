// Package peer carries calls between daemons over WebSocket.
//
// Each daemon dials the peers it calls and keeps one connection to each. A
// call that fails tells whether the peer may have received it: ErrNotSent
// says that it did not, any other failure that it may have.
package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"bilberrytiller.example/tiller/protocol/wire"
)

// Errors of a call.
var (
	// ErrNotSent says that the peer did not get the call.
	ErrNotSent = errors.New("call was not sent")
	// ErrLost says that the connection ended before the answer came.
	ErrLost = errors.New("connection to peer was lost")
	// ErrUnexpectedAnswer says that the peer answered a call that was not made.
	ErrUnexpectedAnswer = errors.New("answer fits no call")
)

// RemoteError is a failure that the peer reported.
type RemoteError struct {
	Type    wire.Type
	Message string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("peer refused %s: %s", e.Type, e.Message) }

const writeTimeout = 5 * time.Second

// conn is one dialled connection. Answers are joined to calls by ID.
type conn struct {
	ws   *websocket.Conn
	mu   sync.Mutex
	next uint64
	open map[uint64]openCall
	err  error
	done chan struct{}
	// clock is the peer's when it accepted the connection.
	clock reading
	// active tells when the peer was last heard.
	active activity
	// watching is set while watchSilence runs.
	watching atomic.Bool
}

// openCall is a call that waits for its answer.
type openCall struct {
	callType wire.Type
	answer   chan wire.Envelope
}

func newConn(ws *websocket.Conn, clock reading) *conn {
	c := &conn{ws: ws, clock: clock, open: map[uint64]openCall{}, done: make(chan struct{})}
	c.active.touch(time.Now())
	go c.readLoop()
	return c
}

// call makes a call. When ctx ends first and grace is above zero, the peer is
// told that the call is cancelled and has the grace left to answer.
func (c *conn) call(ctx context.Context, t wire.Type, body any, grace time.Duration) (wire.Envelope, error) {
	id, answer, err := c.register(t)
	if err != nil {
		return wire.Envelope{}, err
	}
	defer c.forget(id)
	defer time.AfterFunc(quietPeriod, c.watchSilence).Stop()
	frame, err := wire.Encode(wire.Envelope{Type: t, ID: id}, body)
	if err != nil {
		return wire.Envelope{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := c.write(frame); err != nil {
		return wire.Envelope{}, err
	}
	select {
	case env := <-answer:
		return env, nil
	case <-c.done:
		return wire.Envelope{}, fmt.Errorf("%w: %w", ErrLost, c.err)
	case <-ctx.Done():
	}
	if grace > 0 {
		return c.settle(ctx, t, id, answer, grace)
	}
	return wire.Envelope{}, context.Cause(ctx)
}

// settle cancels a call and waits for what became of it.
func (c *conn) settle(ctx context.Context, t wire.Type, id uint64, answer chan wire.Envelope, grace time.Duration) (wire.Envelope, error) {
	frame, err := wire.Encode(wire.Envelope{Type: t, ID: id, Cancel: true}, nil)
	if err != nil {
		return wire.Envelope{}, err
	}
	// A write to a silent connection may block for longer than the grace.
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
	if c.open == nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, c.err)
	}
	c.next++
	answer := make(chan wire.Envelope, 1)
	c.open[c.next] = openCall{callType: t, answer: answer}
	return c.next, answer, nil
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

// write sends a frame under its own timeout: a caller that goes away must
// not tear a connection that others share.
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
		_, frame, err := c.ws.Read(context.Background())
		if err != nil {
			c.close(err)
			return
		}
		c.active.touch(time.Now())
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

// deliver gives an answer to its call. An answer to a call that was given up
// is dropped; one that fits no call ends the connection.
func (c *conn) deliver(env wire.Envelope) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !env.IsReply || env.ID == 0 || env.ID > c.next {
		return fmt.Errorf("%s %d: %w", env.Type, env.ID, ErrUnexpectedAnswer)
	}
	call, ok := c.open[env.ID]
	if !ok {
		return nil
	}
	if call.callType != env.Type {
		return fmt.Errorf("%s to %s: %w", env.Type, call.callType, ErrUnexpectedAnswer)
	}
	delete(c.open, env.ID)
	call.answer <- env
	return nil
}

func (c *conn) close(err error) {
	c.mu.Lock()
	first := c.open != nil
	if first {
		c.err = err
		c.open = nil
	}
	c.mu.Unlock()
	if first {
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
