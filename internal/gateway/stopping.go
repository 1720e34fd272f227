package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/outcome"
)

// stopProblem returns the problem of a call that must not be sent, because the stop of this VM has ended
// it or may cut it off; nil if it may be sent.
func (c *call) stopProblem() *outcome.Problem {
	if c.isEndedByStop() {
		return unsentAtStop()
	}
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
	return unsentAtStop()
}

// endedAtStop returns the problem of a call that the stop of this VM has ended, with the outcome of its
// sends.
func endedAtStop(out outcome.Outcome) outcome.Problem {
	return outcome.New(http.StatusServiceUnavailable, out, outcome.Stopping,
		"this VM is being stopped, and the call had no whole answer").WithRetryAfter(retryAfter)
}

// unsentAtStop returns the problem of a call that was not sent, because this VM is being stopped.
func unsentAtStop() *outcome.Problem {
	p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.Stopping,
		"this VM is being stopped").WithRetryAfter(retryAfter)
	return &p
}

// isEndedByStop reports whether the stop of this VM has ended the call, which is still connected.
func (c *call) isEndedByStop() bool {
	return drain.IsEnded(c.r.Context())
}

// beginAnswer reports whether the answer may begin. One that is in memory always may; one that is passed
// on while its upstream sends it may not once the stop of this VM has ended the call, and so its send.
func (c *call) beginAnswer(a attemptResult) bool {
	return drain.BeginAnswer(c.r.Context()) || a.rest == nil
}

// untilStopEnds returns a context for work of a call that goes on after its caller has left: it ends only
// when the stop of this VM ends its calls.
func (c *call) untilStopEnds() (context.Context, context.CancelFunc) {
	window, isStopping := c.gateway.options.StopWindow()
	if !isStopping {
		return context.WithCancel(context.Background())
	}
	return context.WithDeadline(context.Background(), window.End)
}

// endReason returns why the call has ended before its answer and its deadline: the stop of this VM has
// ended it or, later, cut its connection off, or its caller has closed that.
func (c *call) endReason() outcome.Reason {
	if c.isEndedByStop() {
		return outcome.Stopping
	}
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
