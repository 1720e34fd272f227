package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/quarantine"
)

// send is one send of a call that is in progress.
type send struct {
	choice    loadbalancer.Choice
	transport *transport
	started   time.Time
	// grant is the placement of the send; nil for a team's service.
	grant *dispatch.Grant
	// traffic is the call's kind of traffic.
	traffic dynamic.Traffic
	// suspect is the send as the quarantine of a team's service knows it.
	suspect *quarantine.Send
	// isAbandoned means that another send of the call has won; nil when the call
	// has only one send at a time.
	isAbandoned *atomic.Bool
	// isEnded is set by the first record of its end, after which others have no effect.
	isEnded *atomic.Bool
}

// end reports whether the end of the send is recorded for the first time.
func (s send) end() bool {
	return s.isEnded == nil || s.isEnded.CompareAndSwap(false, true)
}

// cancellable returns a copy of the send that can be abandoned.
func (s send) cancellable() send {
	s.isAbandoned = new(atomic.Bool)
	return s
}

// abandon marks the send as abandoned: its result is not attributed to the
// upstream.
func (s send) abandon() {
	s.isAbandoned.Store(true)
}

// sendKind determines how the retry budget accounts for a send.
type sendKind int

const (
	// firstSend adds a share of an extra send to the budget.
	firstSend sendKind = iota
	// extraSend is a retry that is taken from the budget when it starts.
	extraSend
	// reservedSend is a retry that reserveRetry has already taken from the budget.
	reservedSend
	// hedgeSend is an extra send while the first one is still in progress; it is
	// taken from the budget when it starts.
	hedgeSend
)

// needsBudget reports whether the send is taken from the budget when it starts.
func (k sendKind) needsBudget() bool {
	return k == extraSend || k == hedgeSend
}

// startSend chooses an upstream for a request and records the start of the send.
func (s *service) startSend(traffic dynamic.Traffic, id quarantine.Identity, exclude []string, kind sendKind) (send, sendError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if refused := s.admitSuspectLocked(now, id, kind); refused != sendOK {
		return send{}, refused
	}
	exclude = append(s.holdOffs.HeldOff(now), exclude...)
	choice, ok := s.pickLocked(now, pickRequest(traffic, exclude), kind != firstSend)
	if !ok || !s.beginSendLocked(now, choice.Name) {
		return send{}, sendErrNoUpstream
	}
	if kind.needsBudget() && !s.budget.Take(now) {
		return send{}, sendErrBudget
	}
	if kind == firstSend {
		s.budget.FirstSend(now)
	}
	s.balancer.Sent(now, choice)
	s.limits.started(choice.Name)
	return send{
		choice: choice, transport: s.transports[choice.Address], started: now, isEnded: new(atomic.Bool),
		suspect: s.suspects.Sent(now, id, s.teamProcessLocked(choice.Name)),
	}, sendOK
}

// admitSuspectLocked decides on a send of a request under which upstreams may have ended. The
// VMs of a team share no suspects, so that each of them makes its own trials.
func (s *service) admitSuspectLocked(now time.Time, id quarantine.Identity, kind sendKind) sendError {
	verdict := s.suspects.Admit(now, id, kind.quarantineKind(), false)
	for _, trial := range s.suspects.WantedTrials() {
		s.suspects.TrialReserved(now, trial, true)
	}
	switch verdict {
	case quarantine.RefuseHeld:
		return sendErrHeld
	case quarantine.RefuseBusy:
		return sendErrBusy
	default:
		return sendOK
	}
}

// teamProcessLocked returns the name of the process that an upstream of a team runs as, as far
// as its ends tell.
func (s *service) teamProcessLocked(upstream string) string {
	return upstream + "#" + strconv.Itoa(s.endCounts[upstream])
}

// quarantineKind returns the part that the send has in its call.
func (k sendKind) quarantineKind() quarantine.SendKind {
	switch k {
	case firstSend:
		return quarantine.First
	case hedgeSend:
		return quarantine.Hedge
	default:
		return quarantine.Retry
	}
}

// suspectRetryAfter returns the time until a suspect may be sent again.
func (s *service) suspectRetryAfter(id quarantine.Identity) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.RetryAfter(time.Now(), id)
}

// reserveRetry takes one retry from the budget ahead of its send. It returns
// false when the budget is exhausted.
func (s *service) reserveRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Take(time.Now())
}

// pickRequest describes a call to the balancer. Only a lookup may be a trial call
// to a suspect upstream; the latency of an upload depends on its size.
func pickRequest(traffic dynamic.Traffic, exclude []string) loadbalancer.Request {
	return loadbalancer.Request{
		Exclude: exclude,
		NoTrial: traffic != dynamic.Lookup,
		Bulk:    traffic == dynamic.Upload,
	}
}

// sendError is the reason why no send was started.
type sendError int

const (
	sendOK sendError = iota
	sendErrNoUpstream
	sendErrBudget
	// sendErrHeld means that upstreams end under the request, sendErrBusy that its copies are
	// sent one after the other.
	sendErrHeld
	sendErrBusy
)

// endSend records the result of a send and what it tells about the request. An abandoned send
// is recorded as cancelled.
func (s *service) endSend(sent send, result loadbalancer.Result, run quarantine.Result) {
	if sent.isAbandoned != nil && sent.isAbandoned.Load() {
		s.cancelSend(sent)
		return
	}
	if !sent.end() {
		return
	}
	now := time.Now()
	result.Latency = now.Sub(sent.started)
	if sent.grant != nil {
		sent.grant.End(dispatch.End{Result: result, Run: run})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Done(now, sent.suspect, run)
	if run == quarantine.ResultEnded {
		s.endCounts[sent.choice.Name]++
	}
	s.balancer.Done(now, sent.choice, result)
	s.recordLocked(now, sent, result)
}

// cancelSend records that a send was cancelled.
func (s *service) cancelSend(sent send) {
	if !sent.end() {
		return
	}
	if sent.grant != nil {
		end := dispatch.End{IsCancelled: true}
		end.Latency = time.Since(sent.started)
		sent.grant.End(end)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.suspects.Done(now, sent.suspect, quarantine.ResultNone)
	s.balancer.Cancelled(now, sent.choice, now.Sub(sent.started))
	s.limits.cancelled(sent.choice.Name)
}

// abandonSend records that a send ended for a reason that says nothing about its upstream.
func (s *service) abandonSend(sent send) {
	if sent.grant == nil {
		s.cancelSend(sent)
		return
	}
	if !sent.end() {
		return
	}
	end := dispatch.End{IsCancelled: true, IsUnattributed: true}
	end.Latency = time.Since(sent.started)
	sent.grant.End(end)
}

// hedgeDelay returns the delay after which a lookup is hedged; false until enough
// latencies were observed.
func (s *service) hedgeDelay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedgeTrigger.Delay()
}

// observeLookup records the latency of a lookup's first send.
func (s *service) observeLookup(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedgeTrigger.Observe(latency)
}
