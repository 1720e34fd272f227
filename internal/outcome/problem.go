package outcome

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem (RFC 9457).
const ContentType = "application/problem+json"

// Headers that carry the outcome beside the body.
const (
	HeaderOutcome   = "Figfront-Outcome"
	HeaderReason    = "Figfront-Reason"
	HeaderRequestID = "Figfront-Request-Id"
	// HeaderRetryAfterMs is Retry-After in milliseconds.
	HeaderRetryAfterMs = "Figfront-Retry-After-Ms"
)

// Problem is the answer to a call that figfront does not pass on.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    Reason  `json:"reason"`
	RequestID string  `json:"request_id"`
	// RetryAfter tells the caller when to come back; 0 leaves it out.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem. Its type names the reason.
func New(status int, out Outcome, reason Reason, detail string) Problem {
	return Problem{
		Type:    "urn:figfront:problem:" + string(reason),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: out,
		Reason:  reason,
	}
}

// WithRetryAfter returns the problem with the time after which to come back.
func (p Problem) WithRetryAfter(d time.Duration) Problem {
	p.RetryAfter = d
	return p
}

// Write sends the problem as the answer to a call.
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
