package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// serveSite serves a call according to a site's route.
func (c *call) serveSite(to route) {
	c.route = to
	if limit := to.rule.maxHeader; limit > 0 && headerBytes(c.r) > limit {
		c.refuse(outcome.New(http.StatusRequestHeaderFieldsTooLarge, outcome.NotRun, outcome.HeaderTooLarge,
			"the request header is above the limit"))
		return
	}
	if c.gateway.options.RequireRequestID && c.r.Header.Get(outcome.HeaderRequestID) == "" {
		c.refuse(outcome.New(http.StatusBadRequest, outcome.NotRun, outcome.HeaderInvalid, "the request has no ID"))
		return
	}
	c.setDeadline(to.rule.settings.Deadline)
	if c.refuseIfStopping() {
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.gateway.options.Counters.Add(telemetry.GroupCalls, string(to.rule.settings.Traffic), 1)
	c.state.fire(eventAdmitted)
	if to.rule.settings.Traffic == dynamic.Lookup {
		c.serveLookup()
		return
	}
	if c.readBody() {
		c.serveUnclaimed()
	}
}

// headerBytes returns the size of a request's header as received, in bytes.
// Reserved headers are added on the way to this VM and don't count.
func headerBytes(r *http.Request) int {
	const lineEnd, separator, spaces = 2, 2, 2
	length := len(r.Method) + len(r.RequestURI) + len(r.Proto) + spaces + lineEnd
	length += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		if slices.Contains(reservedHeaders, name) {
			continue
		}
		for _, value := range values {
			length += len(name) + separator + len(value) + lineEnd
		}
	}
	return length
}

// retryAfter returns how long the caller of a refused call should wait before it
// retries; 0 means that the problem suggests no retry.
func (c *call) retryAfter(p outcome.Problem) time.Duration {
	if p.RetryAfter == 0 || c.route.service == nil {
		return p.RetryAfter
	}
	if c.route.isSite {
		return c.siteRetryAfter()
	}
	return max(p.RetryAfter, c.route.service.admission.retryAfter(c.route.rule.settings.Traffic))
}

// Bounds of the random retry delay at a site, as shares of the latency objective.
const (
	minRetryAfterShare = 0.08
	maxRetryAfterShare = 0.25
)

// siteRetryAfter returns a random retry delay for a refused caller of a site. It
// is short enough for another VM to answer within the latency objective, unless the
// rate limits of the upstreams permit no call before, and random so that callers that
// are refused together don't retry together.
func (c *call) siteRetryAfter() time.Duration {
	share := minRetryAfterShare + (maxRetryAfterShare-minRetryAfterShare)*rand.Float64()
	return c.nextSend + time.Duration(share*float64(c.route.rule.objective))
}
