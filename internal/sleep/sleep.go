// Package sleep waits for a time that a context can end.
package sleep

import (
	"context"
	"time"
)

// For waits for a time, or until ctx ends and then returns false.
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
