// Package inflight counts work that a graceful stop must wait for.
package inflight

import (
	"context"
	"sync"
)

// Counter counts work in flight. Its zero value is ready to use. Unlike a
// sync.WaitGroup it may be added to while others wait.
type Counter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{}
}

// Begin counts one piece of work and returns what ends it.
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

// Count returns the work in flight.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Wait waits until nothing is in flight, or returns the cause of ctx's end.
func (c *Counter) Wait(ctx context.Context) error {
	idle := c.idleChannel()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (c *Counter) idleChannel() <-chan struct{} {
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
