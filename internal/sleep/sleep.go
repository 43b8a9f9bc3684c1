// Package sleep provides a sleep that a context can interrupt.
package sleep

import (
	"context"
	"time"
)

// For sleeps for t and returns true. If ctx ends first, it returns false at once.
func For(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
