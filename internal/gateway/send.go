package gateway

import (
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// send is one send of a call that is under way.
type send struct {
	choice    loadbalancer.Choice
	transport *transport
	started   time.Time
	// traffic is the kind of traffic of the call.
	traffic dynamic.Traffic
	// isGivenUp tells that another send of the call has won; nil when the call
	// is sent to one upstream at a time.
	isGivenUp *atomic.Bool
}

// cancellable returns the send in a form that can be given up.
func (s send) cancellable() send {
	s.isGivenUp = new(atomic.Bool)
	return s
}

// giveUp marks a send whose end says nothing of its upstream any more.
func (s send) giveUp() {
	s.isGivenUp.Store(true)
}

// startSend chooses an upstream and records the send. extra marks a hedge or a
// retry, which the budget has to pay for.
func (s *service) startSend(exclude []string, extra bool) (send, sendError) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, ok := s.pickLocked(now, exclude, extra)
	if !ok {
		return send{}, sendErrNoUpstream
	}
	if extra && !s.budget.Take(now) {
		return send{}, sendErrBudget
	}
	if !extra {
		s.budget.FirstSend(now)
	}
	s.balancer.Sent(now, choice)
	s.limits.started(choice.Name)
	return send{choice: choice, transport: s.transports[choice.Address], started: now}, sendOK
}

// sendError tells why no send was started.
type sendError int

const (
	sendOK sendError = iota
	sendErrNoUpstream
	sendErrBudget
)

// endSend records how a send ended.
func (s *service) endSend(sent send, result loadbalancer.Result) {
	if sent.isGivenUp != nil && sent.isGivenUp.Load() {
		s.cancelSend(sent)
		return
	}
	now := time.Now()
	result.Latency = now.Sub(sent.started)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, sent.choice, result)
	s.recordLocked(now, sent, result)
}

// cancelSend records that a send was given up.
func (s *service) cancelSend(sent send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.balancer.Cancelled(now, sent.choice, now.Sub(sent.started))
	s.limits.cancelled(sent.choice.Name)
}

// hedgeDelay returns the time after which the answer to a lookup counts as
// late; false until enough answers were seen.
func (s *service) hedgeDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedges.Delay()
}

// observeLookup records the latency of a lookup's first send.
func (s *service) observeLookup(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedges.Observe(latency)
}
