// Package wait waits for a time that a context can cut short, and varies times.
package wait

import (
	"context"
	"math/rand/v2"
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

// jitterShare is the share by which Jitter varies a time in each direction.
const jitterShare = 0.15

// Jitter varies a time at random, so that VMs don't act in step.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}
