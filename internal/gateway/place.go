package gateway

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// maxPlacings limits how often a send is placed anew because this VM does not know
// the upstream that was chosen, or knows that it leaves.
const maxPlacings = 3

// placeSend has a call of a site placed and starts the send.
func (c *call) placeSend(kind sendKind) (send, *outcome.Problem) {
	s := c.route.service
	for range maxPlacings {
		request := c.placeRequest(kind)
		grant, err := c.gateway.options.Router.Place(c.ctx, s.name, s.dispatcher, request)
		if err != nil {
			return send{}, c.notPlaced(err)
		}
		c.gateway.options.Counters.Observe(telemetry.HistogramWait, grant.Waited)
		c.gateway.options.Counters.Observe(telemetry.HistogramReportAge, max(grant.Basis.Age, 0))
		if sent, ok := s.startGranted(grant, request.Bulk); ok {
			return sent, nil
		}
		c.gateway.options.Counters.Add(telemetry.GroupDispatch, "upstream_unknown", 1)
		c.tried = append(c.tried, grant.Upstream)
	}
	return send{}, c.noSend(outcome.NoUpstream)
}

// placeRequest describes the next send to what places it.
func (c *call) placeRequest(kind sendKind) dispatch.Request {
	return dispatch.Request{
		Zone:      c.gateway.options.Zone,
		Bulk:      c.route.rule.settings.Traffic == dynamic.Upload,
		Bytes:     len(c.body),
		NoTrial:   c.route.rule.settings.Traffic != dynamic.Lookup,
		Tried:     c.tried,
		Priority:  c.route.rule.priority,
		Objective: c.arrived.Add(c.route.rule.objective),
		Deadline:  c.deadline,
		Extra:     kind != firstSend,
		Hedge:     kind == hedgeSend,
	}
}

// notPlaced returns the problem of a call that was not placed.
func (c *call) notPlaced(err error) *outcome.Problem {
	var refusal dispatch.Refusal
	switch {
	case errors.As(err, &refusal):
		c.trail.refuse(refusal)
		return c.noSend(refusal.Reason)
	case c.r.Context().Err() != nil:
		return c.noSend(outcome.CallerGone)
	default:
		return c.noSend(outcome.QueueDeadline)
	}
}

// noSend returns the problem of a call for which there is no upstream.
func (c *call) noSend(reason outcome.Reason) *outcome.Problem {
	p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, reason,
		"no upstream can take this call now").WithRetryAfter(retryAfter)
	return &p
}

// startGranted starts a send to the upstream of a grant. It returns false when
// this VM does not know the upstream or knows that it leaves.
func (s *service) startGranted(grant dispatch.Grant, isBulk bool) (send, bool) {
	s.mu.Lock()
	address, ok := s.addresses[grant.Upstream]
	t := s.transports[address]
	s.mu.Unlock()
	if !ok || t == nil {
		grant.End(dispatch.End{IsCancelled: true})
		return send{}, false
	}
	return send{
		choice:    loadbalancer.Choice{Name: grant.Upstream, Address: address, Bulk: isBulk},
		transport: t,
		started:   time.Now(),
		grant:     &grant,
	}, true
}

// maxAskBytes limits the body of an upstream's answer about its load.
const maxAskBytes = 1 << 10

// ask asks the upstream at an address for its health and load. It returns false
// when no answer came.
func (s *service) ask(ctx context.Context, address string) (loadbalancer.ProbeResult, bool) {
	s.mu.Lock()
	t := s.transports[address]
	path := s.watch.path
	s.mu.Unlock()
	if t == nil || path == "" {
		return loadbalancer.ProbeResult{}, false
	}
	request := (&http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: t.address, Path: path},
		Host:   t.address,
		Header: http.Header{"User-Agent": nil},
	}).WithContext(ctx)
	response, err := t.calls.RoundTrip(request)
	if err != nil {
		return loadbalancer.ProbeResult{}, false
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAskBytes)); err != nil {
		return loadbalancer.ProbeResult{}, false
	}
	result := loadbalancer.ProbeResult{Healthy: response.StatusCode == http.StatusOK}
	result.Report, result.HasReport = callheader.ParseReport(response.Header.Get(callheader.Load))
	return result, true
}
