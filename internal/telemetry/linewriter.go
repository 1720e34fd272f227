package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of a LineWriter.
const (
	// lineQueue is the number of lines that wait to be written.
	lineQueue = 512
	// linesPerSecond and lineBurst limit the lines that are taken.
	linesPerSecond = 400
	lineBurst      = 800
	// reportInterval is the time between two reports of lines that were left out.
	reportInterval = time.Second
)

// LineWriter writes log lines to another writer without ever making their author
// wait. A line that says the same as one of the last second is not written; how
// often it came follows in one line. Lines above a rate, and lines that find the
// queue full because nobody reads, are dropped and counted. It is safe for
// concurrent use.
type LineWriter struct {
	out      io.Writer
	lines    chan []byte
	limiter  *rate.Limiter
	counters *Counters
	repeats  *repeats

	mu      sync.Mutex
	dropped int64
	ended   chan struct{}
}

// NewLineWriter returns a LineWriter on out that counts in counters. Run has to
// run for lines to be written.
func NewLineWriter(out io.Writer, counters *Counters) *LineWriter {
	return &LineWriter{
		out: out, counters: counters, lines: make(chan []byte, lineQueue),
		limiter: rate.NewLimiter(linesPerSecond, lineBurst), repeats: newRepeats(), ended: make(chan struct{}),
	}
}

// Write takes one line. It never fails and never waits.
func (w *LineWriter) Write(line []byte) (int, error) {
	if w.repeats.isRepeat(line) {
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

func (w *LineWriter) drop(reason string) {
	w.counters.Add(GroupLog, "dropped_"+reason, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

// Run writes the lines until ctx ends and the queue is empty.
func (w *LineWriter) Run(ctx context.Context) {
	defer close(w.ended)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-report.C:
			w.report()
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

// Ended returns a channel that is closed when Run has returned.
func (w *LineWriter) Ended() <-chan struct{} {
	return w.ended
}

// drain writes what is left in the queue.
func (w *LineWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.report()
			return
		}
	}
}

func (w *LineWriter) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.counters.Add(GroupLog, "write_failed", 1)
	}
}

// report writes what was left out since the last report.
func (w *LineWriter) report() {
	for _, line := range w.repeats.next() {
		w.write(line)
	}
	w.reportDropped()
}

// reportDropped writes how many lines were dropped since the last report.
func (w *LineWriter) reportDropped() {
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
