package gateway

import (
	"net/http"
	"slices"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
)

// keptPrefix marks the counters of failed sends that were not sent again.
const keptPrefix = "kept_"

// sendUntilAnswered sends a call whose body is in memory, and sends it again
// elsewhere while that is safe and the budget allows. It returns the last
// attempt's result, or the problem that kept the call from being sent at all.
func (c *call) sendUntilAnswered() (attemptResult, *outcome.Problem) {
	sent, problem := c.startSend()
	if problem != nil {
		return attemptResult{}, problem
	}
	mayHaveRun := false
	for {
		a := c.attempt(sent)
		mayHaveRun = mayHaveRun || a.outcome != outcome.NotRun
		again, ok := c.resend(a)
		if !ok {
			if a.outcome == outcome.NotRun && mayHaveRun {
				a.outcome = outcome.Unknown
			}
			return a, nil
		}
		sent = again
	}
}

// resend starts another send after a failed one. It returns false when the
// result goes to the caller; a failure that is kept is counted by its reason.
func (c *call) resend(a attemptResult) (send, bool) {
	if !a.isFailure() {
		return send{}, false
	}
	if !c.mayRetry(a) {
		return send{}, false
	}
	if a.connSilent {
		c.forgetTried(a.upstream)
	}
	sent, problem := c.startSendPaid(a.resendPaid)
	if problem != nil {
		c.keep(string(problem.Reason))
		return send{}, false
	}
	closeRest(a.rest)
	c.gateway.options.Counters.CountRetry(a.failure().Reason)
	return sent, true
}

// forgetTried lets the call go to an upstream again: not the upstream but the
// connection to it was at fault.
func (c *call) forgetTried(upstream string) {
	c.tried = slices.DeleteFunc(c.tried, func(name string) bool { return name == upstream })
}

// isFailure tells whether the send failed or was answered with an error of the
// upstream.
func (a attemptResult) isFailure() bool {
	return a.reason != "" || isServerError(a.status)
}

// isServerError tells whether another upstream may answer better.
func isServerError(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusNotImplemented
}

// failure describes a failed send to the retry policy.
func (a attemptResult) failure() retry.Failure {
	failure := retry.Failure{Outcome: a.outcome, Reason: a.reason}
	if failure.Reason == "" {
		failure.Reason = outcome.UpstreamFailed
	}
	failure.IsFromLaterHop = a.header.Get(outcome.HeaderOutcome) != ""
	return failure
}

// policyCall describes the call to the retry policy.
func (c *call) policyCall() retry.Call {
	return retry.Call{
		IsIdempotent: c.route.rule.settings.Traffic == dynamic.Lookup,
		Attempt:      callheader.ParseAttempt(c.r.Header),
	}
}

// mark returns the attempt number that the upstream is told.
func (c *call) mark() int {
	return c.policyCall().AttemptNumber(c.attempts)
}

// mayRetry tells whether a failed send may be sent again.
func (c *call) mayRetry(a attemptResult) bool {
	verdict := retry.Decide(c.policyCall(), a.failure())
	if verdict == retry.Resend && !c.isInTime() {
		verdict = retry.KeepTooLate
	}
	if verdict == retry.Resend {
		return true
	}
	c.keep(string(verdict))
	return false
}

// keep counts a failed send that is not sent again.
func (c *call) keep(reason string) {
	c.trail.keep(reason)
	c.gateway.options.Counters.Add(telemetry.GroupRetries, keptPrefix+reason, 1)
}

// isInTime tells whether the caller is still there and the deadline has not
// passed, also by the wall clock.
func (c *call) isInTime() bool {
	return c.ctx.Err() == nil && !c.isPastDeadline()
}

// isSpent tells whether the call was sent to as many upstreams as its route
// allows.
func (c *call) isSpent() bool {
	limit := c.route.rule.maxSends
	return limit > 0 && c.attempts >= limit
}

// startSend chooses the upstream of the next send.
func (c *call) startSend() (send, *outcome.Problem) {
	return c.startSendPaid(false)
}

// startSendPaid chooses the upstream of the next send. isPaid tells that the
// budget has paid for it.
func (c *call) startSendPaid(isPaid bool) (send, *outcome.Problem) {
	kind := firstSend
	switch {
	case isPaid:
		kind = paidSend
	case c.attempts > 0:
		kind = extraSend
	}
	return c.startSendOf(kind)
}

// startSendOf chooses the upstream of the next send, which is of the given kind.
func (c *call) startSendOf(kind sendKind) (send, *outcome.Problem) {
	if c.isSpent() {
		p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.AttemptsSpent,
			"the call was sent to as many upstreams as its route allows").WithRetryAfter(retryAfter)
		return send{}, &p
	}
	sent, problem := c.chooseSend(kind)
	if problem != nil {
		return send{}, problem
	}
	sent.traffic = c.route.rule.settings.Traffic
	c.attempts++
	c.state.fire(eventSent)
	c.tried = append(c.tried, sent.choice.Name)
	c.gateway.options.Counters.Add(telemetry.GroupAttempts, string(sent.traffic), 1)
	return sent, nil
}

// chooseSend chooses an upstream and records the send.
func (c *call) chooseSend(kind sendKind) (send, *outcome.Problem) {
	if c.route.isSite {
		return c.placeSend(kind)
	}
	sent, err := c.route.service.startSend(c.route.rule.settings.Traffic, c.tried, kind)
	switch err {
	case sendOK:
		return sent, nil
	case sendErrBudget:
		return send{}, c.noSend(outcome.RetryBudget)
	default:
		return send{}, c.noSend(outcome.NoUpstream)
	}
}
