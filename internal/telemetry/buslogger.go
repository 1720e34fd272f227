package telemetry

import (
	"github.com/ThreeDotsLabs/watermill"
	"github.com/hashicorp/go-hclog"
)

// busLogger adapts an hclog.Logger to watermill's LoggerAdapter.
type busLogger struct {
	log hclog.Logger
}

// NewBusLogger returns a logger for watermill that logs to log under the name bus.
func NewBusLogger(log hclog.Logger) watermill.LoggerAdapter {
	return busLogger{log: log.Named("bus")}
}

// keyValues returns fields as alternating keys and values, as hclog expects them.
func keyValues(fields watermill.LogFields) []any {
	args := make([]any, 0, 2*len(fields))
	for key, value := range fields {
		args = append(args, key, value)
	}
	return args
}

func (b busLogger) Error(msg string, err error, fields watermill.LogFields) {
	b.log.Error(msg, append(keyValues(fields), FieldError, err)...)
}

// Info logs at level debug, because watermill reports every subscription at info.
func (b busLogger) Info(msg string, fields watermill.LogFields) {
	b.log.Debug(msg, keyValues(fields)...)
}

// Debug logs at level trace.
func (b busLogger) Debug(msg string, fields watermill.LogFields) {
	b.log.Trace(msg, keyValues(fields)...)
}

func (b busLogger) Trace(msg string, fields watermill.LogFields) {
	b.log.Trace(msg, keyValues(fields)...)
}

func (b busLogger) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return busLogger{log: b.log.With(keyValues(fields)...)}
}
