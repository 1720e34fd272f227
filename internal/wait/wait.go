// Package wait provides random jitter for durations, and a wait that a context
// can end early.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For blocks for d. It returns false if ctx ends first. It starts no timer without a duration:
// the race detector crashes if goroutines of one testing/synctest bubble receive from
// expired timers at the same time.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitterShare is the largest part of a duration that Jitter adds or subtracts.
const jitterShare = 0.15

// Jitter changes a duration at random by up to jitterShare, so that the VMs
// don't act at the same moment.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}

// MaxJitter returns the longest duration that Jitter makes of d.
func MaxJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterShare))
}
