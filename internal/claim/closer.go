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

// Times of the closer.
const (
	// DefaultFlushInterval is the time that ends of claims are collected for.
	DefaultFlushInterval = 400 * time.Millisecond
	// firstBackoff and lastBackoff bound the time after a failed flush.
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// closeTimeout limits the time for the ends that are left at a stop.
	closeTimeout = 10 * time.Second
)

// Bounds of the closer.
const (
	// maxBatchRows is the largest number of rows in a transaction.
	maxBatchRows = 64
	// maxPendingBytes bounds the answers that wait to be written.
	maxPendingBytes = 8 << 20
	// maxPending bounds the closings that wait to be written.
	maxPending = 4096
)

// closer writes the ends of claims in batches until they are confirmed.
type closer struct {
	options Options
	// wake holds a token when something was added.
	wake chan struct{}
	// full holds a token when a whole batch waits.
	full chan struct{}

	mu    sync.Mutex
	queue []*Closing
	// bytes is the size of the queue and of the batch in flight.
	bytes int
	// inFlight is the number of closings of the batch in flight.
	inFlight int
}

func newCloser(options Options) *closer {
	return &closer{options: options, wake: make(chan struct{}, 1), full: make(chan struct{}, 1)}
}

func (c *closer) count(name string) {
	c.options.Counters.Add(telemetry.GroupClaims, name, 1)
}

// add queues a closing. When the table has been down for long, first answers
// and then closings are dropped: such claims stay started, which is safe.
func (c *closer) add(closing *Closing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue)+c.inFlight >= maxPending {
		c.count(countClosingDropped)
		return
	}
	if c.bytes+closing.size() > maxPendingBytes {
		closing.dropAnswer()
		c.count(countAnswerDropped)
	}
	c.bytes += closing.size()
	c.queue = append(c.queue, closing)
	signal(c.wake)
	if len(c.queue) >= maxBatchRows {
		signal(c.full)
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (c *closer) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + c.inFlight
}

// take moves the next batch out of the queue.
func (c *closer) take() []*Closing {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), maxBatchRows)
	batch := c.queue[:n:n]
	c.queue = c.queue[n:]
	c.inFlight = n
	return batch
}

// putBack ends a batch; what is left of it goes to the end of the queue.
func (c *closer) putBack(left []*Closing, confirmedBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = 0
	c.bytes -= confirmedBytes
	c.queue = append(c.queue, left...)
}

// run flushes until ctx ends, and then what is left.
func (c *closer) run(ctx context.Context) error {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		c.collect(ctx, backoff)
		if c.flush(context.WithoutCancel(ctx)) {
			backoff = 0
			continue
		}
		backoff = min(max(2*backoff, firstBackoff), lastBackoff)
	}
	return c.drain(context.WithoutCancel(ctx))
}

// collect waits for a batch: for something to write, and then until the flush
// interval is over or a whole batch waits. After a failure it waits for backoff.
func (c *closer) collect(ctx context.Context, backoff time.Duration) {
	if backoff > 0 {
		wait.For(ctx, backoff)
		return
	}
	if c.pending() == 0 {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
	timer := time.NewTimer(c.options.FlushInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.full:
	case <-ctx.Done():
	}
}

// ErrLeft means that a stop left claims whose end is not written; they stay
// started and count as unknown.
var ErrLeft = errors.New("claim: ends of claims are not written")

// drain writes what is left at a stop.
func (c *closer) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for c.pending() > 0 {
		if !c.flush(ctx) && !wait.For(ctx, firstBackoff) {
			return ErrLeft
		}
	}
	return nil
}

// flush writes one batch. It returns false when something is left of it. After
// one row that could not be read it reads no more, as the table may be down.
func (c *closer) flush(ctx context.Context) bool {
	batch := c.take()
	var ready, left []*Closing
	confirmed := 0
	isSilent := false
	for _, closing := range batch {
		if isSilent && !closing.isResolved {
			left = append(left, closing)
			continue
		}
		size := closing.size()
		switch c.resolve(ctx, closing) {
		case resolutionReady:
			ready = append(ready, closing)
		case resolutionClosed:
			confirmed += size
		default:
			isSilent = true
			left = append(left, closing)
		}
	}
	if err := c.write(ctx, ready); err != nil {
		left = append(left, ready...)
	} else {
		confirmed += sizeOf(ready)
	}
	c.putBack(left, confirmed)
	return len(left) == 0
}

func sizeOf(closings []*Closing) int {
	size := 0
	for _, closing := range closings {
		size += closing.size()
	}
	return size
}

// resolution is what is known of a closing before it is written.
type resolution int

const (
	resolutionUnreadable resolution = iota
	resolutionReady
	resolutionClosed
)

// resolve reads the row of a closing whose row's version is not known.
func (c *closer) resolve(ctx context.Context, closing *Closing) resolution {
	if closing.isResolved {
		return resolutionReady
	}
	c.count(countReads)
	row, err := c.options.Table.Get(ctx, closing.row)
	if closing.ReadEnded(row, err) {
		c.confirm(closing)
		c.count(countSuperseded)
		return resolutionClosed
	}
	if closing.isResolved {
		return resolutionReady
	}
	return resolutionUnreadable
}

// write commits closings in one transaction. When a condition fails or the
// answer is lost, all of them have to be read back.
func (c *closer) write(ctx context.Context, closings []*Closing) error {
	if len(closings) == 0 {
		return nil
	}
	tx, err := batch(closings)
	if err != nil {
		return err
	}
	c.count(countWritesAfter)
	err = c.options.Table.Commit(ctx, tx)
	if errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	for _, closing := range closings {
		if err != nil {
			closing.Unresolve()
			continue
		}
		c.confirm(closing)
	}
	return err
}

func (c *closer) confirm(closing *Closing) {
	closing.Confirmed()
	c.count(countClosed + string(closing.record.State))
}

// batch joins the writes of closings, which are of different rows, into one
// transaction.
func batch(closings []*Closing) (platform.Transaction, error) {
	var joined platform.Transaction
	for _, closing := range closings {
		tx, err := transaction(closing.row, closing.version, closing.record)
		if err != nil {
			return platform.Transaction{}, err
		}
		joined.Conditions = append(joined.Conditions, tx.Conditions...)
		joined.Writes = append(joined.Writes, tx.Writes...)
	}
	return joined, nil
}
