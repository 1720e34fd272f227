package process

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/telemetry"
)

// countersName is the expvar variable that holds figfront's counters.
const countersName = "figfront"

// Parts holds what every process needs: its log, counters and lifecycle.
type Parts struct {
	Log       hclog.Logger
	Counters  *telemetry.Counters
	Lifecycle *Lifecycle

	logWriter *telemetry.LineWriter
	cancelLog context.CancelFunc
}

// logFlushTimeout is how long Close waits for the queued log lines to be written. It
// is limited because the reader of standard output may have stopped reading.
const logFlushTimeout = 200 * time.Millisecond

// NewParts returns the Parts of the process called name. The log goes to standard
// output as JSON lines. The counters are published through expvar, which panics if a
// name is published twice, so NewParts may be called only once per process. It
// returns an error if a state chart is invalid.
func NewParts(name, logLevel string) (Parts, error) {
	counters := telemetry.NewCounters()
	counters.Publish(countersName)
	logWriter := telemetry.NewLineWriter(os.Stdout, counters)
	log := telemetry.NewLogger(name, logLevel, logWriter)
	lifecycle, err := NewLifecycle(log)
	if err != nil {
		return Parts{}, errors.Wrap(err, "load charts")
	}
	ctx, cancelLog := context.WithCancel(context.Background())
	go logWriter.Run(ctx)
	return Parts{Log: log, Counters: counters, Lifecycle: lifecycle, logWriter: logWriter, cancelLog: cancelLog}, nil
}

// Close writes the queued log lines; it waits for at most logFlushTimeout.
func (p Parts) Close() {
	p.cancelLog()
	select {
	case <-p.logWriter.Done():
	case <-time.After(logFlushTimeout):
	}
}

// StopOnDone waits until ctx or workCtx is done and then stops the server with Stop.
// ctx is done when the process has been asked to stop, workCtx when a component of the
// process has failed.
func (l *Lifecycle) StopOnDone(ctx, workCtx context.Context, server *Server, times drain.Times) error {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
	}
	return l.Stop(server, times)
}
