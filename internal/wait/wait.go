// Package wait waits for a time that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false when ctx ended before.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
