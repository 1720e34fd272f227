// Package callheader names the HTTP headers that figfront exchanges with
// callers and upstreams and reads the values in them.
package callheader

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers towards callers and upstreams.
const (
	// Deadline carries the absolute time until which an answer is of use, in
	// milliseconds since the Unix epoch.
	Deadline = "Figfront-Deadline"
	// Timeout carries the time that is left until then, in milliseconds. It does
	// not depend on the clocks of two machines and goes before Deadline.
	Timeout = "Figfront-Timeout"
	// Upstream names the upstream that a call is for; another one at its address
	// does not run it.
	Upstream = "Figfront-Upstream"
	// Attempt carries the number of the send; a value above 1 marks a call
	// that has been sent again on its way.
	Attempt = "Figfront-Attempt"
	// Load carries an upstream's load report.
	Load = "Figfront-Load"
	// Shed marks an upstream's answer to a call that it did not run.
	Shed = "Figfront-Shed"
	// Draining marks an answer of an upstream that is leaving.
	Draining = "Figfront-Draining"
	// IdempotencyKey names a call that must run at most once.
	IdempotencyKey = "Idempotency-Key"
	// UploadID names an upload across deliveries.
	UploadID = "Figfront-Upload-Id"
)

// Report is an upstream's own view of its load.
type Report struct {
	// Running is the number of calls that the upstream works on.
	Running int
	// Queued is the number of calls that wait.
	Queued int
	// Slowness is how long work takes at the moment, as a multiple of the usual;
	// 0 means that the upstream does not tell.
	Slowness float64
}

// maxReported bounds a credible number in a report.
const maxReported = 1 << 20

// String returns the report as the header's value.
func (r Report) String() string {
	text := "running=" + strconv.Itoa(r.Running) + ",queued=" + strconv.Itoa(r.Queued)
	if r.Slowness > 0 {
		text += ",slowness=" + strconv.FormatFloat(r.Slowness, 'f', -1, 64)
	}
	return text
}

// ParseReport reads a load report. It returns false for an absent or malformed
// one, which counts as no report.
func ParseReport(value string) (Report, bool) {
	running, rest, ok := strings.Cut(value, ",")
	if !ok {
		return Report{}, false
	}
	queued, slowness, hasSlowness := strings.Cut(rest, ",")
	r, okRunning := reportField(running, "running=")
	q, okQueued := reportField(queued, "queued=")
	if !okRunning || !okQueued {
		return Report{}, false
	}
	report := Report{Running: r, Queued: q}
	if hasSlowness {
		report.Slowness, ok = slownessField(slowness)
	}
	return report, ok
}

// slownessField reads the slowness of a load report.
func slownessField(field string) (float64, bool) {
	text, ok := strings.CutPrefix(field, "slowness=")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	isCredible := err == nil && number >= 0 && number <= maxReported
	return number, isCredible
}

func reportField(field, prefix string) (int, bool) {
	text, ok := strings.CutPrefix(field, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 || number > maxReported {
		return 0, false
	}
	return number, true
}

// SetDeadline sets the deadline header.
func SetDeadline(h http.Header, deadline time.Time) {
	h.Set(Deadline, strconv.FormatInt(deadline.UnixMilli(), 10))
}

// ParseDeadline reads the deadline header. It returns false for an absent or
// malformed one.
func ParseDeadline(h http.Header) (time.Time, bool) {
	ms, err := strconv.ParseInt(h.Get(Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// SetTimeout sets the timeout header to the time that is left, rounded down.
func SetTimeout(h http.Header, left time.Duration) {
	h.Set(Timeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
}

// ParseTimeout reads the timeout header. It returns false for an absent or
// malformed one.
func ParseTimeout(h http.Header) (time.Duration, bool) {
	ms, err := strconv.ParseInt(h.Get(Timeout), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeoutMs {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// maxTimeoutMs bounds a credible timeout, in milliseconds.
const maxTimeoutMs = 24 * 60 * 60 * 1000

// ParseAttempt reads the attempt header; an absent or malformed one counts as 1.
func ParseAttempt(h http.Header) int {
	number, err := strconv.Atoi(h.Get(Attempt))
	if err != nil || number < 1 || number > maxReported {
		return 1
	}
	return number
}

// IsShed tells whether an upstream's answer proves that the call did not run.
func IsShed(h http.Header) bool {
	return h.Get(Shed) == "1"
}

// IsDraining tells whether an upstream's answer says that it is leaving.
func IsDraining(h http.Header) bool {
	return h.Get(Draining) == "1"
}
