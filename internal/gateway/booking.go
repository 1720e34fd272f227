package gateway

import (
	"net/http"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/outcome"
)

// serveBooking serves a booking. With an idempotency key the key is claimed
// first; without one this VM alone sends the booking, and sends it again only
// after a send that did not run.
func (c *call) serveBooking() {
	if !c.readBody() {
		return
	}
	keys := c.r.Header.Values(callheader.IdempotencyKey)
	if len(keys) == 0 {
		c.serveUnclaimed()
		return
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > claim.MaxKeyBytes {
		c.refuse(outcome.New(http.StatusBadRequest, outcome.NotRun, outcome.HeaderInvalid,
			"Idempotency-Key has to hold one key of at most 255 bytes"))
		return
	}
	c.serveClaimed(keys[0])
}

// serveUnclaimed serves a call that needs no claim.
func (c *call) serveUnclaimed() {
	a, problem := c.sendUntilAnswered()
	if problem != nil {
		c.refuse(*problem)
		return
	}
	c.respond(a)
}

// serveClaimed serves a booking that must run at most once across all VMs.
func (c *call) serveClaimed(key string) {
	if c.gateway.options.Claims == nil {
		c.refuse(claimUnavailable())
		return
	}
	result := c.gateway.options.Claims.Claim(c.ctx, claim.Request{
		Key:      claim.Key{Team: c.route.service.team, Service: c.route.service.name, Idempotency: key},
		Call:     claim.Call{Method: c.r.Method, Path: c.pathWithQuery(), Body: &c.body},
		Deadline: c.deadline,
	})
	switch result.Verdict {
	case claim.Owned:
		c.sendClaimed(result.Ticket)
	case claim.Replayed:
		c.replay(result.Response)
	default:
		c.refuse(claimProblem(result.Verdict))
	}
}

// pathWithQuery returns the path and query that the upstream receives.
func (c *call) pathWithQuery() string {
	return c.upstreamTarget().String()
}

// sendClaimed sends a booking whose claim this VM owns and ends the claim.
func (c *call) sendClaimed(ticket *claim.Ticket) {
	a, problem := c.sendUntilAnswered()
	if problem != nil {
		endClaim(ticket, problem.Outcome, nil)
		c.refuse(*problem)
		return
	}
	endClaim(ticket, a.outcome, a.claimResponse())
	c.respond(a)
}

// endClaim ends a claim according to the call's outcome.
func endClaim(ticket *claim.Ticket, out outcome.Outcome, response *claim.Response) {
	switch out {
	case outcome.Ran:
		ticket.Done(response)
	case outcome.NotRun:
		ticket.Release()
	default:
		ticket.MarkUnknown()
	}
}

// claimResponse returns the response to store for retries with the same key, or
// nil if it was not received whole in memory.
func (a attemptResult) claimResponse() *claim.Response {
	if a.reason != "" || a.rest != nil {
		return nil
	}
	header := make(http.Header)
	copyResponseHeader(header, a.header)
	return &claim.Response{Status: a.status, Header: header, Body: a.body}
}

// replay answers a retry with the stored response of the call that ran.
func (c *call) replay(response *claim.Response) {
	if response == nil {
		c.refuse(outcome.New(http.StatusConflict, outcome.Ran, outcome.ClaimAnswerLost,
			"the call with this key ran before and its answer was not kept"))
		return
	}
	c.respond(attemptResult{
		outcome: outcome.Ran, status: response.Status, header: response.Header, body: response.Body,
	})
}

// claimUnavailable returns the problem of a booking whose claim could not be
// written.
func claimUnavailable() outcome.Problem {
	return outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.ClaimUnavailable,
		"the claim of the key could not be recorded").WithRetryAfter(retryAfter)
}

// claimProblem returns the problem for a call that must not be sent because of
// its claim.
func claimProblem(verdict claim.Verdict) outcome.Problem {
	switch verdict {
	case claim.Running:
		return outcome.New(http.StatusConflict, outcome.Unknown, outcome.ClaimRunning,
			"the call with this key is still running").WithRetryAfter(retryAfter)
	case claim.Mismatched:
		return outcome.New(http.StatusUnprocessableEntity, outcome.NotRun, outcome.ClaimMismatch,
			"the key was used for another call")
	case claim.UnknownResult:
		return outcome.New(http.StatusConflict, outcome.Unknown, outcome.ClaimUnknown,
			"the call with this key may have run; it is not sent again")
	case claim.Unreadable:
		return outcome.New(http.StatusBadGateway, outcome.Unknown, outcome.ClaimUnavailable,
			"the claim of the key can't be read; an earlier call with this key may have run").WithRetryAfter(retryAfter)
	case claim.Expired:
		return outcome.New(http.StatusGatewayTimeout, outcome.NotRun, outcome.DeadlinePassed,
			"the deadline passed before the call was sent").WithRetryAfter(retryAfter)
	default:
		return claimUnavailable()
	}
}
