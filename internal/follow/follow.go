package follow

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// Source returns one reading of a record set after the other.
type Source interface {
	// Next waits for the next reading. It returns an error when there is none
	// because the store can't be read.
	Next(ctx context.Context) (platform.Snapshot, error)
}

// Pauses after a reading that failed.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// fieldDependency names the dependency that a log line is about.
const fieldDependency = "dependency"

// loop takes one reading after the other. It logs when the store is lost and
// regained, counts the readings and paces itself after failures.
type loop struct {
	name     string
	source   Source
	log      hclog.Logger
	counters *telemetry.Counters
	// clock may be nil.
	clock *StoreClock

	lostAt time.Time
	pause  time.Duration
}

func newLoop(name string, source Source, log hclog.Logger, counters *telemetry.Counters, clock *StoreClock) *loop {
	return &loop{name: name, source: source, log: log, counters: counters, clock: clock}
}

// run hands each reading to take until ctx ends.
func (l *loop) run(ctx context.Context, take func(platform.Snapshot)) error {
	for ctx.Err() == nil {
		snapshot, err := l.source.Next(ctx)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			l.failed(ctx, err)
		default:
			l.succeeded(snapshot)
			take(snapshot)
		}
	}
	return nil
}

// succeeded records a reading.
func (l *loop) succeeded(snapshot platform.Snapshot) {
	if l.clock != nil {
		l.clock.observe(snapshot.StoreTime, time.Now())
	}
	l.counters.Add(telemetry.GroupStore, l.name+"_read", 1)
	if !l.lostAt.IsZero() {
		l.log.Info("dependency regained", fieldDependency, l.name, "lost_ms", time.Since(l.lostAt).Milliseconds())
	}
	l.lostAt = time.Time{}
	l.pause = 0
}

// failed records a reading that failed and waits until the next one.
func (l *loop) failed(ctx context.Context, err error) {
	l.counters.Add(telemetry.GroupStore, l.name+"_failed", 1)
	if l.lostAt.IsZero() {
		l.lostAt = time.Now()
		l.log.Warn("dependency lost", fieldDependency, l.name, telemetry.FieldError, err)
	}
	l.pause = min(max(2*l.pause, firstPause), lastPause)
	wait.For(ctx, wait.Jitter(l.pause))
}
