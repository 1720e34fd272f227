package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/loadbalancer"
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

// requestBody is the request body of one send.
type requestBody struct {
	// reader is nil when there is no body.
	reader io.ReadCloser
	// length is in bytes; -1 means unknown.
	length  int64
	trailer http.Header
	// isComplete reports whether the body was read to its end, and isUnread whether nothing of it was
	// read; nil means that the body is in memory.
	isComplete func() bool
	isUnread   func() bool
	// isTruncated reports whether the body ended early on its way from the
	// caller; nil means that the body is in memory.
	isTruncated func() bool
}

// isInMemory reports whether the body can be sent again.
func (b requestBody) isInMemory() bool {
	return b.isComplete == nil
}

// canBeginAgain reports whether the body can be sent from its first byte.
func (b requestBody) canBeginAgain() bool {
	return b.isInMemory() || b.isUnread()
}

// memoryBody returns a request body that reads from c.body.
func (c *call) memoryBody() requestBody {
	return requestBody{reader: nonRewindableBody{bytes.NewReader(c.body)}, length: int64(len(c.body))}
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
// closed before a byte of the send was written: to the call's ID, or because of the send before it.
func (c *call) doRoundTrip(ctx context.Context, sent send, body requestBody) attemptResult {
	for skipped := 0; ; skipped++ {
		result, isUnsent := c.tryRoundTrip(ctx, sent, body)
		if !isUnsent {
			result.transfer.SkippedConns = skipped
			return result
		}
		if body.isInMemory() {
			body = c.memoryBody()
		}
	}
}

// tryRoundTrip sends the call on one connection. It returns true, and no result, if nothing was
// written because the connection was discarded and the send may take another one.
func (c *call) tryRoundTrip(callCtx context.Context, sent send, body requestBody) (attemptResult, bool) {
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
	if err != nil && trace.isUnsentOnDiscardedConn() && body.canBeginAgain() && c.isActive() {
		cancel(nil)
		return attemptResult{}, true
	}
	if err != nil {
		defer cancel(nil)
		c.recordRejection(trace, err)
		return c.handleSendFailure(ctx, sent, trace, body, err), false
	}
	bodySent := body.isInMemory() || body.isComplete()
	result := c.readResponse(sent, trace, response, statement)
	result.bodySent = bodySent
	end := result.transfer.UpstreamEnd
	result.transfer = c.describeResponse(trace, response)
	result.transfer.UpstreamEnd = end
	return result, false
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

func (c *call) upstreamRequest(sent send, body requestBody) *http.Request {
	request := &http.Request{
		Method: c.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: sent.choice.Address, RawQuery: c.r.URL.RawQuery, ForceQuery: c.r.URL.ForceQuery,
		},
		Host:       c.r.Host,
		Header:     upstreamHeader(c.r, c.id, c.attemptNumber(), c.deadline),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	request.URL.Path, request.URL.RawPath = splitPath(c.route.path)
	if body.reader != nil {
		request.Body = body.reader
		request.ContentLength = body.length
		request.Trailer = body.trailer
	}
	request.Header.Set(callheader.Upstream, sent.choice.Name)
	if c.uploadID != "" {
		request.Header.Set(callheader.UploadID, c.uploadID)
		// Lets an upstream that sheds the upload refuse it before the body is sent.
		request.Header.Set("Expect", "100-continue")
	}
	return request
}

// splitPath returns the decoded path and its escaped form, as in url.URL.
func splitPath(escaped string) (path, rawPath string) {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped, ""
	}
	return decoded, escaped
}

// handleSendFailure returns the result of a send without an accepted response and
// records the failure. A silent connection, the loss of this VM's links, a truncated request body, or a send that was
// cancelled by its caller or by the response to another send is not held against the
// upstream.
func (c *call) handleSendFailure(
	ctx context.Context, sent send, trace *sendTrace, body requestBody, err error,
) attemptResult {
	result := attemptResult{upstream: sent.choice.Name, transfer: c.describeError(trace, err)}
	if isConnBroken(ctx, trace, err) {
		result.transfer.UpstreamEnd = c.route.service.checkEnd(sent.transport, trace.via())
	}
	result.outcome, result.reason = failureOutcome(trace, err)
	isSilenceTimeout := errors.Is(context.Cause(ctx), errConnSilent)
	isLate := errors.Is(ctx.Err(), context.DeadlineExceeded)
	isSilent := trace.isSilent() && (isSilenceTimeout || isLate)
	result.isConnectionSilent = isSilent
	result.retryReserved = trace.isRetryReserved()
	if isSilent {
		c.gateway.options.Counters.Add(groupAnswers, "connection_silent", 1)
		sent.transport.base.CloseIdleConnections()
	}
	isCancelled := ctx.Err() != nil && !isSilenceTimeout
	switch {
	case c.r.Context().Err() != nil:
		result.reason = outcome.CallerGone
	case isCancelled:
		result.reason = outcome.DeadlinePassed
	}
	isAborted := isCancelled && !isLate
	isTruncated := body.isTruncated != nil && body.isTruncated()
	switch {
	case result.transfer.UpstreamEnd == upstreamEnded:
	case isSilent || c.route.service.isPathAtFault(trace, err):
		c.route.service.abandonSend(sent)
		return result
	case isAborted || isTruncated:
		c.route.service.cancelSend(sent)
		return result
	}
	c.route.service.endSend(sent, loadbalancer.Result{Failed: true}, result.transfer.UpstreamEnd.runResult())
	return result
}
