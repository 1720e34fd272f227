package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/outcome"
)

// silenceTimeoutDivisor sets the silence timeout of a lookup's connection: the
// time left until the deadline divided by this number.
const silenceTimeoutDivisor = 3

// groupAnswers is the group of the counters of responses that were rejected.
const groupAnswers = "answers"

// attemptResult is the result of one send.
type attemptResult struct {
	upstream string
	outcome  outcome.Outcome
	// reason says why the send failed; it is empty when a response was received.
	reason outcome.Reason
	// status, header and body are the upstream's response.
	status int
	header http.Header
	body   []byte
	// rest is the unread remainder of a response above
	// maxBufferedResponseBytes; nil when body is complete.
	rest io.ReadCloser
	// response gives access to the trailer once the body has been read.
	response *http.Response
	// bodySent means that the whole request body was sent before the response
	// arrived.
	bodySent bool
	// isConnectionSilent means that the connection received nothing; this is not
	// held against the upstream.
	isConnectionSilent bool
	// retryReserved means that a retry was already taken from the budget.
	retryReserved bool
	// transfer describes what was written and received, for the log.
	transfer transferRecord
}

// attempt sends a call whose body is in memory once and reads the response. It
// cancels the send if the deadline has passed.
func (c *call) attempt(sent send) attemptResult {
	return c.confineSend(sent, func() attemptResult { return c.attemptOnce(sent) })
}

func (c *call) attemptOnce(sent send) attemptResult {
	if c.isPastDeadline() {
		c.route.service.cancelSend(sent)
		c.state.endSend(outcome.NotRun)
		return attemptResult{upstream: sent.choice.Name, outcome: outcome.NotRun, reason: outcome.DeadlinePassed}
	}
	return c.roundTrip(c.ctx, sent, c.memoryBody())
}

// roundTrip sends the call once with the given body, reads the response and
// records the send for the log line. ctx bounds the send; it is the call's own
// context or derived from it.
func (c *call) roundTrip(ctx context.Context, sent send, body requestBody) attemptResult {
	index := c.sendLog.begin(sent)
	result := c.doRoundTrip(ctx, sent, body)
	c.sendLog.end(index, time.Since(sent.started), result)
	c.state.endSend(result.outcome)
	return result
}

// doRoundTrip sends the call once. It takes another connection as long as the one that it got is
// closed before a byte of the send was written: it carried the call's ID before, its last response
// could be another call's, or it closed while it was idle.
func (c *call) doRoundTrip(ctx context.Context, sent send, body requestBody) attemptResult {
	for skipped := 0; ; skipped++ {
		result, next := c.tryRoundTrip(ctx, sent, body)
		if next == nil {
			result.transfer.SkippedConns = skipped
			return result
		}
		body = *next
	}
}

// tryRoundTrip sends the call on one connection. If nothing was written because the connection was
// closed before, it returns the body for another one instead of a result.
func (c *call) tryRoundTrip(callCtx context.Context, sent send, body requestBody) (attemptResult, *requestBody) {
	ctx, cancel := context.WithCancelCause(callCtx)
	trace := &sendTrace{
		keys:       c.keys(),
		maxSilence: c.silenceTimeout(), tryReserve: c.route.service.reserveRetry, cancel: cancel, interim: c.forwardInterim,
	}
	request := c.upstreamRequest(sent, body)
	response, err := sent.transport.roundTripper.RoundTrip(
		request.WithContext(httptrace.WithClientTrace(ctx, trace.clientTrace())))
	trace.stopSilenceTimer()
	var statement callheader.Statement
	if err == nil {
		c.route.service.recordAnswer(trace)
		statement, err = c.checkResponse(trace, response)
	}
	if err != nil {
		defer cancel(nil)
		c.recordRejection(trace, err)
		if next, ok := c.restartUnsent(trace, body); ok {
			return attemptResult{}, &next
		}
		return c.handleSendFailure(ctx, sent, trace, body, err), nil
	}
	bodySent := body.isInMemory() || body.isComplete()
	result := c.readResponse(sent, trace, response, statement)
	result.bodySent = bodySent
	end := result.transfer.UpstreamEnd
	result.transfer = c.describeResponse(trace, response)
	result.transfer.UpstreamEnd = end
	return result, nil
}

// restartUnsent gives up the connection of a send if nothing was written to it, and returns the body for
// another one; false if the send may not take one.
func (c *call) restartUnsent(trace *sendTrace, body requestBody) (requestBody, bool) {
	if !c.isActive() || !trace.abandonUnsent() {
		return requestBody{}, false
	}
	return body.restart()
}

// silenceTimeout returns how long the connection of a send may receive nothing;
// 0 means until the deadline. Only lookups of teams have a silence timeout. The
// upstreams of a site are probed right before each send and late lookups are
// hedged, so a silent connection does no harm there, while a timeout would also
// cancel sends to slow upstreams.
func (c *call) silenceTimeout() time.Duration {
	if c.route.rule.settings.Traffic != dynamic.Lookup || c.route.isSite {
		return 0
	}
	return max(time.Until(c.deadline)/silenceTimeoutDivisor, time.Millisecond)
}
