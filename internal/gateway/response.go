package gateway

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// writeStallTimeout is how long a caller may accept no byte of a response before
// its connection is closed.
const writeStallTimeout = 30 * time.Second

// respond answers the caller with the result of the last send.
func (c *call) respond(a attemptResult) {
	if a.reason == "" && !c.beginAnswer(a) {
		closeRest(a.rest)
		a.reason = outcome.Stopping
	}
	if a.reason != "" {
		c.refuse(a.problem())
		return
	}
	c.logCall(c.conclude(outcome.Ran), "", a.upstream)
	c.writeResponse(a)
}

// problem returns the problem to report for a send without a complete response.
func (a attemptResult) problem() outcome.Problem {
	switch a.reason {
	case outcome.UpstreamTruncated:
		return outcome.New(http.StatusBadGateway, a.outcome, a.reason, "the upstream's answer ended early").
			WithRetryAfter(retryAfter)
	case outcome.DeadlinePassed:
		return outcome.New(http.StatusGatewayTimeout, a.outcome, a.reason, "no answer came before the deadline").
			WithRetryAfter(retryAfter)
	case outcome.Stopping:
		return endedAtStop(a.outcome)
	case outcome.UpstreamShed, outcome.ConnectFailed:
		return outcome.New(http.StatusServiceUnavailable, a.outcome, a.reason, "the upstream did not take the call").
			WithRetryAfter(retryAfter)
	default:
		return outcome.New(http.StatusBadGateway, a.outcome, a.reason, "the upstream did not answer").
			WithRetryAfter(retryAfter)
	}
}

// writeResponse sends an upstream's response to the caller. If the response ends
// early it aborts the caller's connection, so that a truncated response never
// looks complete.
func (c *call) writeResponse(a attemptResult) {
	c.interim.end()
	copyResponseHeader(c.w.Header(), a.header)
	c.w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	c.w.Header().Set(outcome.HeaderRequestID, c.id)
	c.closeIfBodyUnread()
	if a.rest == nil {
		setTrailer(c.w.Header(), a.response)
	}
	writer := newStallWriter(c.w)
	c.isAnswered = true
	c.w.WriteHeader(a.status)
	defer closeRest(a.rest)
	if _, err := writer.Write(a.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if a.rest != nil {
		c.copyRest(writer, a)
	}
}

// copyRest streams what follows the buffered part of a large response, paced with all others.
func (c *call) copyRest(writer io.Writer, a attemptResult) {
	rest := &pacedReader{ctx: c.ctx, pacer: c.gateway.pacer, rest: a.rest}
	if _, err := io.Copy(writer, rest); err != nil {
		c.gateway.options.Counters.Add(groupAnswers, "cut", 1)
		c.gateway.options.Log.Warn("upstream response truncated", telemetry.FieldRequestID, c.id,
			telemetry.FieldUpstream, a.upstream, telemetry.FieldError, err)
		panic(http.ErrAbortHandler)
	}
	setTrailer(c.w.Header(), a.response)
}

// setTrailer forwards the trailer of a response. net/http sends it if it is set
// before the header is written, or while the body is sent in chunks.
func setTrailer(dst http.Header, response *http.Response) {
	if response == nil {
		return
	}
	trailer := response.Trailer.Clone()
	removeHopByHopHeaders(trailer)
	for _, name := range reservedHeaders {
		trailer.Del(name)
	}
	for name, values := range trailer {
		dst[http.TrailerPrefix+name] = values
	}
}

func closeRest(rest io.ReadCloser) {
	if rest != nil {
		_ = rest.Close()
	}
}

// stallWriter writes to a caller and fails when the caller accepts no byte for
// writeStallTimeout.
type stallWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

// newStallWriter returns a stallWriter and sets its first deadline.
func newStallWriter(w http.ResponseWriter) stallWriter {
	s := stallWriter{w: w, controller: http.NewResponseController(w)}
	s.extendDeadline()
	return s
}

// extendDeadline restarts the stall timeout. Errors are ignored: a ResponseWriter
// without deadlines, as in tests, is written to without a timeout.
func (s stallWriter) extendDeadline() {
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeStallTimeout))
}

// Write writes p in chunks that have a deadline each.
func (s stallWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		s.extendDeadline()
		n, err := s.w.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeChunkBytes is the number of bytes that one write deadline covers.
const writeChunkBytes = 64 << 10

// forwardInterim forwards an upstream's interim response to the caller, unless it names another call.
func (c *call) forwardInterim(status int, header http.Header) {
	if id := c.statedID(header); id != "" && id != c.id {
		c.gateway.options.Counters.Add(groupAnswers, "interim_foreign_id", 1)
		return
	}
	c.interim.forward(c.w, status, header)
}

// interimForwarder forwards interim responses (1xx) to a caller until the final
// response begins. It is safe for concurrent use.
type interimForwarder struct {
	mu    sync.Mutex
	ended bool
}

// end stops the forwarding, so that no interim response follows the final one.
func (i *interimForwarder) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}

// forward sends an interim response to the caller. 100 concerns one connection
// only and 101 would change the protocol; neither is forwarded.
func (i *interimForwarder) forward(w http.ResponseWriter, status int, header http.Header) {
	if status == http.StatusContinue || status == http.StatusSwitchingProtocols {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return
	}
	final := w.Header().Clone()
	clear(w.Header())
	copyResponseHeader(w.Header(), header)
	w.WriteHeader(status)
	clear(w.Header())
	maps.Copy(w.Header(), final)
}
