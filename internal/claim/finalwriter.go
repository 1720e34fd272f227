package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// Times of the finalWriter.
const (
	// DefaultFlushInterval is how long final writes are collected for a batch.
	DefaultFlushInterval = 400 * time.Millisecond
	// minBackoff and maxBackoff limit the exponential backoff after a failed
	// flush.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// drainTimeout limits the time to write what is still queued at shutdown.
	drainTimeout = 10 * time.Second
)

// Limits of the finalWriter.
const (
	// maxBatchRows is the maximum number of rows in a transaction.
	maxBatchRows = 64
	// maxPendingBytes is the size of the queued and in-flight final writes
	// above which responses are dropped.
	maxPendingBytes = 8 << 20
	// maxPendingWrites is the maximum number of queued and in-flight final
	// writes.
	maxPendingWrites = 4096
)

// finalWriter writes the final states of claims in batches and retries each
// until it is confirmed. add and pending are safe for concurrent use; run must
// be called once.
type finalWriter struct {
	options Options
	// wake is signalled when a final write is added.
	wake chan struct{}
	// batchReady is signalled when the queue contains a full batch.
	batchReady chan struct{}

	mu    sync.Mutex
	queue []*FinalWrite
	// bytes is the approximate size of the queue and the batch in flight.
	bytes int
	// inFlightCount is the number of final writes in the batch in flight.
	inFlightCount int
}

func newFinalWriter(options Options) *finalWriter {
	return &finalWriter{options: options, wake: make(chan struct{}, 1), batchReady: make(chan struct{}, 1)}
}

func (w *finalWriter) count(name string) {
	w.options.Counters.Add(telemetry.GroupClaims, name, 1)
}

// add queues a final write. If the queue has grown because the table is down,
// responses are dropped first and then whole final writes. A claim whose final
// write is dropped stays started, which is safe: its result is later reported
// as unknown.
func (w *finalWriter) add(fw *FinalWrite) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+w.inFlightCount >= maxPendingWrites {
		w.count(countFinalWriteDropped)
		return
	}
	if w.bytes+fw.size() > maxPendingBytes {
		fw.dropResponse()
		w.count(countResponseDropped)
	}
	w.bytes += fw.size()
	w.queue = append(w.queue, fw)
	signal(w.wake)
	if len(w.queue) >= maxBatchRows {
		signal(w.batchReady)
	}
}

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (w *finalWriter) pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) + w.inFlightCount
}

// takeBatch removes the next batch from the queue and marks it as in flight.
func (w *finalWriter) takeBatch() []*FinalWrite {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), maxBatchRows)
	batch := w.queue[:n:n]
	w.queue = w.queue[n:]
	w.inFlightCount = n
	return batch
}

// finishBatch ends the batch in flight and appends its unconfirmed writes to
// the queue. confirmedBytes is the size of its confirmed writes.
func (w *finalWriter) finishBatch(remaining []*FinalWrite, confirmedBytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlightCount = 0
	w.bytes -= confirmedBytes
	w.queue = append(w.queue, remaining...)
}

// run flushes batches until ctx is cancelled and then drains the queue. A flush
// in progress is not cancelled.
func (w *finalWriter) run(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		w.waitForBatch(ctx, backoff)
		if w.flush(context.WithoutCancel(ctx)) {
			backoff = 0
			continue
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
	}
	return w.drain(context.WithoutCancel(ctx))
}

// waitForBatch waits until the queue is not empty, and then until the flush
// interval has passed or the queue contains a full batch. If backoff is set, it
// waits only for backoff.
func (w *finalWriter) waitForBatch(ctx context.Context, backoff time.Duration) {
	if backoff > 0 {
		wait.For(ctx, backoff)
		return
	}
	if w.pending() == 0 {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
	}
	timer := time.NewTimer(w.options.FlushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.batchReady:
	case <-ctx.Done():
	}
}

// ErrUnconfirmed is returned when final states of claims could not be written
// before shutdown. These claims stay started, and the results of their calls
// are reported as unknown.
var ErrUnconfirmed = errors.New("claim: final states of claims were not written before shutdown")

// drain writes the queue at shutdown, for at most drainTimeout.
func (w *finalWriter) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for w.pending() > 0 {
		if !w.flush(ctx) && !wait.For(ctx, minBackoff) {
			return ErrUnconfirmed
		}
	}
	return nil
}

// flush writes one batch and reports whether all of its writes were confirmed.
// After the first failed read it reads no further rows, so that a table that
// does not respond costs one timeout per flush and not one per row.
func (w *finalWriter) flush(ctx context.Context) bool {
	batch := w.takeBatch()
	var ready, remaining []*FinalWrite
	confirmedBytes := 0
	isTableDown := false
	for _, fw := range batch {
		if isTableDown && !fw.isVersionKnown {
			remaining = append(remaining, fw)
			continue
		}
		size := fw.size()
		switch w.resolveVersion(ctx, fw) {
		case rowReady:
			ready = append(ready, fw)
		case rowClosed:
			confirmedBytes += size
		default:
			isTableDown = true
			remaining = append(remaining, fw)
		}
	}
	if err := w.write(ctx, ready); err != nil {
		remaining = append(remaining, ready...)
	} else {
		confirmedBytes += sizeOf(ready)
	}
	w.finishBatch(remaining, confirmedBytes)
	return len(remaining) == 0
}

func sizeOf(writes []*FinalWrite) int {
	size := 0
	for _, fw := range writes {
		size += fw.size()
	}
	return size
}

// rowCheck is the result of checking a claim's row before its final write.
type rowCheck int

const (
	// rowUnreadable means that the row could not be read.
	rowUnreadable rowCheck = iota
	// rowReady means that the row's version is known and the final write can
	// be committed.
	rowReady
	// rowClosed means that no final write is needed any more.
	rowClosed
)

// resolveVersion reads the row if its version is not known yet.
func (w *finalWriter) resolveVersion(ctx context.Context, fw *FinalWrite) rowCheck {
	if fw.isVersionKnown {
		return rowReady
	}
	w.count(countReads)
	row, err := w.options.Table.Get(ctx, fw.rowKey)
	if fw.HandleReadResult(row, err) {
		w.confirm(fw)
		w.count(countSuperseded)
		return rowClosed
	}
	if fw.isVersionKnown {
		return rowReady
	}
	return rowUnreadable
}

// write commits final writes in one transaction. If a condition fails or the
// result is unknown, all of their rows have to be read before the next try.
func (w *finalWriter) write(ctx context.Context, writes []*FinalWrite) error {
	if len(writes) == 0 {
		return nil
	}
	tx, err := joinWrites(writes)
	if err != nil {
		return err
	}
	w.count(countWritesAfter)
	err = w.options.Table.Commit(ctx, tx)
	if errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	for _, fw := range writes {
		if err != nil {
			fw.ForgetVersion()
			continue
		}
		w.confirm(fw)
	}
	return err
}

func (w *finalWriter) confirm(fw *FinalWrite) {
	fw.Confirm()
	w.count(countClosedPrefix + string(fw.record.State))
}

// joinWrites returns one transaction of all writes, each of a different row.
func joinWrites(writes []*FinalWrite) (platform.Transaction, error) {
	var joined platform.Transaction
	for _, fw := range writes {
		tx, err := conditionalWrite(fw.rowKey, fw.rowVersion, fw.record)
		if err != nil {
			return platform.Transaction{}, err
		}
		joined.Conditions = append(joined.Conditions, tx.Conditions...)
		joined.Writes = append(joined.Writes, tx.Writes...)
	}
	return joined, nil
}
