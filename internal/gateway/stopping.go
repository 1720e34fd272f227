package gateway

import (
	"net/http"
	"time"

	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/outcome"
)

// stopProblem returns the problem of a call that must not be sent, because this VM is being
// stopped and may cut it off; nil if it may be sent.
func (c *call) stopProblem() *outcome.Problem {
	window, isStopping := c.gateway.options.StopWindow()
	if !isStopping {
		return nil
	}
	maySend := window.MaySend(time.Now(), drain.Call{
		Arrived: c.arrived, Deadline: c.deadline, Objective: c.route.rule.objective,
	})
	if maySend {
		return nil
	}
	p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.Stopping,
		"this VM is being stopped").WithRetryAfter(retryAfter)
	return &p
}

// endReason returns why the connection of the caller has ended before the answer: this VM has cut it
// off at the end of a stop, or its caller has closed it.
func (c *call) endReason() outcome.Reason {
	window, isStopping := c.gateway.options.StopWindow()
	if isStopping && !time.Now().Before(window.Cut) {
		return outcome.CutAtStop
	}
	return outcome.CallerGone
}

// refuseIfStopping refuses the call if this VM is being stopped and may cut it off. It reports
// whether it did.
func (c *call) refuseIfStopping() bool {
	problem := c.stopProblem()
	if problem == nil {
		return false
	}
	c.refuse(*problem)
	return true
}
