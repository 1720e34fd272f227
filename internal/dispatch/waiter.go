package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// waiter is a call that may wait for a free upstream. The mutex of the
// Dispatcher guards isWaiting and isReplaced.
type waiter struct {
	dispatcher *Dispatcher
	priority   int
	isWaiting  bool
	// isReplaced means that a more urgent call has taken this call's place in
	// the backlog.
	isReplaced bool
	wake       chan struct{}
	// ignoreObjective means that the call may not wait any longer, so that only
	// its deadline counts.
	ignoreObjective bool
	// isForCopies means that the call waits for the result of a copy of its request;
	// ignoreCopies that it may not wait for that any longer.
	isForCopies, ignoreCopies bool
}

// enqueue adds the call to the backlog unless it already waits; maxWait is how
// long it may still wait, and supply what the rate limits of the upstreams permit.
// It returns false when the call must not wait: maxWait is used up, the backlog is
// full, a more urgent call has replaced this one or the rate limits permit no send in
// time.
func (w *waiter) enqueue(maxWait time.Duration, supply loadbalancer.RateSupply) bool {
	if maxWait <= 0 {
		return false
	}
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.isWaiting {
		return !w.isReplaced
	}
	now := time.Now()
	if supply.IsLimited && !d.backlog.IsInTime(maxWait, supply.First, supply.PerSecond) {
		return false
	}
	if !d.backlog.Admit(now, maxWait) && !d.replaceLeastUrgentLocked(now, maxWait, w.priority) {
		d.options.Counters.Add(telemetry.GroupDispatch, "backlog_full", 1)
		return false
	}
	w.isWaiting = true
	w.wake = make(chan struct{}, 1)
	d.waiters = append(d.waiters, w)
	d.options.Counters.Add(telemetry.GroupDispatch, "waited", 1)
	return true
}

// replaceLeastUrgentLocked removes the least urgent waiting call from the backlog
// and admits one with the given priority instead. It returns false when no
// waiting call is less urgent or the backlog still has no room.
func (d *Dispatcher) replaceLeastUrgentLocked(now time.Time, maxWait time.Duration, priority int) bool {
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
	d.removeWaiterLocked(least)
	least.notify()
	d.options.Counters.Add(telemetry.GroupDispatch, "replaced", 1)
	return d.backlog.Admit(now, maxWait)
}

// othersWaitingLocked returns the number of waiting calls other than the one of w.
func (d *Dispatcher) othersWaitingLocked(w *waiter) int {
	if w.isWaiting && !w.isReplaced {
		return len(d.waiters) - 1
	}
	return len(d.waiters)
}

// isMoreUrgentWaitingLocked reports whether a call more urgent than the given
// priority waits.
func (d *Dispatcher) isMoreUrgentWaitingLocked(priority int) bool {
	return slices.ContainsFunc(d.waiters, func(w *waiter) bool { return w.priority < priority })
}

// awaitWake blocks until the call should look for an upstream again: when it is
// woken, and at the latest after maxRecheckInterval. It returns false when ctx
// ends first, because the caller has left or the deadline has passed.
func (w *waiter) awaitWake(ctx context.Context) bool {
	timer := time.NewTimer(maxRecheckInterval)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// leave ends the wait of the call, if it waits.
func (w *waiter) leave() {
	d := w.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.isWaiting && !w.isReplaced {
		d.removeWaiterLocked(w)
	}
	w.isWaiting = false
}

// removeWaiterLocked removes a call from the backlog and the list of waiters.
func (d *Dispatcher) removeWaiterLocked(w *waiter) {
	d.backlog.Release()
	d.waiters = slices.DeleteFunc(d.waiters, func(other *waiter) bool { return other == w })
}

// wakeOneLocked wakes one waiting call, which then tries to get an upstream.
// Among the most urgent calls it picks the one that has waited least, because
// that one is the most likely to be answered in time.
func (d *Dispatcher) wakeOneLocked() {
	var chosen *waiter
	for _, w := range d.waiters {
		if chosen == nil || w.priority <= chosen.priority {
			chosen = w
		}
	}
	if chosen != nil {
		chosen.notify()
	}
}

// notify wakes the call without blocking.
func (w *waiter) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
