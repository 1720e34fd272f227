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
}

// maxReported bounds a credible number in a report.
const maxReported = 1 << 20

// String returns the report as the header's value.
func (r Report) String() string {
	return "running=" + strconv.Itoa(r.Running) + ",queued=" + strconv.Itoa(r.Queued)
}

// ParseReport reads a load report. It returns false for an absent or malformed
// one, which counts as no report.
func ParseReport(value string) (Report, bool) {
	running, queued, ok := strings.Cut(value, ",")
	if !ok {
		return Report{}, false
	}
	r, okRunning := reportField(running, "running=")
	q, okQueued := reportField(queued, "queued=")
	if !okRunning || !okQueued {
		return Report{}, false
	}
	return Report{Running: r, Queued: q}, true
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
