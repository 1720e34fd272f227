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

// maxBufferedAnswer is the largest answer that is read whole before the caller
// gets its first byte, in bytes. A larger one is passed on as it comes, and the
// caller's connection is cut when it ends early.
const maxBufferedAnswer = 1 << 20

// silenceShare is the part of a lookup's remaining time that a connection may
// carry nothing before the lookup goes elsewhere, as a divisor.
const silenceShare = 3

// groupAnswers holds the counters of answers that were not taken.
const groupAnswers = "answers"

// attemptResult is how one send ended.
type attemptResult struct {
	upstream string
	outcome  outcome.Outcome
	// reason is empty when an answer came.
	reason outcome.Reason
	// status, header and body are the upstream's answer.
	status int
	header http.Header
	body   []byte
	// rest is what follows body in a large answer; nil when body is whole.
	rest io.ReadCloser
	// response holds the answer's trailer once its body has been read.
	response *http.Response
	// sentWhole means that the request's body was sent to its end before the
	// answer came.
	sentWhole bool
	// connSilent means that the connection, not the upstream, is suspected.
	connSilent bool
	// resendPaid means that the budget has paid for another send.
	resendPaid bool
}

// requestBody is the body of one send.
type requestBody struct {
	// reader is nil when there is no body.
	reader io.ReadCloser
	// length is in bytes; -1 means that it is not known.
	length  int64
	trailer http.Header
	// isWhole tells whether the body was read to its end; nil means that it
	// is in memory.
	isWhole func() bool
	// isBroken tells whether the body ended early on its way from the caller;
	// nil means that it is in memory.
	isBroken func() bool
}

// memoryBody returns the request body that was read whole.
func (c *call) memoryBody() requestBody {
	return requestBody{reader: opaqueBody{bytes.NewReader(c.body)}, length: int64(len(c.body))}
}

// attempt sends the call once and reads the answer.
func (c *call) attempt(sent send) attemptResult {
	if c.isPastDeadline() {
		c.route.service.cancelSend(sent)
		return attemptResult{upstream: sent.choice.Name, outcome: outcome.NotRun, reason: outcome.DeadlinePassed}
	}
	return c.exchange(c.ctx, sent, c.memoryBody())
}

// exchange sends the call once with body and reads the answer. ctx ends the
// send; it is the call's own context or one below it.
func (c *call) exchange(ctx context.Context, sent send, body requestBody) attemptResult {
	place := c.trail.begin(sent)
	result := c.exchangeOnce(ctx, sent, body)
	c.trail.end(place, time.Since(sent.started), result)
	if result.outcome != outcome.NotRun {
		c.state.fire(eventMayHaveRun)
	}
	return result
}

func (c *call) exchangeOnce(ctx context.Context, sent send, body requestBody) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &sendTrace{
		silence: c.silenceLimit(), payResend: c.route.service.payExtra, cancel: cancel, interim: c.passInterim,
	}
	request := c.upstreamRequest(sent, body)
	response, err := sent.transport.calls.RoundTrip(
		request.WithContext(httptrace.WithClientTrace(ctx, trace.client())))
	trace.stop()
	if err != nil {
		defer cancel(nil)
		return c.sendFailed(ctx, sent, trace, body)
	}
	sentWhole := body.isWhole == nil || body.isWhole()
	if c.isForeign(trace, response) {
		defer cancel(nil)
		trace.closeConn()
		_ = response.Body.Close()
		return c.sendFailed(ctx, sent, trace, body)
	}
	result := c.readAnswer(sent, response)
	result.sentWhole = sentWhole
	return result
}

// silenceLimit returns how long a send's connection may carry nothing; 0 means
// until the deadline. At a site, upstreams are asked right before each send and
// late lookups are hedged, so that a silent connection does no harm and a slow
// upstream is not taken for one.
func (c *call) silenceLimit() time.Duration {
	if c.route.rule.settings.Traffic != dynamic.Lookup || c.route.isSite {
		return 0
	}
	return max(time.Until(c.deadline)/silenceShare, time.Millisecond)
}

