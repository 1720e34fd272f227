package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/limit"
)

// errCallerGone means that the caller disconnected while its call was queued.
var errCallerGone = errors.New("gateway: caller disconnected while queued")

// admission makes calls wait in the queue of a limit.Admission, which decides
// which of them run. It is safe for concurrent use.
type admission struct {
	mu      sync.Mutex
	limits  *limit.Admission
	waiters map[*limit.Ticket]chan struct{}
}

func newAdmission(random *rand.Rand) *admission {
	return &admission{
		limits:  limit.NewAdmission(random),
		waiters: make(map[*limit.Ticket]chan struct{}),
	}
}

// configure replaces the concurrency and queue limits of each kind of traffic.
func (a *admission) configure(rules []dynamic.Rule) {
	classes := make([]limit.Class, 0, len(rules))
	for _, r := range rules {
		classes = append(classes, limit.Class{
			Name: string(r.Traffic), Concurrency: r.Concurrency, Queue: r.Queue,
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked(a.limits.SetClasses(time.Now(), classes))
}

// setCapacity sets how many calls of the service may run concurrently.
func (a *admission) setCapacity(now time.Time, capacity int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked(a.limits.SetCapacity(now, capacity))
}

// acquire admits a call, waiting in the queue if necessary. It returns
// errCallerGone when ctx is cancelled, limit.ErrDeadline when the deadline
// passes first, or the reason for a refusal on arrival. The caller must call
// release once for each ticket that is returned without an error.
func (a *admission) acquire(ctx context.Context, traffic dynamic.Traffic, deadline time.Time) (*limit.Ticket, error) {
	ticket, decided, err := a.arrive(traffic, deadline)
	if err != nil || decided == nil {
		return ticket, err
	}
	select {
	case <-decided:
	case <-ctx.Done():
		if a.leave(ticket) {
			return nil, waitError(ctx)
		}
	}
	if !a.isRunning(ticket) {
		return nil, limit.ErrDeadline
	}
	return ticket, nil
}

// waitError returns the reason why a queued call stopped waiting:
// limit.ErrDeadline or errCallerGone.
func waitError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return limit.ErrDeadline
	}
	return errCallerGone
}

// arrive admits, queues or refuses a call. The channel is nil when the call may
// run at once; otherwise it is closed as soon as the call is admitted or refused.
func (a *admission) arrive(traffic dynamic.Traffic, deadline time.Time) (*limit.Ticket, chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket, err := a.limits.Arrive(time.Now(), string(traffic), deadline)
	if err != nil || ticket.IsRunning() {
		return ticket, nil, err
	}
	decided := make(chan struct{})
	a.waiters[ticket] = decided
	return ticket, decided, nil
}

// leave removes a call from the queue. It returns false when the call was
// already admitted or refused.
func (a *admission) leave(ticket *limit.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, ticket)
	return a.limits.Cancel(ticket)
}

func (a *admission) isRunning(ticket *limit.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ticket.IsRunning()
}

// release returns the slot of an admitted call. answered reports whether the
// call's duration is a valid sample of the service's latency.
func (a *admission) release(ticket *limit.Ticket, isLatencySample bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked(a.limits.Done(time.Now(), ticket, isLatencySample))
}

func (a *admission) wakeLocked(decided []*limit.Ticket) {
	for _, ticket := range decided {
		if waiter, ok := a.waiters[ticket]; ok {
			delete(a.waiters, ticket)
			close(waiter)
		}
	}
}

// retryAfter returns how long a refused caller should wait before it retries.
func (a *admission) retryAfter(traffic dynamic.Traffic) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.RetryAfter(time.Now(), string(traffic))
}
