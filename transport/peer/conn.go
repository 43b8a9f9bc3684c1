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
	open map[uint64]chan wire.Envelope
	err  error
	done chan struct{}
	// active tells when the peer was last heard.
	active activity
}

func newConn(ws *websocket.Conn) *conn {
	c := &conn{ws: ws, open: map[uint64]chan wire.Envelope{}, done: make(chan struct{})}
	c.active.touch(time.Now())
	go c.readLoop()
	go c.watchSilence()
	return c
}

func (c *conn) call(ctx context.Context, t wire.Type, body any) (wire.Envelope, error) {
	id, answer, err := c.register()
	if err != nil {
		return wire.Envelope{}, err
	}
	defer c.forget(id)
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
		return wire.Envelope{}, context.Cause(ctx)
	}
}

func (c *conn) register() (uint64, chan wire.Envelope, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNotSent, c.err)
	}
	c.next++
	answer := make(chan wire.Envelope, 1)
	c.open[c.next] = answer
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
		c.deliver(env)
	}
}

func (c *conn) deliver(env wire.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer, ok := c.open[env.ID]
	if !ok || !env.Answer {
		return
	}
	delete(c.open, env.ID)
	answer <- env
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