// isForeign tells whether an answer belongs to another call: it was there
// before this call was sent, or names another call.
func (c *call) isForeign(trace *sendTrace, response *http.Response) bool {
	id := response.Header.Get(outcome.HeaderRequestID)
	if !trace.isStale() && (id == "" || id == c.id) {
		return false
	}
	c.gateway.options.Counters.Add(groupAnswers, "foreign", 1)
	return true
}

func (c *call) upstreamRequest(sent send, body requestBody) *http.Request {
	request := &http.Request{
		Method: c.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: sent.choice.Address, RawQuery: c.r.URL.RawQuery, ForceQuery: c.r.URL.ForceQuery,
		},
		Host:       c.r.Host,
		Header:     upstreamHeader(c.r, c.id, c.mark(), c.deadline),
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
		// An upstream that sheds the upload then does so before its body.
		request.Header.Set("Expect", "100-continue")
	}
	return request
}

// splitPath returns the decoded path and its escaped form.
func splitPath(escaped string) (path, rawPath string) {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped, ""
	}
	return decoded, escaped
}

// sendFailed turns a send without an answer into a result. A call of which a
// byte may have left this VM has an unknown outcome.
func (c *call) sendFailed(ctx context.Context, sent send, trace *sendTrace, body requestBody) attemptResult {
	result := attemptResult{upstream: sent.choice.Name, outcome: outcome.NotRun, reason: outcome.ConnectFailed}
	if trace.mayHaveSent() {
		result.outcome = outcome.Unknown
		result.reason = outcome.UpstreamFailed
	}
	isReplaced := errors.Is(context.Cause(ctx), errConnSilent)
	isLate := errors.Is(ctx.Err(), context.DeadlineExceeded)
	isSilent := trace.isSilent() && (isReplaced || isLate)
	result.connSilent = isSilent
	result.resendPaid = trace.isResendPaid()
	if isSilent {
		c.gateway.options.Counters.Add(groupAnswers, "connection_silent", 1)
		sent.transport.http.CloseIdleConnections()
	}
	isGivenUp := ctx.Err() != nil && !isReplaced
	switch {
	case c.r.Context().Err() != nil:
		result.reason = outcome.CallerGone
	case isGivenUp:
		result.reason = outcome.DeadlinePassed
	}
	isLeft := isGivenUp && !isLate
	isBroken := body.isBroken != nil && body.isBroken()
	if isSilent || isLeft || isBroken {
		c.route.service.cancelSend(sent)
		return result
	}
	c.route.service.endSend(sent, loadbalancer.Result{Failed: true})
	return result
}

// readAnswer reads an upstream's answer.
func (c *call) readAnswer(sent send, response *http.Response) attemptResult {
	result := attemptResult{
		upstream: sent.choice.Name,
		status:   response.StatusCode,
		header:   response.Header,
		response: response,
	}
	seen := loadbalancer.Result{
		Draining: callheader.IsDraining(response.Header),
		Failed:   response.StatusCode >= http.StatusInternalServerError,
	}
	seen.Report, seen.HasReport = callheader.ParseReport(response.Header.Get(callheader.Load))
	if callheader.IsShed(response.Header) {
		_ = response.Body.Close()
		seen.Shed = true
		c.route.service.endSend(sent, seen)
		result.outcome = outcome.NotRun
		result.reason = outcome.UpstreamShed
		return result
	}
	result.outcome = outcome.Ran
	body, err := readAnswerBody(response)
	result.body = body
	seen.Bytes = len(body)
	if err != nil {
		_ = response.Body.Close()
		seen.Failed = true
		result.reason = outcome.UpstreamTruncated
	} else if len(body) == maxBufferedAnswer {
		result.rest = response.Body
	} else {
		_ = response.Body.Close()
	}
	c.route.service.endSend(sent, seen)
	return result
}

// readAnswerBody reads the first maxBufferedAnswer bytes of an answer's body.
func readAnswerBody(response *http.Response) ([]byte, error) {
	var buffer bytes.Buffer
	if response.ContentLength > 0 {
		buffer.Grow(int(min(response.ContentLength, maxBufferedAnswer)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(io.LimitReader(response.Body, maxBufferedAnswer))
	return buffer.Bytes(), err
}
