package gateway

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// confinePanic, deferred, answers a call whose handling panics. It is told as not run only if no
// send of it has begun. The connection of one whose answer has begun is closed.
func (c *call) confinePanic() {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(value)
	}
	confine.Record(c.gateway.options.Log, c.gateway.options.Counters, confine.Call, value, telemetry.FieldRequestID, c.id)
	if c.isAnswered {
		panic(http.ErrAbortHandler)
	}
	c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.InternalError,
		"an internal error ended the handling of this call").WithRetryAfter(retryAfter))
}

// confineSend runs a send. If that panics, the send counts as one that may have run.
func (c *call) confineSend(sent send, run func() attemptResult) attemptResult {
	var result attemptResult
	isDone := confine.Run(c.gateway.options.Log, c.gateway.options.Counters, confine.Send, func() { result = run() })
	if isDone {
		return result
	}
	c.route.service.abandonSend(sent)
	c.state.endSend(outcome.Unknown)
	return attemptResult{upstream: sent.choice.Name, outcome: outcome.Unknown, reason: outcome.InternalError}
}
