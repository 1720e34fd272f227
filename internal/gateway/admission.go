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

// errCallerGone means that the caller left while its call waited.
var errCallerGone = errors.New("gateway: caller left the queue")

// admission lets calls wait for the decisions of a limit.Admission. It is safe
// for concurrent use.
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

// configure replaces the limits of a service's traffic.
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

// setCapacity changes the number of calls that may run at once.
func (a *admission) setCapacity(now time.Time, capacity int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked(a.limits.SetCapacity(now, capacity))
}

// acquire admits a call, or waits until it is admitted or refused. Each
// successful acquire has one release.
func (a *admission) acquire(ctx context.Context, traffic dynamic.Traffic, deadline time.Time) (*limit.Ticket, error) {
	ticket, decided, err := a.arrive(traffic, deadline)
	if err != nil || decided == nil {
		return ticket, err
	}
	select {
	case <-decided:
	case <-ctx.Done():
		if a.leave(ticket) {
			return nil, leftReason(ctx)
		}
	}
	if !a.isRunning(ticket) {
		return nil, limit.ErrDeadline
	}
	return ticket, nil
}

// leftReason tells the end of a call's deadline from a caller that left.
func leftReason(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return limit.ErrDeadline
	}
	return errCallerGone
}

// arrive decides on a call. The channel is nil when the call runs, else it is
// closed by the decision.
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

// leave takes a call out of the queue. It returns false when the call has been
// decided meanwhile.
func (a *admission) leave(ticket *limit.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, ticket)
	return a.limits.Leave(ticket)
}

func (a *admission) isRunning(ticket *limit.Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return ticket.IsRunning()
}

// release ends a call that was admitted; answered tells that an upstream
// answered it.
func (a *admission) release(ticket *limit.Ticket, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeLocked(a.limits.Done(time.Now(), ticket, answered))
}

func (a *admission) wakeLocked(decided []*limit.Ticket) {
	for _, ticket := range decided {
		if waiter, ok := a.waiters[ticket]; ok {
			delete(a.waiters, ticket)
			close(waiter)
		}
	}
}

// retryAfter returns the time after which a refused caller may come back.
func (a *admission) retryAfter(traffic dynamic.Traffic) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits.RetryAfter(time.Now(), string(traffic))
}
