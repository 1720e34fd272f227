// Package telemetry provides the log and the counters of a figfront process.
package telemetry

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

// Names of the fields that log lines share.
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
)

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(process, level string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       process,
		Level:      hclog.LevelFromString(level),
		Output:     w,
		JSONFormat: true,
	})
}
