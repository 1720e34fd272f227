package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/telemetry"
)

// waiter is a call that waits for a free upstream.
type waiter struct {
	dispatcher *Dispatcher
	isWaiting  bool
	wake       chan struct{}
}

// begin lets the call wait for the rest of its patience. It returns false when
// that is used up, or when too many calls wait already.
func (w *waiter) begin(patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	if w.isWaiting {
		return true
	}
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.backlog.Enter(time.Now(), patience) {
		d.options.Counters.Add(telemetry.GroupDispatch, "backlog_full", 1)
		return false
	}
	w.isWaiting = true
	w.wake = make(chan struct{}, 1)
	d.waiters = append(d.waiters, w)
	d.options.Counters.Add(telemetry.GroupDispatch, "waited", 1)
	return true
}

// next waits until an upstream may have become free. It returns false when the
// caller has left or its deadline has passed.
func (w *waiter) next(ctx context.Context) bool {
	timer := time.NewTimer(placeInterval)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// end takes the call out of those that wait.
func (w *waiter) end() {
	if !w.isWaiting {
		return
	}
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backlog.Leave()
	d.waiters = slices.DeleteFunc(d.waiters, func(other *waiter) bool { return other == w })
}

// wakeLocked lets the call that has waited least look for an upstream: it is the
// likeliest to be answered in time.
func (d *Dispatcher) wakeLocked() {
	if len(d.waiters) == 0 {
		return
	}
	select {
	case d.waiters[len(d.waiters)-1].wake <- struct{}{}:
	default:
	}
}
