// Package limit bounds the calls that run and wait at once.
//
// A Limiter admits calls up to its concurrency, lets a few more wait until
// their deadline and refuses the rest at once.
package limit

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Limiter. Each means that the call did not run.
var (
	// ErrQueueFull means that the queue has no place.
	ErrQueueFull = errors.New("limit: queue full")
	// ErrDeadline means that the call waited until it could not be answered
	// in time.
	ErrDeadline = errors.New("limit: deadline passed in queue")
	// ErrGone means that the caller left while the call waited.
	ErrGone = errors.New("limit: caller gone")
)

// Limiter bounds the calls of one kind of traffic. It is safe for concurrent
// use.
type Limiter struct {
	mu          sync.Mutex
	concurrency int
	queue       int
	running     int
	waiters     []*waiter
}

// waiter is a call in the queue; admitted is closed when it may run.
type waiter struct {
	admitted chan struct{}
}

// New returns a Limiter for concurrency calls at once and queue waiting ones.
func New(concurrency, queue int) *Limiter {
	return &Limiter{concurrency: concurrency, queue: queue}
}

// SetLimits changes the limits.
func (l *Limiter) SetLimits(concurrency, queue int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.concurrency = concurrency
	l.queue = queue
	l.admitLocked()
}

// Acquire admits a call or waits until it can, at most until the deadline.
// Each successful Acquire has one Release.
func (l *Limiter) Acquire(ctx context.Context, deadline time.Time) error {
	w, err := l.enter()
	if err != nil || w == nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.admitted:
		return nil
	case <-timer.C:
		return l.leave(w, ErrDeadline)
	case <-ctx.Done():
		return l.leave(w, ErrGone)
	}
}

// enter admits a call at once (nil waiter), queues it, or refuses it.
func (l *Limiter) enter() (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running < l.concurrency && len(l.waiters) == 0 {
		l.running++
		return nil, nil
	}
	if len(l.waiters) >= l.queue {
		return nil, ErrQueueFull
	}
	w := &waiter{admitted: make(chan struct{})}
	l.waiters = append(l.waiters, w)
	return w, nil
}

// leave takes a waiter out of the queue. A waiter admitted in the meantime
// gives its place back.
func (l *Limiter) leave(w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiters {
		if other == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return cause
		}
	}
	l.running--
	l.admitLocked()
	return cause
}

// Release ends a call that was admitted.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.admitLocked()
}

func (l *Limiter) admitLocked() {
	for l.running < l.concurrency && len(l.waiters) > 0 {
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		l.running++
		close(w.admitted)
	}
}

// Running returns the number of calls that run.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}
