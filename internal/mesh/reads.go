package mesh

import (
	"context"
	"time"

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
