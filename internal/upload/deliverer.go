package upload

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// Times and limits of a Deliverer.
const (
	// scanInterval is the mean time between scans for uploads that are due.
	scanInterval = 2 * time.Second
	// sweepInterval is the mean time between sweeps for expired records.
	sweepInterval = 10 * time.Minute
	// retention is how long a record is kept after its delivery has ended.
	retention = 14 * 24 * time.Hour
	// maxDeliveries is the maximum number of concurrent deliveries per VM.
	maxDeliveries = 4
	// pageSize is the number of records read at once.
	pageSize = 100
	// updateTimeout limits the time to write an updated record.
	updateTimeout = 5 * time.Second
)

// Sender sends a stored upload to an upstream.
type Sender interface {
	// SendUpload sends the upload to an upstream once. The status of the result
	// is 0 if no upstream responded.
	SendUpload(ctx context.Context, r Record, body io.Reader) Result
}

// Options configures a Deliverer.
type Options struct {
	// Holder is the name under which this VM takes leases.
	Holder   string
	Table    platform.Table
	Objects  platform.Objects
	Sender   Sender
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Seed seeds the random intervals, delivery order and retry delays.
	Seed uint64
}

// Deliverer delivers stored uploads and deletes expired records. Wake is safe
// for concurrent use; Run must be called by one goroutine at a time.
type Deliverer struct {
	options      Options
	store        *Store
	stateMachine *StateMachine
	wake         chan struct{}
	slots        chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// running contains the IDs of the uploads that this VM is delivering.
	running map[string]bool
	// delivered holds the uploads that this VM has delivered and whose parts are kept.
	delivered keptParts
	// accepted holds the accepted uploads that are to be checked, oldest first.
	accepted []acceptedUpload
}

// NewDeliverer returns a Deliverer. It returns an error if the chart upload.ini
// is invalid.
func NewDeliverer(options Options) (*Deliverer, error) {
	stateMachine, err := NewStateMachine()
	if err != nil {
		return nil, err
	}
	return &Deliverer{
		options:      options,
		store:        NewStore(options.Table),
		stateMachine: stateMachine,
		wake:         make(chan struct{}, 1),
		slots:        make(chan struct{}, maxDeliveries),
		random:       rand.New(rand.NewPCG(options.Seed, 1)),
		running:      make(map[string]bool),
	}, nil
}

// Wake starts a scan for due uploads without waiting for the scan interval. It
// does not block.
func (d *Deliverer) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run delivers uploads until ctx is cancelled. It then cancels the deliveries in
// progress, releases their leases and returns nil.
func (d *Deliverer) Run(ctx context.Context) error {
	var deliveries sync.WaitGroup
	defer deliveries.Wait()
	sweepAt := time.Now().Add(d.jitter(sweepInterval))
	for ctx.Err() == nil {
		d.checkAccepted(ctx)
		d.scan(ctx, &deliveries)
		d.deleteDeliveredParts(ctx)
		if time.Now().After(sweepAt) {
			d.sweep(ctx)
			sweepAt = time.Now().Add(d.jitter(sweepInterval))
		}
		timer := time.NewTimer(d.jitter(scanInterval))
		select {
		case <-timer.C:
		case <-d.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// jitter returns a random duration between 0.5 and 1.5 times mean.
func (d *Deliverer) jitter(mean time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return mean/2 + time.Duration(d.random.Int64N(int64(mean)))
}

func (d *Deliverer) count(name string) {
	d.options.Counters.Add(telemetry.GroupUploads, name, 1)
}

// scan starts deliveries of due uploads until no slot is free. The order within
// a page is random so that VMs rarely compete for the same upload.
func (d *Deliverer) scan(ctx context.Context, deliveries *sync.WaitGroup) {
	after := ""
	for {
		listing, err := d.store.ListPending(ctx, after, pageSize)
		if err != nil {
			d.count("scan_failed")
			return
		}
		d.options.Counters.Add(telemetry.GroupUploads, "record_unreadable", int64(listing.Corrupt))
		d.shuffle(listing.Uploads)
		for _, stored := range listing.Uploads {
			if !d.tryStart(ctx, stored, deliveries) {
				return
			}
		}
		if listing.Next == "" {
			return
		}
		after = listing.Next
	}
}

func (d *Deliverer) shuffle(uploads []VersionedRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random.Shuffle(len(uploads), func(i, j int) { uploads[i], uploads[j] = uploads[j], uploads[i] })
}

// tryStart starts a delivery if it is due and not running on this VM. It returns
// false if no slot is free.
func (d *Deliverer) tryStart(ctx context.Context, stored VersionedRecord, deliveries *sync.WaitGroup) bool {
	id := stored.Record.ID
	if !d.stateMachine.IsDue(time.Now(), stored.Record) || d.isRunning(id) {
		return true
	}
	select {
	case d.slots <- struct{}{}:
	default:
		return false
	}
	d.setRunning(id, true)
	deliveries.Go(func() {
		defer func() {
			d.setRunning(id, false)
			<-d.slots
			d.Wake()
		}()
		d.deliver(ctx, stored)
	})
	return true
}

func (d *Deliverer) isRunning(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running[id]
}

func (d *Deliverer) setRunning(id string, isRunning bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if isRunning {
		d.running[id] = true
		return
	}
	delete(d.running, id)
}

// Retry makes a held or waiting upload due at once, on behalf of an operator. Its errors are
// those of Store.Get and Store.Update, and ErrTransition if the delivery has ended.
func (d *Deliverer) Retry(ctx context.Context, id string) error {
	stored, err := d.store.Get(ctx, id)
	if err != nil {
		return err
	}
	next, err := d.stateMachine.Retry(time.Now(), stored.Record)
	if err != nil {
		return err
	}
	if _, err := d.store.Update(ctx, stored, next); err != nil {
		return err
	}
	d.count("retried_by_operator")
	d.Wake()
	return nil
}

// sweep deletes the records whose delivery ended more than the retention time
// ago, and their parts.
func (d *Deliverer) sweep(ctx context.Context) {
	after := ""
	for {
		listing, err := d.store.ListEnded(ctx, after, pageSize)
		if err != nil {
			return
		}
		for _, ended := range listing.Uploads {
			if time.Since(ended.Record.Finished) > retention && d.store.DeleteEnded(ctx, ended) == nil {
				d.count("record_forgotten")
				deleteParts(d.options.Objects, ended.Record.Body)
			}
		}
		if listing.Next == "" {
			return
		}
		after = listing.Next
	}
}
