package gateway

import (
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// send is one send of a call that is under way.
type send struct {
	choice    loadbalancer.Choice
	transport *transport
	started   time.Time
	// grant is what placed the send; nil for a team's service.
	grant *dispatch.Grant
	// traffic is the kind of traffic of the call.
	traffic dynamic.Traffic
	// isGivenUp tells that another send of the call has won; nil when the call
	// is sent to one upstream at a time.
	isGivenUp *atomic.Bool
}

// slowed returns a channel that is closed when the upstream turns slow while the
// send is under way; nil when nothing tells.
func (s send) slowed() <-chan struct{} {
	if s.grant == nil {
		return nil
	}
	return s.grant.Slowed
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

// sendKind tells how the budget treats a send.
type sendKind int

const (
	// firstSend earns a share of an extra one.
	firstSend sendKind = iota
	// extraSend is a retry, which the budget has to pay for.
	extraSend
	// paidSend is a retry for which payExtra has paid.
	paidSend
	// hedgeSend is an extra send while the first one is still under way, which the
	// budget has to pay for as well.
	hedgeSend
)

// isPaidByBudget tells whether the budget has to pay for the send when it starts.
func (k sendKind) isPaidByBudget() bool {
	return k == extraSend || k == hedgeSend
}

// startSend chooses an upstream and records the send.
func (s *service) startSend(traffic dynamic.Traffic, exclude []string, kind sendKind) (send, sendError) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, ok := s.pickLocked(now, pickRequest(traffic, exclude), kind != firstSend)
	if !ok {
		return send{}, sendErrNoUpstream
	}
	if kind.isPaidByBudget() && !s.budget.Take(now) {
		return send{}, sendErrBudget
	}
	if kind == firstSend {
		s.budget.FirstSend(now)
	}
	s.balancer.Sent(now, choice)
	s.limits.started(choice.Name)
	return send{choice: choice, transport: s.transports[choice.Address], started: now}, sendOK
}

// payExtra pays for one extra send ahead of it.
func (s *service) payExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now())
}

// pickRequest describes a call to the balancer. Only a lookup may try out a
// suspect; the time of an upload tells of its size.
func pickRequest(traffic dynamic.Traffic, exclude []string) loadbalancer.Request {
	return loadbalancer.Request{
		Exclude: exclude,
		NoTrial: traffic != dynamic.Lookup,
		Bulk:    traffic == dynamic.Upload,
	}
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
	if sent.grant != nil {
		sent.grant.End(dispatch.End{Result: result})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, sent.choice, result)
	s.recordLocked(now, sent, result)
}

// cancelSend records that a send was given up.
func (s *service) cancelSend(sent send) {
	if sent.grant != nil {
		end := dispatch.End{IsCancelled: true}
		end.Latency = time.Since(sent.started)
		sent.grant.End(end)
		return
	}
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
