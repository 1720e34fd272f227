package gateway

import (
	"net/http"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/tunnel"
	"github.com/figfront/figfront/internal/wait"
)

// maxRestWaitShare is the largest part of the time to its objective that a call waits for the
// end of a rest, while all upstreams rest.
const maxRestWaitShare = 0.3

// observeHoldOff records what the upstream of a send asked this VM for in a response. If the
// connection led through another VM that one is told; otherwise the VMs with tunnels through
// this one are. Status 421 comes from another upstream.
func (c *call) observeHoldOff(sent send, trace *sendTrace, response *http.Response, statement callheader.Statement) {
	s := c.route.service
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	asked := tunnel.HoldOff{IsLeaving: s.observeLeaving(sent.choice.Name, response.Header)}
	switch {
	case isUnavailable(response, statement):
		asked.Rest = s.observeRest(sent.choice.Name, response.Header)
	case statement != callheader.Refused:
		s.observeService(sent.choice.Name)
	}
	if asked == (tunnel.HoldOff{}) {
		return
	}
	if through := trace.tunnel(); through != nil {
		// The tunnel ends if this fails, and with it what binds its VM.
		go func() { _ = through.TellHoldOff(asked) }()
		return
	}
	if c.gateway.options.OnHoldOff != nil {
		c.gateway.options.OnHoldOff(s.name, sent.choice.Address, asked)
	}
}

// isHeldOffAt reports whether the upstream at an address must not get a request of this VM now.
func (s *service) isHeldOffAt(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, known := range s.addresses {
		if wait, ok := s.holdOffs.Wait(time.Now(), name); known == address && (!ok || wait > 0) {
			return true
		}
	}
	return false
}

// holdOffAt records what the upstream at an address asked this VM for.
func (s *service) holdOffAt(address string, h tunnel.HoldOff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Add(telemetry.GroupHoldOff, "learned_by_tunnel", 1)
	for name, known := range s.addresses {
		if known != address {
			continue
		}
		if h.Rest > 0 {
			s.holdOffs.Rest(time.Now(), name, h.Rest)
		}
		if h.IsLeaving {
			s.leaveLocked(name)
		}
	}
}

// observeLeaving records whether an upstream of a site says that it is leaving, and returns it.
// An upstream of a team may take that back; the balancer has it probed for that.
func (s *service) observeLeaving(upstream string, h http.Header) bool {
	if s.dispatcher == nil || !callheader.IsDraining(h) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveLocked(upstream)
	return true
}

func (s *service) leaveLocked(upstream string) {
	if !s.holdOffs.Leave(upstream) {
		return
	}
	s.counters.Add(telemetry.GroupHoldOff, "leaving", 1)
	s.log.Info("upstream says that it is leaving, no more requests until it starts again",
		telemetry.FieldService, s.name, telemetry.FieldUpstream, upstream)
}

// observeRest records the rest that an upstream asked this VM for when it refused a request,
// and returns it. An unusable one is counted; the first one of an upstream is logged.
func (s *service) observeRest(upstream string, h http.Header) time.Duration {
	rest, err := callheader.ParseRest(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case err != nil:
		s.counters.Add(telemetry.GroupHoldOff, "rest_malformed", 1)
		if !s.loggedRests[upstream] {
			s.loggedRests[upstream] = true
			s.log.Warn("upstream asks for an unusable rest, taken as none", telemetry.FieldService, s.name,
				telemetry.FieldUpstream, upstream, telemetry.FieldError, err)
		}
	case rest > 0:
		s.counters.Add(telemetry.GroupHoldOff, "rest_asked", 1)
		if !s.holdOffs.IsResting(now, upstream) {
			s.log.Info("upstream asks for rest", telemetry.FieldService, s.name,
				telemetry.FieldUpstream, upstream, "rest_ms", rest.Milliseconds())
		}
		s.holdOffs.Rest(now, upstream, rest)
	}
	return rest
}

// observeService records that an upstream responded to a request without turning it away.
func (s *service) observeService(upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdOffs.Answered(upstream)
}

// isUnavailable reports whether a response is a refusal that may ask for rest.
func isUnavailable(response *http.Response, statement callheader.Statement) bool {
	return statement == callheader.Refused && response.StatusCode == http.StatusServiceUnavailable
}

// heldOff returns the upstreams that must not get a request of this VM now.
func (s *service) heldOff() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdOffs.HeldOff(time.Now())
}

// isResting reports whether an upstream asked this VM for rest; it is not probed then.
func (s *service) isResting(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdOffs.IsResting(time.Now(), upstream)
}

// beginSendLocked records that a request is sent to an upstream. It returns false if the
// upstream must not get one of this VM now.
func (s *service) beginSendLocked(now time.Time, upstream string) bool {
	if wait, ok := s.holdOffs.Wait(now, upstream); !ok || wait > 0 {
		s.counters.Add(telemetry.GroupHoldOff, "send_withheld", 1)
		return false
	}
	s.holdOffs.Sent(now, upstream)
	return true
}

// soonestSend returns the time until some upstream may get a request of this VM, false if none
// may without a new start, and whether there is any upstream.
func (s *service) soonestSend() (wait time.Duration, ok, hasUpstreams bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait, ok = s.holdOffs.SoonestWait(time.Now())
	return wait, ok, len(s.addresses) > 0
}

// awaitHoldOff waits while all upstreams rest, if the queue allows that. It returns the problem
// of a call for which that takes too long.
func (c *call) awaitHoldOff(kind sendKind) *outcome.Problem {
	untilSend, ok, hasUpstreams := c.route.service.soonestSend()
	switch {
	case !hasUpstreams || ok && untilSend == 0:
		return nil
	case !ok:
		return c.noUpstreamProblem(outcome.NoUpstream)
	}
	untilObjective := time.Until(c.arrived.Add(c.route.rule.objective))
	mayWait := kind == firstSend && untilSend <= time.Duration(maxRestWaitShare*float64(untilObjective))
	if mayWait && wait.For(c.ctx, untilSend) {
		return nil
	}
	if c.isEndedByStop() {
		return unsentAtStop()
	}
	c.nextSend = untilSend
	return c.noUpstreamProblem(outcome.UpstreamsResting)
}

// excluded returns the upstreams that the next send must not go to: those that it was sent to,
// and those that want no request of this VM.
func (c *call) excluded() []string {
	held := c.route.service.heldOff()
	if len(held) == 0 {
		return c.tried
	}
	return append(held, c.tried...)
}

// endUnsent ends a grant whose send was not started.
func endUnsent(grant dispatch.Grant) {
	grant.End(dispatch.End{IsCancelled: true})
}

// observeProbe records what the upstream at an address asked this VM for in the answer to a
// probe, which names the upstream.
func (s *service) observeProbe(address, upstream string, response *http.Response) {
	s.mu.Lock()
	isListed := s.addresses[upstream] == address
	s.mu.Unlock()
	if !isListed {
		return
	}
	s.observeLeaving(upstream, response.Header)
	if response.StatusCode == http.StatusServiceUnavailable {
		s.observeRest(upstream, response.Header)
	}
}
