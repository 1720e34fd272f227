package telemetry

import (
	"github.com/ThreeDotsLabs/watermill"
	"github.com/hashicorp/go-hclog"
)

// busLogger passes watermill's log lines to hclog.
type busLogger struct {
	log hclog.Logger
}

// NewBusLogger returns a logger for watermill that writes to log.
func NewBusLogger(log hclog.Logger) watermill.LoggerAdapter {
	return busLogger{log: log.Named("bus")}
}

func pairs(fields watermill.LogFields) []any {
	args := make([]any, 0, 2*len(fields))
	for key, value := range fields {
		args = append(args, key, value)
	}
	return args
}

func (b busLogger) Error(msg string, err error, fields watermill.LogFields) {
	b.log.Error(msg, append(pairs(fields), FieldError, err)...)
}

// Info logs at level debug: the bus tells of each subscription.
func (b busLogger) Info(msg string, fields watermill.LogFields) {
	b.log.Debug(msg, pairs(fields)...)
}

func (b busLogger) Debug(msg string, fields watermill.LogFields) {
	b.log.Trace(msg, pairs(fields)...)
}

func (b busLogger) Trace(msg string, fields watermill.LogFields) {
	b.log.Trace(msg, pairs(fields)...)
}

func (b busLogger) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return busLogger{log: b.log.With(pairs(fields)...)}
}
