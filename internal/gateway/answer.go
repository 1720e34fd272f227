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

// writeStall is how long a caller may take no byte of an answer before its
// connection is closed.
const writeStall = 30 * time.Second

// finish gives the result of the last send to the caller.
func (c *call) finish(a attemptResult) {
	if a.reason != "" {
		c.refuse(a.problem())
		return
	}
	c.log(c.tell(outcome.Ran), "", a.upstream)
	c.pass(a)
}

// problem returns what the caller is told about a send without an answer.
func (a attemptResult) problem() outcome.Problem {
	switch a.reason {
	case outcome.UpstreamTruncated:
		return outcome.New(http.StatusBadGateway, a.outcome, a.reason, "the upstream's answer ended early").
			WithRetryAfter(retryAfter)
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
	c.informational.end()
	callerHeader(c.w.Header(), a.header)
	c.w.Header().Set(outcome.HeaderOutcome, string(outcome.Ran))
	c.w.Header().Set(outcome.HeaderRequestID, c.id)
	c.leaveBody()
	if a.rest == nil {
		setTrailer(c.w.Header(), a.response)
	}
	writer := newStallWriter(c.w)
	c.w.WriteHeader(a.status)
	defer closeRest(a.rest)
	if len(a.body) == 0 {
		return
	}
	if _, err := writer.Write(a.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if a.rest != nil {
		c.passRest(writer, a)
	}
}

// passRest passes on what follows the buffered part of a large answer.
func (c *call) passRest(writer io.Writer, a attemptResult) {
	if _, err := io.Copy(writer, a.rest); err != nil {
		c.gateway.options.Counters.Add(groupAnswers, "cut", 1)
		c.gateway.options.Log.Warn("answer cut", telemetry.FieldRequestID, c.id,
			telemetry.FieldUpstream, a.upstream, telemetry.FieldError, err)
		panic(http.ErrAbortHandler)
	}
	setTrailer(c.w.Header(), a.response)
}

// setTrailer passes on the trailer that followed an answer's body. net/http
// sends it when it is set before the header or while the body is sent in chunks.
func setTrailer(dst http.Header, response *http.Response) {
	if response == nil {
		return
	}
	trailer := response.Trailer.Clone()
	removeConnectionHeaders(trailer)
	for _, name := range ownHeaders {
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

// stallWriter writes to a caller and fails when the caller takes no byte for
// writeStall.
type stallWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
}

func newStallWriter(w http.ResponseWriter) stallWriter {
	s := stallWriter{w: w, controller: http.NewResponseController(w)}
	s.extend()
	return s
}

// extend gives the caller another writeStall. A writer without deadlines, as
// in a test, is written to without them.
func (s stallWriter) extend() {
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeStall))
}

// Write sends p in steps that each have their own deadline.
func (s stallWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		s.extend()
		n, err := s.w.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeStep is the number of bytes that one write deadline covers.
const writeStep = 64 << 10

// passInterim passes an upstream's interim answer on to the caller.
func (c *call) passInterim(status int, header http.Header) {
	c.informational.pass(c.w, status, header)
}

// informational passes interim answers (1xx) on to a caller until its final
// answer begins. It is safe for concurrent use.
type informational struct {
	mu    sync.Mutex
	ended bool
}

// end keeps interim answers from following a final one.
func (i *informational) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}

// pass sends an interim answer to the caller. 100 is between two hops and 101
// would change the protocol; both end here.
func (i *informational) pass(w http.ResponseWriter, status int, header http.Header) {
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
	callerHeader(w.Header(), header)
	w.WriteHeader(status)
	clear(w.Header())
	maps.Copy(w.Header(), final)
}
