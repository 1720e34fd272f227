// Package telemetry provides the logging, counters and histograms of a figfront
// process.
package telemetry

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// Names of the fields that log lines have in common.
const (
	FieldRequestID = "request_id"
	FieldTeam      = "team"
	FieldService   = "service"
	FieldTraffic   = "traffic"
	FieldUpstream  = "upstream"
	FieldAttempt   = "attempt"
	FieldOutcome   = "outcome"
	FieldReason    = "reason"
	FieldRevision  = "revision"
	FieldVM        = "vm"
	FieldError     = "error"
	// FieldDigest identifies a request by what it asks for.
	FieldDigest = "digest"
)

// NewLogger returns a logger called process that writes lines of at least the given
// level to w as JSON.
func NewLogger(process, level string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       process,
		Level:      hclog.LevelFromString(level),
		Output:     w,
		JSONFormat: true,
	})
}
