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
	priority   int
	isWaiting  bool
	// isReplaced tells that a more urgent call has taken the place.
	isReplaced bool
	wake       chan struct{}
}

// begin lets the call wait for the rest of its patience. It returns false when
// that is used up, or when too many calls wait already.
func (w *waiter) begin(patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.isWaiting {
		return !w.isReplaced
	}
	now := time.Now()
	if !d.backlog.Admit(now, patience) && !d.replaceLocked(now, patience, w.priority) {
		d.options.Counters.Add(telemetry.GroupDispatch, "backlog_full", 1)
		return false
	}
	w.isWaiting = true
	w.wake = make(chan struct{}, 1)
	d.waiters = append(d.waiters, w)
	d.options.Counters.Add(telemetry.GroupDispatch, "waited", 1)
	return true
}

// replaceLocked gives the place of the least urgent call that waits to one of a
// priority. It returns false when none is less urgent.
func (d *Dispatcher) replaceLocked(now time.Time, patience time.Duration, priority int) bool {
	var least *waiter
	for _, w := range d.waiters {
		if w.priority > priority && (least == nil || w.priority > least.priority) {
			least = w
		}
	}
	if least == nil {
		return false
	}
	least.isReplaced = true
	d.removeLocked(least)
	least.signal()
	d.options.Counters.Add(telemetry.GroupDispatch, "replaced", 1)
	return d.backlog.Admit(now, patience)
}

// isAheadWaitingLocked tells whether a call waits that is more urgent than one of
// a priority.
func (d *Dispatcher) isAheadWaitingLocked(priority int) bool {
	return slices.ContainsFunc(d.waiters, func(w *waiter) bool { return w.priority < priority })
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
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.isWaiting && !w.isReplaced {
		d.removeLocked(w)
	}
}

// removeLocked takes a call out of those that wait.
func (d *Dispatcher) removeLocked(w *waiter) {
	d.backlog.Release()
	d.waiters = slices.DeleteFunc(d.waiters, func(other *waiter) bool { return other == w })
}

// wakeLocked lets one call look for an upstream: of the most urgent ones that which
// has waited least, the likeliest to be answered in time.
func (d *Dispatcher) wakeLocked() {
	var first *waiter
	for _, w := range d.waiters {
		if first == nil || w.priority <= first.priority {
			first = w
		}
	}
	if first != nil {
		first.signal()
	}
}

// signal wakes the call.
func (w *waiter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
