package gateway

import (
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
