package process

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/telemetry"
)

// countersName is the name of figfront's counters on the expvar page.
const countersName = "figfront"

// Parts are what every process is built from.
type Parts struct {
	Log      hclog.Logger
	Counters *telemetry.Counters
	Life     *Life

	lines  *telemetry.LineWriter
	endLog context.CancelFunc
}

// logFlushTime is how long a process that ends waits for its last log lines to
// be read.
const logFlushTime = 200 * time.Millisecond

// NewParts returns the parts of the process called name: a log on standard
// output, published counters and the life of the process. It returns an error
// when a chart is at fault. A process calls it once.
func NewParts(name, logLevel string) (Parts, error) {
	counters := telemetry.NewCounters()
	counters.Publish(countersName)
	lines := telemetry.NewLineWriter(os.Stdout, counters)
	log := telemetry.NewLogger(name, logLevel, lines)
	life, err := NewLife(log)
	if err != nil {
		return Parts{}, errors.Wrap(err, "load charts")
	}
	ctx, cancel := context.WithCancel(context.Background())
	go lines.Run(ctx)
	return Parts{Log: log, Counters: counters, Life: life, lines: lines, endLog: cancel}, nil
}

// Close writes the last log lines.
func (p Parts) Close() {
	p.endLog()
	select {
	case <-p.lines.Ended():
	case <-time.After(logFlushTime):
	}
}

// StopAtEnd runs a planned stop of the server when ctx ends, which is when the
// process is asked to stop, or when work ends, which is when a part of the
// process has failed.
func (l *Life) StopAtEnd(ctx, work context.Context, server *Server, lag, timeout time.Duration) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	return l.Stop(server, lag, timeout)
}
