package follow

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// Source supplies successive snapshots of a record set.
type Source interface {
	// Next waits for the next snapshot. It returns an error when the store can't be
	// read or ctx ends.
	Next(ctx context.Context) (platform.Snapshot, error)
	// Pause waits for d after Next has failed, or less if Next has something to do before.
	Pause(ctx context.Context, d time.Duration)
}

// UpstreamSource is a Source that can be asked for a snapshot of a certain time, and that
// tells other VMs which rows stay in use without being in the store.
type UpstreamSource interface {
	Source
	// ReadAt makes Next return a snapshot that was read at a time or later, as soon as
	// possible after it. It replaces the time of an earlier call; zero means none.
	ReadAt(at time.Time)
	// Retain tells the other VMs which rows are retained, since a StoreTime.
	Retain(retained platform.Snapshot)
	// Retained returns what another VM retained when this one had just started.
	Retained() platform.Snapshot
}

// Delays after a failed read. The delay starts at minRetryDelay and doubles with each
// further failure, up to maxRetryDelay.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// fieldDependency is the log field for the dependency that is lost or restored.
const fieldDependency = "dependency"

// loop processes the snapshots of a source one by one. It logs when the store becomes
// unavailable and available again, counts reads and failures, and delays the next
// read after a failure.
type loop struct {
	name     string
	source   Source
	log      hclog.Logger
	counters *telemetry.Counters
	// clock estimates the store's clock; it may be nil.
	clock *StoreClock

	unavailableSince time.Time
	// isAfterFailure is set if reads have failed since the snapshot before the last one.
	isAfterFailure bool
	retryDelay     time.Duration
	// unreadable is the number of rows that were left out of the last snapshot.
	unreadable int
}

func newLoop(name string, source Source, log hclog.Logger, counters *telemetry.Counters, clock *StoreClock) *loop {
	return &loop{name: name, source: source, log: log, counters: counters, clock: clock}
}

// run calls apply with each snapshot until ctx ends.
func (l *loop) run(ctx context.Context, apply func(platform.Snapshot)) error {
	for ctx.Err() == nil {
		isDone := confine.Run(l.log, l.counters, confine.Snapshot, func() { l.process(ctx, apply) })
		if !isDone {
			l.source.Pause(ctx, wait.Jitter(minRetryDelay))
		}
	}
	return nil
}

// process applies the next snapshot.
func (l *loop) process(ctx context.Context, apply func(platform.Snapshot)) {
	snapshot, err := l.source.Next(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		l.handleFailure(ctx, err)
	default:
		l.recordSuccess(snapshot)
		apply(snapshot)
	}
}

// recordSuccess records a successful read.
func (l *loop) recordSuccess(snapshot platform.Snapshot) {
	if l.clock != nil {
		l.clock.observe(snapshot.StoreTime, time.Now())
	}
	l.counters.Add(telemetry.GroupStore, l.name+"_read", 1)
	l.isAfterFailure = !l.unavailableSince.IsZero()
	if l.isAfterFailure {
		l.log.Info("dependency restored", fieldDependency, l.name, "lost_ms", time.Since(l.unavailableSince).Milliseconds())
	}
	l.unavailableSince = time.Time{}
	l.retryDelay = 0
	l.recordUnreadable(snapshot.Unreadable)
}

// recordUnreadable counts the rows of a snapshot that were left out, and logs their number when
// it changes.
func (l *loop) recordUnreadable(rows int) {
	if rows > 0 {
		l.counters.Add(telemetry.GroupStore, l.name+"_unreadable", int64(rows))
	}
	if rows != l.unreadable {
		l.log.Warn("rows without a readable key are left out", fieldDependency, l.name, "rows", rows, "before", l.unreadable)
	}
	l.unreadable = rows
}

// handleFailure records a failed read and pauses before the next one.
func (l *loop) handleFailure(ctx context.Context, err error) {
	l.counters.Add(telemetry.GroupStore, l.name+"_failed", 1)
	if l.unavailableSince.IsZero() {
		l.unavailableSince = time.Now()
		l.log.Warn("dependency lost", fieldDependency, l.name, telemetry.FieldError, err)
	}
	l.retryDelay = min(max(2*l.retryDelay, minRetryDelay), maxRetryDelay)
	l.source.Pause(ctx, wait.Jitter(l.retryDelay))
}
