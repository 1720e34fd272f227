package mesh

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/wait"
)

// maxReadsInFlight limits the overlapping reads of a record set.
const maxReadsInFlight = 8

// readResult is the outcome of one read of the store.
type readResult struct {
	snapshot platform.Snapshot
	err      error
	// previous is the latest snapshot when the read began, at startedAt.
	previous  *platform.Snapshot
	startedAt time.Time
}

// reads runs the reads of a record set in the background, so that a snapshot of a peer is
// used at once while a read hangs, and a read that hangs does not delay the next one. Its
// methods are called from one goroutine.
type reads struct {
	// results receives the outcome of each read in flight.
	results  chan readResult
	inFlight int
	// cancel ends the reads in flight; nil if there are none.
	cancel context.CancelFunc
	// ctx is the context of the reads in flight.
	ctx context.Context
	// nextAt is when the next read may begin although others are in flight.
	nextAt time.Time
}

// start begins a read and allows the next one after interval.
func (r *reads) start(ctx context.Context, interval time.Duration, previous *platform.Snapshot,
	read func(context.Context, *platform.Snapshot) (platform.Snapshot, error),
) {
	if r.cancel == nil {
		r.ctx, r.cancel = context.WithCancel(ctx)
		r.results = make(chan readResult, maxReadsInFlight)
	}
	now := time.Now()
	r.inFlight++
	r.nextAt = now.Add(wait.Jitter(interval))
	readCtx, results := r.ctx, r.results
	go func() {
		snapshot, err := read(readCtx, previous)
		results <- readResult{snapshot: snapshot, err: err, previous: previous, startedAt: now}
	}()
}

// finish records that a read has ended. A successful one ends the others.
func (r *reads) finish(result readResult) {
	r.inFlight--
	if r.inFlight > 0 && result.err != nil {
		return
	}
	r.cancel()
	*r = reads{nextAt: r.nextAt}
}

// canOverlap reports whether another read may begin, at nextAt, while others are in flight.
func (r *reads) canOverlap(interval time.Duration) bool {
	return interval > 0 && r.inFlight < maxReadsInFlight
}

// startRead begins a read of the store.
func (s *RecordSet) startRead(ctx context.Context) {
	s.mu.Lock()
	latest := s.latest
	s.mu.Unlock()
	s.reads.start(ctx, s.options.RetryInterval, latest, s.readConfined)
}

// errReadPanicked means that a read of the store ended with a panic.
var errReadPanicked = errors.New("mesh: read of the store panicked")

// readConfined reads the store; a panic is a failed read.
func (s *RecordSet) readConfined(ctx context.Context, latest *platform.Snapshot) (snapshot platform.Snapshot, err error) {
	err = errReadPanicked
	confine.Run(s.mesh.options.Log, s.mesh.options.Counters, confine.Read, func() { snapshot, err = s.read(ctx, latest) })
	return snapshot, err
}

// isOvertaken reports whether an overlapping read has failed that began before the latest
// snapshot arrived: it says nothing about the time since then.
func (s *RecordSet) isOvertaken(result readResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return result.err != nil && s.options.RetryInterval > 0 && result.startedAt.Before(s.updatedAt)
}

// handleResult publishes the snapshot of a successful read to the zone and returns it.
func (s *RecordSet) handleResult(ctx context.Context, result readResult) (platform.Snapshot, error) {
	if ctx.Err() != nil {
		return platform.Snapshot{}, ctx.Err()
	}
	s.mesh.recordStoreResult(result.err == nil)
	if result.err != nil {
		s.forgetLatest()
		return platform.Snapshot{}, result.err
	}
	s.scheduleNext(result.startedAt)
	accepted, ok := s.accept(result.snapshot, sourceStore)
	if !ok {
		return s.newerThanStore(result.previous)
	}
	s.publishSnapshot(accepted, topicRecords, topicSeedRecords)
	return accepted, nil
}

// scheduleNext sets the time of the next regular read after one that began at startedAt.
func (s *RecordSet) scheduleNext(startedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.options.LongPoll {
		s.nextReadAt = startedAt.Add(wait.Jitter(s.options.Interval))
	}
	if !startedAt.Before(s.scheduled.at) {
		s.scheduled.isDone = true
	}
}

// forgetLatest makes the next call to the store read all rows.
func (s *RecordSet) forgetLatest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = nil
}

// errOlderThanSeen means that the store returned an older snapshot than before.
var errOlderThanSeen = errors.New("mesh: store returned an older snapshot than before")

// newerThanStore returns the snapshot that a peer has sent during a call to the store, if
// the store's was older. previous was the latest one when the call began. Without a new
// one the store is behind for another reason, and the result is errOlderThanSeen.
func (s *RecordSet) newerThanStore(previous *platform.Snapshot) (platform.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest != nil && s.latest != previous {
		return *s.latest, nil
	}
	s.latest = nil
	return platform.Snapshot{}, errOlderThanSeen
}
