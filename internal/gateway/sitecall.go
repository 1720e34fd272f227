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

// serveSite serves a call along a site's route.
func (c *call) serveSite(to route) {
	c.route = to
	if limit := to.rule.maxHeader; limit > 0 && headerBytes(c.r) > limit {
		c.refuse(outcome.New(http.StatusRequestHeaderFieldsTooLarge, outcome.NotRun, outcome.HeaderTooLarge,
			"the request header is above the limit"))
		return
	}
	c.setDeadline(to.rule.settings.Deadline)
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

// headerBytes returns the length of a request's header as it came, in bytes.
// figfront's own headers are added on the way in and don't count.
func headerBytes(r *http.Request) int {
	const lineEnd, separator, spaces = 2, 2, 2
	length := len(r.Method) + len(r.RequestURI) + len(r.Proto) + spaces + lineEnd
	length += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		if slices.Contains(ownHeaders, name) {
			continue
		}
		for _, value := range values {
			length += len(name) + separator + len(value) + lineEnd
		}
	}
	return length
}

// retryAfter returns when a refused caller may come back.
func (c *call) retryAfter(p outcome.Problem) time.Duration {
	if p.RetryAfter == 0 || c.route.service == nil {
		return p.RetryAfter
	}
	if c.route.isSite {
		return c.returnAfter()
	}
	return max(p.RetryAfter, c.route.service.admission.retryAfter(c.route.rule.settings.Traffic))
}

// Bounds of the time after which a refused caller may come back: shares of the
// objective, between which callers are spread.
const (
	minReturnShare = 0.08
	maxReturnShare = 0.25
)

// returnAfter returns when a refused caller of a site may come back: soon enough
// to be answered within the objective by another VM, spread out so that those
// who are refused together don't come back together.
func (c *call) returnAfter() time.Duration {
	share := minReturnShare + (maxReturnShare-minReturnShare)*rand.Float64()
	return time.Duration(share * float64(c.route.rule.objective))
}
