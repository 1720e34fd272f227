package gateway

import (
	"net/http"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// sendUntilAnswered sends a call whose body is in memory, and sends it again
// elsewhere while that is safe and the budget allows. It returns the last
// attempt's result, or the problem that kept the call from being sent.
func (c *call) sendUntilAnswered() (attemptResult, *outcome.Problem) {
	for {
		sent, problem := c.startSend()
		if problem != nil {
			return attemptResult{}, problem
		}
		a := c.attempt(sent)
		if a.isFinal(c.route.rule.settings.Traffic) || !c.mayRetry(a) {
			return a, nil
		}
		if a.connSilent {
			c.tried = c.tried[:len(c.tried)-1]
		}
		c.gateway.options.Counters.Retry(a.reason)
	}
}

// startSend chooses the upstream of the next send.
func (c *call) startSend() (send, *outcome.Problem) {
	isExtra := c.attempts > 0
	sent, err := c.route.service.startSend(c.tried, isExtra)
	if err == sendOK {
		c.attempts++
		c.tried = append(c.tried, sent.choice.Name)
		c.gateway.options.Counters.Add(telemetry.GroupAttempts, string(c.route.rule.settings.Traffic), 1)
		return sent, nil
	}
	reason := outcome.NoUpstream
	if err == sendErrBudget {
		reason = outcome.RetryBudget
	}
	p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, reason,
		"no upstream can take this call now").WithRetryAfter(retryAfter)
	return send{}, &p
}

// mayRetry tells whether there is time for another send and whether it does no
// harm: a lookup whose outcome is unknown may run twice.
func (c *call) mayRetry(a attemptResult) bool {
	isSafe := a.outcome != outcome.Unknown || c.route.rule.settings.Traffic == dynamic.Lookup
	return c.ctx.Err() == nil && isSafe
}
