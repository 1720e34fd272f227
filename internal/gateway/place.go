package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// maxPlacements limits the placement requests for one send. The request is
// repeated if this VM does not know the chosen upstream or knows that it is
// leaving.
const maxPlacements = 3

// placeSend has a send of a site's call placed and starts it.
func (c *call) placeSend(kind sendKind) (send, *outcome.Problem) {
	s := c.route.service
	if s.dialer.isOutOfReach() {
		return send{}, c.noUpstreamProblem(outcome.ConnectFailed)
	}
	for range maxPlacements {
		if problem := c.awaitHoldOff(kind); problem != nil {
			return send{}, problem
		}
		request := c.placementRequest(kind)
		grant, err := c.gateway.options.Router.Place(c.ctx, s.name, s.dispatcher, request)
		if err != nil {
			return send{}, c.placementProblem(err)
		}
		c.gateway.options.Counters.Observe(telemetry.HistogramWait, grant.Waited)
		c.gateway.options.Counters.Observe(telemetry.HistogramReportAge, max(grant.Basis.Age, 0))
		if sent, ok := s.startGranted(grant, request.Bulk); ok {
			return sent, nil
		}
		c.gateway.options.Counters.Add(telemetry.GroupDispatch, "upstream_unknown", 1)
		c.tried = append(c.tried, grant.Upstream)
	}
	return send{}, c.noUpstreamProblem(outcome.NoUpstream)
}

// placementRequest returns the placement request for the next send.
func (c *call) placementRequest(kind sendKind) dispatch.Request {
	return dispatch.Request{
		VM:        c.gateway.options.VM,
		Zone:      c.gateway.options.Zone,
		Bulk:      c.route.rule.settings.Traffic == dynamic.Upload,
		Bytes:     int(c.body.length),
		NoTrial:   c.route.rule.settings.Traffic != dynamic.Lookup,
		Tried:     c.excluded(),
		Priority:  c.route.rule.priority,
		Objective: c.arrived.Add(c.route.rule.objective),
		Deadline:  c.deadline,
		Extra:     kind != firstSend,
		Hedge:     kind == hedgeSend,
		ID:        c.identity,
	}
}

// placementProblem returns the problem of a call that could not be placed.
func (c *call) placementProblem(err error) *outcome.Problem {
	var refusal dispatch.Refusal
	switch {
	case errors.As(err, &refusal):
		c.sendLog.setRefusal(refusal)
		c.nextSend = refusal.Basis.NextSend
		return c.noUpstreamProblem(refusal.Reason)
	case c.isEndedByStop():
		return unsentAtStop()
	case c.r.Context().Err() != nil:
		return c.noUpstreamProblem(c.endReason())
	default:
		return c.noUpstreamProblem(outcome.QueueDeadline)
	}
}

// noUpstreamProblem returns the problem of a call for which no upstream is
// available.
func (c *call) noUpstreamProblem(reason outcome.Reason) *outcome.Problem {
	p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, reason,
		"no upstream can take this call now").WithRetryAfter(retryAfter)
	return &p
}

// startGranted starts a send to the upstream of a grant. It returns false and
// cancels the grant when this VM does not know the upstream, or the upstream has asked it for
// no requests since the call was placed.
func (s *service) startGranted(grant dispatch.Grant, isBulk bool) (send, bool) {
	address, t, ok := s.beginGranted(grant.Upstream)
	if !ok {
		endUnsent(grant)
		return send{}, false
	}
	return send{
		choice:    loadbalancer.Choice{Name: grant.Upstream, Address: address, Bulk: isBulk},
		transport: t,
		started:   time.Now(),
		grant:     &grant,
		isEnded:   new(atomic.Bool),
	}, true
}

// beginGranted records that a request is sent to an upstream and returns its address and transport.
// It returns false if this VM does not know the upstream or must not send it one.
func (s *service) beginGranted(upstream string) (string, *transport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.addresses[upstream]
	t := s.transports[address]
	return address, t, ok && t != nil && s.beginSendLocked(time.Now(), upstream)
}

// maxProbeResponseBytes limits the body of the response to a probe.
const maxProbeResponseBytes = 1 << 10

// probe requests the health and load of the upstream at an address. It returns
// false when no response to it was received. The response to a call, which has an ID, may
// arrive in its place; its connection is discarded.
func (s *service) probe(ctx context.Context, address string) (loadbalancer.ProbeResult, bool) {
	s.mu.Lock()
	t := s.transports[address]
	path := s.tracker.path
	s.mu.Unlock()
	if t == nil || path == "" {
		return loadbalancer.ProbeResult{}, false
	}
	trace := &sendTrace{}
	request := (&http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: t.address, Path: path},
		Host:   t.address,
		Header: http.Header{"User-Agent": nil},
	}).WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: trace.gotConn, GotFirstResponseByte: trace.gotFirstByte,
	}))
	response, err := t.roundTripper.RoundTrip(request)
	if err != nil {
		trace.discardConn()
		return loadbalancer.ProbeResult{}, false
	}
	defer func() { _ = response.Body.Close() }()
	s.recordAnswer(trace)
	isOther := trace.isStale() || response.Header.Get(outcome.HeaderRequestID) != ""
	if isOther || callheader.IsRepeated(response.Header, callheader.Single) {
		trace.discardConn()
		return loadbalancer.ProbeResult{}, false
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeResponseBytes)); err != nil {
		return loadbalancer.ProbeResult{}, false
	}
	result := loadbalancer.ProbeResult{
		IsHealthy: response.StatusCode == http.StatusOK,
		Upstream:  response.Header.Get(callheader.Upstream),
	}
	if result.Upstream != "" {
		s.observeProbe(t.address, result.Upstream, response)
		result.Draining = callheader.IsDraining(response.Header)
	}
	result.Report, result.HasReport = callheader.ParseReport(response.Header.Get(callheader.Load))
	if rate, err := callheader.ParseRate(response.Header); err == nil {
		result.Rate = rate
	}
	return result, true
}
