// Package callheader defines the HTTP headers that figfront exchanges with
// callers and upstreams, and parses and formats their values.
package callheader

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names of the headers.
const (
	// Deadline holds the time after which the caller no longer needs a response,
	// in milliseconds since the Unix epoch.
	Deadline = "Figfront-Deadline"
	// Timeout holds the remaining time until the deadline, in milliseconds. It
	// takes precedence over Deadline, because it does not depend on synchronized
	// clocks.
	Timeout = "Figfront-Timeout"
	// Upstream holds the name of the upstream that a call is for. Another
	// upstream that now has the same address must not run the call. In a response to a probe it
	// names the upstream that responds.
	Upstream = "Figfront-Upstream"
	// Attempt holds the attempt number; a value above 1 means that this or an
	// earlier hop sent the call again.
	Attempt = "Figfront-Attempt"
	// Load holds the load report of an upstream; see Report.
	Load = "Figfront-Load"
	// RateLimit holds the rate of calls that an upstream accepts; see Rate.
	RateLimit = "Figfront-Rate-Limit"
	// Shed marks a response to a call that the upstream refused and did not run.
	// Its value is 1; see StatementOf.
	Shed = "Figfront-Shed"
	// Draining marks a response of an upstream that is leaving. Its value is 1.
	Draining = "Figfront-Draining"
	// IdempotencyKey identifies a call that must run at most once, even if the
	// caller sends it again.
	IdempotencyKey = "Idempotency-Key"
	// UploadID identifies an upload; it is the same for each delivery attempt.
	UploadID = "Figfront-Upload-Id"
)

// Report is the load that an upstream reports about itself.
type Report struct {
	// Running is the number of calls that the upstream is executing.
	Running int
	// Queued is the number of calls that wait at the upstream.
	Queued int
	// Slowness is the factor by which work currently takes longer than usual; 0
	// means that the upstream does not report it.
	Slowness float64
}

// maxFieldValue is the largest number that is accepted in a load report or as an
// attempt number.
const maxFieldValue = 1 << 20

// String formats the report as the value of the Load header.
func (r Report) String() string {
	text := "running=" + strconv.Itoa(r.Running) + ",queued=" + strconv.Itoa(r.Queued)
	if r.Slowness > 0 {
		text += ",slowness=" + strconv.FormatFloat(r.Slowness, 'f', -1, 64)
	}
	return text
}

// ParseReport parses the value of a Load header. It returns false if the value
// is empty or malformed, which callers treat as no report.
func ParseReport(value string) (Report, bool) {
	running, rest, ok := strings.Cut(value, ",")
	if !ok {
		return Report{}, false
	}
	queued, slowness, hasSlowness := strings.Cut(rest, ",")
	r, okRunning := parseCount(running, "running=")
	q, okQueued := parseCount(queued, "queued=")
	if !okRunning || !okQueued {
		return Report{}, false
	}
	report := Report{Running: r, Queued: q}
	if hasSlowness {
		report.Slowness, ok = parseSlowness(slowness)
	}
	return report, ok
}

// parseSlowness parses the field "slowness=N" of a load report.
func parseSlowness(field string) (float64, bool) {
	text, ok := strings.CutPrefix(field, "slowness=")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	isValid := err == nil && number >= 0 && number <= maxFieldValue
	return number, isValid
}

// parseCount parses a field of a load report that consists of prefix and a count.
func parseCount(field, prefix string) (int, bool) {
	text, ok := strings.CutPrefix(field, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number > maxFieldValue {
		return 0, false
	}
	return number, true
}

// SetDeadline sets the Deadline header.
func SetDeadline(h http.Header, deadline time.Time) {
	h.Set(Deadline, strconv.FormatInt(deadline.UnixMilli(), 10))
}

// ParseDeadline parses the Deadline header. It returns false if the header is
// absent or malformed.
func ParseDeadline(h http.Header) (time.Time, bool) {
	ms, err := strconv.ParseInt(h.Get(Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// SetTimeout sets the Timeout header to the remaining time, rounded down to
// milliseconds but at least 1.
func SetTimeout(h http.Header, left time.Duration) {
	h.Set(Timeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

// ParseTimeout parses the Timeout header. It returns false if the header is
// absent, malformed or above 24 hours.
func ParseTimeout(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(Timeout), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeoutMs {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// maxTimeoutMs is the largest timeout that is accepted: 24 hours in
// milliseconds.
const maxTimeoutMs = 24 * 60 * 60 * 1000

// ParseAttempt parses the Attempt header. It returns 1 if the header is absent
// or malformed.
func ParseAttempt(h http.Header) int {
	number, err := strconv.Atoi(h.Get(Attempt))
	if err != nil || number < 1 || number > maxFieldValue {
		return 1
	}
	return number
}

// IsDraining reports whether the response headers say that the upstream is
// leaving.
func IsDraining(h http.Header) bool {
	return h.Get(Draining) == "1"
}
