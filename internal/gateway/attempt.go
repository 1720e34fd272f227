package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

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
}

// attempt sends the call once and reads the answer.
func (c *call) attempt(sent send) attemptResult {
	if c.isPastDeadline() {
		c.route.service.cancelSend(sent)
		return attemptResult{upstream: sent.choice.Name, outcome: outcome.NotRun, reason: outcome.DeadlinePassed}
	}
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	ctx := httptrace.WithClientTrace(c.ctx, trace)
	request := c.upstreamRequest(sent)
	response, err := sent.transport.http.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return c.sendFailed(sent, err, wrote.Load())
	}
	return c.readAnswer(sent, response)
}

func (c *call) upstreamRequest(sent send) *http.Request {
	request := &http.Request{
		Method:     c.r.Method,
		URL:        &url.URL{Scheme: "http", Host: sent.choice.Address, RawQuery: c.r.URL.RawQuery},
		Host:       c.r.Host,
		Header:     upstreamHeader(c.r, c.id, c.mark(), c.deadline),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	request.URL.Path, request.URL.RawPath = splitPath(c.route.path)
	isLookup := c.route.rule.settings.Traffic == dynamic.Lookup
	if len(c.body) > 0 || !isLookup {
		request.Body = opaqueBody{bytes.NewReader(c.body)}
		request.ContentLength = int64(len(c.body))
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

// sendFailed turns a failed send into a result. A call whose bytes may have
// reached the upstream has an unknown outcome.
func (c *call) sendFailed(sent send, err error, hadConn bool) attemptResult {
	result := attemptResult{upstream: sent.choice.Name, outcome: outcome.NotRun, reason: outcome.ConnectFailed}
	if hadConn {
		result.outcome = outcome.Unknown
		result.reason = outcome.UpstreamFailed
	}
	if c.r.Context().Err() != nil {
		result.reason = outcome.CallerGone
		c.route.service.cancelSend(sent)
		return result
	}
	if c.ctx.Err() != nil {
		result.reason = outcome.DeadlinePassed
	}
	_ = err
	c.route.service.endSend(sent, loadbalancer.Result{Failed: true})
	return result
}

// readAnswer reads an upstream's answer.
func (c *call) readAnswer(sent send, response *http.Response) attemptResult {
	result := attemptResult{upstream: sent.choice.Name, status: response.StatusCode, header: response.Header}
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswer))
	result.body = body
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

// finish gives the result of the last send to the caller.
func (c *call) finish(a attemptResult) {
	if a.reason != "" {
		c.refuse(a.problem())
		return
	}
	c.log(outcome.Ran, "", a.upstream)
	c.pass(a)
}

// problem returns what the caller is told about a send without an answer.
func (a attemptResult) problem() outcome.Problem {
	switch a.reason {
	case outcome.UpstreamTruncated:
		return outcome.New(http.StatusBadGateway, a.outcome, a.reason, "the upstream's answer ended early")
	case outcome.DeadlinePassed:
		return outcome.New(http.StatusGatewayTimeout, a.outcome, a.reason, "no answer came before the deadline").
			WithRetryAfter(retryAfter)
	case outcome.UpstreamShed, outcome.ConnectFailed:
		return outcome.New(http.StatusServiceUnavailable, a.outcome, a.reason, "the upstream did not take the call").
			WithRetryAfter(retryAfter)
	default:
		return outcome.New(http.StatusBadGateway, a.outcome, a.reason, "the upstream did not answer").
			WithRetryAfter(retryAfter)
	}
}

// pass sends an upstream's answer to the caller. It cuts the caller's
// connection when the answer ends early, so that it never looks whole.
func (c *call) pass(a attemptResult) {
	callerHeader(c.w.Header(), a.header)
	c.w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	c.w.Header().Set(outcome.HeaderRequestID, c.id)
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		closeRest(a.rest)
		return
	}
	if a.rest == nil {
		return
	}
	defer closeRest(a.rest)
	if _, err := io.Copy(c.w, a.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func closeRest(rest io.ReadCloser) {
	if rest != nil {
		_ = rest.Close()
	}
}
