// Package inflight counts operations in flight, so that a graceful stop can wait
// for them.
package inflight

import (
	"context"
	"sync"
)

// Counter counts operations in flight. The zero value is ready to use. Unlike with
// a sync.WaitGroup, new operations may begin while others wait.
type Counter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Begin counts the start of an operation. The returned function must be called
// once when the operation ends.
func (c *Counter) Begin() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return c.end
}

func (c *Counter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Count returns the number of operations in flight.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Wait waits until no operation is in flight, or returns the cause if ctx ends
// first.
func (c *Counter) Wait(ctx context.Context) error {
	idle := c.idleChan()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (c *Counter) idleChan() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}
