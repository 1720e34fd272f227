package gateway

import (
	"net/http"
	"time"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// placeInterval is the longest time between two looks for a free upstream.
const placeInterval = 8 * time.Millisecond

// placeSend sends a call of a site to an upstream that is expected to answer in
// time. When there is none it lets the call wait for one, or returns a problem
// at once when the wait would be in vain. isLate gives up the objective.
func (c *call) placeSend(kind sendKind) (send, *outcome.Problem) {
	s := c.route.service
	wait := &waiter{service: s}
	defer wait.end()
	isLate := false
	for {
		left := c.timeLeft(isLate)
		c.askUpstreams(left)
		sent, verdict, err := s.place(c, kind, left)
		switch {
		case err == sendErrBudget:
			return send{}, c.noSend(outcome.RetryBudget)
		case verdict == loadbalancer.Send:
			return sent, nil
		case verdict == loadbalancer.Refuse || kind != firstSend:
			return send{}, c.noSend(outcome.NoUpstream)
		case isLate:
			return send{}, c.noSend(outcome.QueueFull)
		case !wait.begin(left.Objective):
			isLate = true
			continue
		}
		if !wait.next(c) {
			return send{}, c.noSend(outcome.QueueDeadline)
		}
	}
}

// timeLeft returns the time that the call has. A call that does not wait for a
// timely answer has no objective.
func (c *call) timeLeft(isLate bool) loadbalancer.TimeLeft {
	left := loadbalancer.TimeLeft{Deadline: time.Until(c.deadline)}
	if !isLate {
		left.Objective = time.Until(c.arrived.Add(c.route.rule.objective))
	}
	return left
}

// noSend returns the problem of a call for which there is no upstream.
func (c *call) noSend(reason outcome.Reason) *outcome.Problem {
	p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, reason,
		"no upstream can take this call now").WithRetryAfter(retryAfter)
	return &p
}

// place starts a send if an upstream is expected to answer in time.
func (s *service) place(c *call, kind sendKind, left loadbalancer.TimeLeft) (send, loadbalancer.Verdict, sendError) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, verdict := s.balancer.Place(now, pickRequest(c.route.rule.settings.Traffic, c.tried), left)
	if verdict != loadbalancer.Send {
		return send{}, verdict, sendOK
	}
	if kind == extraSend && !s.budget.Take(now) {
		return send{}, verdict, sendErrBudget
	}
	if kind == firstSend {
		s.budget.FirstSend(now)
	}
	s.backlog.Sent(now)
	return s.startLocked(now, choice), verdict, sendOK
}

// startLocked records a send to the chosen upstream.
func (s *service) startLocked(now time.Time, choice loadbalancer.Choice) send {
	s.balancer.Sent(now, choice)
	s.loadChanged()
	s.limits.started(choice.Name)
	return send{choice: choice, transport: s.transports[choice.Address], started: now}
}

// waiter is a call that waits for a free upstream.
type waiter struct {
	service   *service
	isWaiting bool
	wake      chan struct{}
}

// begin lets the call wait if it can be sent within patience. It returns false
// when too many wait already.
func (w *waiter) begin(patience time.Duration) bool {
	if w.isWaiting {
		return true
	}
	s := w.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.backlog.Enter(time.Now(), patience-s.balancer.Unit()) {
		s.counters.Add(telemetry.GroupCalls, "backlog_full", 1)
		return false
	}
	w.isWaiting = true
	w.wake = make(chan struct{}, 1)
	s.waiters = append(s.waiters, w)
	s.counters.Add(telemetry.GroupCalls, "waited", 1)
	return true
}

// next waits until an upstream may have become free. It returns false when the
// caller has left or the deadline has passed.
func (w *waiter) next(c *call) bool {
	timer := time.NewTimer(placeInterval)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-c.ctx.Done():
		return false
	}
	return true
}

// end takes the call out of those that wait.
func (w *waiter) end() {
	if !w.isWaiting {
		return
	}
	s := w.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backlog.Leave()
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			break
		}
	}
}

// wakeWaiterLocked lets the call that has waited least look for an upstream: it
// is the likeliest to be answered in time.
func (s *service) wakeWaiterLocked() {
	if len(s.waiters) == 0 {
		return
	}
	select {
	case s.waiters[len(s.waiters)-1].wake <- struct{}{}:
	default:
	}
}
