package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a LineWriter.
const (
	// maxQueuedLines is the largest number of lines that wait to be written.
	maxQueuedLines = 512
	// linesPerSecond and lineBurst are the parameters of the token bucket that limits
	// the rate of lines.
	linesPerSecond = 400
	lineBurst      = 800
	// summaryInterval is the time between two summaries of omitted lines and the period
	// within which equal lines count as repeated.
	summaryInterval = time.Second
)

// LineWriter writes log lines to another writer from a queue, so that logging never
// blocks the caller. It omits two kinds of lines and reports them in a summary each
// second. Repeated lines differ only in their timestamp from an earlier one of the
// same second; one line with the number of repetitions is written for them. Dropped
// lines exceed a rate limit or find the queue full because the output is blocked;
// only their number is written. It is safe for concurrent use.
type LineWriter struct {
	out          io.Writer
	lines        chan []byte
	limiter      *rate.Limiter
	counters     *Counters
	deduplicator *deduplicator

	mu sync.Mutex
	// dropped is the number of lines dropped since the last summary.
	dropped int64
	done    chan struct{}
}

// NewLineWriter returns a LineWriter that writes to out and counts omitted lines in
// counters. Lines are written only while Run is running.
func NewLineWriter(out io.Writer, counters *Counters) *LineWriter {
	return &LineWriter{
		out: out, counters: counters, lines: make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(linesPerSecond, lineBurst), deduplicator: newDeduplicator(), done: make(chan struct{}),
	}
}

// Write queues one log line. It never blocks and never returns an error.
func (w *LineWriter) Write(line []byte) (int, error) {
	if w.deduplicator.record(line) {
		w.counters.Add(GroupLog, "repeated", 1)
		return len(line), nil
	}
	if !w.limiter.Allow() {
		w.drop("rate")
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop("queue_full")
	}
	return len(line), nil
}

// drop counts a dropped line by reason.
func (w *LineWriter) drop(reason string) {
	w.counters.Add(GroupLog, "dropped_"+reason, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

// Run writes queued lines until ctx is done, then writes the rest of the queue and
// returns. It may be called only once.
func (w *LineWriter) Run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ticker.C:
			w.writeSummaries()
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (w *LineWriter) Done() <-chan struct{} {
	return w.done
}

// drain writes the lines that are left in the queue and a last summary.
func (w *LineWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.writeSummaries()
			return
		}
	}
}

func (w *LineWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.counters.Add(GroupLog, "write_failed", 1)
	}
}

// writeSummaries writes a summary of the lines that were omitted since the last one.
func (w *LineWriter) writeSummaries() {
	for _, line := range w.deduplicator.startPeriod() {
		w.write(line)
	}
	w.writeDropSummary()
}

// writeDropSummary writes the number of lines that were dropped since the last summary,
// if any.
func (w *LineWriter) writeDropSummary() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped == 0 {
		return
	}
	now := time.Now().UTC().Format(time.RFC3339Nano)
	w.write(fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"lines":%d}`+"\n", now, dropped))
}
