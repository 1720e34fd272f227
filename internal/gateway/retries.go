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

// notResentPrefix is the prefix of the counters of failed sends that were not
// retried.
const notResentPrefix = "kept_"

// sendUntilAnswered sends a call whose body is in memory, and retries it on other
// upstreams while that is safe and the budget allows it. It returns the result of
// the last attempt, or the problem that kept the call from being sent at all.
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

// resend starts a retry after a failed send. It returns false when the result is
// final; the reason for not retrying a failure is recorded and counted.
func (c *call) resend(a attemptResult) (send, bool) {
	if !a.isFailure() {
		return send{}, false
	}
	if !c.mayRetry(a) {
		return send{}, false
	}
	if a.isConnectionSilent {
		c.removeTried(a.upstream)
	}
	sent, problem := c.startNextSend(a.retryReserved)
	if problem != nil {
		c.recordNotResent(string(problem.Reason))
		return send{}, false
	}
	closeRest(a.rest)
	c.gateway.options.Counters.CountRetry(a.failure().Reason)
	return sent, true
}

// removeTried makes an upstream eligible again: the connection to it was at
// fault, and not the upstream.
func (c *call) removeTried(upstream string) {
	c.tried = slices.DeleteFunc(c.tried, func(name string) bool { return name == upstream })
}

// isFailure reports whether the send failed or was answered with a server error.
func (a attemptResult) isFailure() bool {
	return a.reason != "" || isServerError(a.status)
}

// isServerError reports whether a status is a server error that another upstream
// may not return. 501 Not Implemented is not retried.
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

// attemptNumber returns the value of the attempt header for the next send.
func (c *call) attemptNumber() int {
	return c.policyCall().AttemptNumber(c.attempts)
}

// mayRetry reports whether a failed send may be retried. If not, the reason is
// recorded and counted.
func (c *call) mayRetry(a attemptResult) bool {
	verdict := retry.Decide(c.policyCall(), a.failure())
	if verdict == retry.Retry && !c.isActive() {
		verdict = retry.NoRetryTooLate
	}
	if verdict == retry.Retry {
		return true
	}
	c.recordNotResent(string(verdict))
	return false
}

// recordNotResent records and counts why a failed send is not retried.
func (c *call) recordNotResent(reason string) {
	c.sendLog.recordNotResent(reason)
	c.gateway.options.Counters.Add(telemetry.GroupRetries, notResentPrefix+reason, 1)
}

// isActive reports whether the caller is still connected and the deadline has not
// passed, neither by the timer nor by the wall clock.
func (c *call) isActive() bool {
	return c.ctx.Err() == nil && !c.isPastDeadline()
}

// isSendLimitReached reports whether the call was sent to as many upstreams as
// its route allows.
func (c *call) isSendLimitReached() bool {
	limit := c.route.rule.maxSends
	return limit > 0 && c.attempts >= limit
}

// startSend chooses an upstream and starts the next send.
func (c *call) startSend() (send, *outcome.Problem) {
	return c.startNextSend(false)
}

// startNextSend chooses an upstream and starts the next send. retryReserved
// means that a retry was already taken from the budget for it.
func (c *call) startNextSend(retryReserved bool) (send, *outcome.Problem) {
	kind := firstSend
	switch {
	case retryReserved:
		kind = reservedSend
	case c.attempts > 0:
		kind = extraSend
	}
	return c.startSendOfKind(kind)
}

// startSendOfKind chooses an upstream and starts the next send, which is of the
// given kind.
func (c *call) startSendOfKind(kind sendKind) (send, *outcome.Problem) {
	if c.isSendLimitReached() {
		p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.AttemptsSpent,
			"the call was sent to as many upstreams as its route allows").WithRetryAfter(retryAfter)
		return send{}, &p
	}
	if problem := c.stopProblem(); problem != nil {
		return send{}, problem
	}
	sent, problem := c.chooseSend(kind)
	if problem != nil {
		return send{}, problem
	}
	sent.traffic = c.route.rule.settings.Traffic
	c.attempts++
	c.state.beginSend()
	c.tried = append(c.tried, sent.choice.Name)
	c.gateway.options.Counters.Add(telemetry.GroupAttempts, string(sent.traffic), 1)
	return sent, nil
}

// chooseSend chooses an upstream and records the start of the send.
func (c *call) chooseSend(kind sendKind) (send, *outcome.Problem) {
	if c.route.isSite {
		return c.placeSend(kind)
	}
	sent, err := c.route.service.startSend(c.route.rule.settings.Traffic, c.identity, c.tried, kind)
	switch err {
	case sendOK:
		return sent, nil
	case sendErrHeld, sendErrBusy:
		return send{}, c.suspectProblem(err)
	case sendErrBudget:
		return send{}, c.noUpstreamProblem(outcome.RetryBudget)
	default:
		return send{}, c.noUpstreamProblem(outcome.NoUpstream)
	}
}

// suspectProblem returns the problem of a call of a team that is refused because upstreams have
// ended under its request.
func (c *call) suspectProblem(err sendError) *outcome.Problem {
	reason := outcome.SuspectBusy
	if err == sendErrHeld {
		reason = outcome.Quarantined
	}
	p := c.noUpstreamProblem(reason).WithRetryAfter(max(c.route.service.suspectRetryAfter(c.identity), retryAfter))
	return &p
}
