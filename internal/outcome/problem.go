package outcome

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of problem details (RFC 9457).
const ContentType = "application/problem+json"

// Response headers that repeat fields of the problem, so that callers need not
// parse the body.
const (
	HeaderOutcome   = "Figfront-Outcome"
	HeaderReason    = "Figfront-Reason"
	HeaderRequestID = "Figfront-Request-Id"
	// HeaderRetryAfterMs is the value of Retry-After in milliseconds.
	HeaderRetryAfterMs = "Figfront-Retry-After-Ms"
)

// Problem is the problem details object (RFC 9457) with which figfront itself
// responds to a call, in place of an upstream's response.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    Reason  `json:"reason"`
	RequestID string  `json:"request_id"`
	// RetryAfter is the time after which the caller may try again. It is sent
	// in the headers only; 0 omits them.
	RetryAfter time.Duration `json:"-"`
}

// New returns a Problem whose Type is a URN with the reason and whose Title is
// the standard text of the HTTP status. See WithOutcome for the status.
func New(status int, out Outcome, reason Reason, detail string) Problem {
	return Problem{
		Type:   "urn:figfront:problem:" + string(reason),
		Status: status,
		Detail: detail,
		Reason: reason,
	}.WithOutcome(out)
}

// WithOutcome returns a copy of p with another outcome. A status by which callers conclude
// that the call did not run is replaced by 502 unless the outcome is NotRun.
func (p Problem) WithOutcome(out Outcome) Problem {
	p.Outcome = out
	if out != NotRun && ImpliesNotRun(p.Status) {
		p.Status = http.StatusBadGateway
	}
	p.Title = http.StatusText(p.Status)
	return p
}

// ImpliesNotRun reports whether callers conclude from a status that the call did not run
// and may be sent again.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// WithRetryAfter returns a copy of p that asks the caller to wait for d before
// it tries again.
func (p Problem) WithRetryAfter(d time.Duration) Problem {
	p.RetryAfter = d
	return p
}

// Write sends p as the response to a call.
func (p Problem) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set(HeaderOutcome, string(p.Outcome))
	header.Set(HeaderReason, string(p.Reason))
	header.Set(HeaderRequestID, p.RequestID)
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
		header.Set(HeaderRetryAfterMs, strconv.FormatInt(p.RetryAfter.Milliseconds(), 10))
	}
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
