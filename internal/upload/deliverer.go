package upload

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// Times and limits of a Deliverer.
const (
	// scanInterval is the mean time between two looks for due uploads.
	scanInterval = 2 * time.Second
	// sweepInterval is the mean time between two looks for old records.
	sweepInterval = 10 * time.Minute
	// retention is how long a record is kept after its delivery has ended.
	retention = 14 * 24 * time.Hour
	// maxDeliveries limits the deliveries of one VM at once.
	maxDeliveries = 4
	scanPage      = 100
	// recordTimeout limits the time to write a record's next state.
	recordTimeout = 5 * time.Second
)

// Sender sends a stored upload to an upstream.
type Sender interface {
	// SendUpload sends the upload once. A Result without a status means that
	// no upstream answered.
	SendUpload(ctx context.Context, r Record, body io.Reader) Result
}

// Options are what a Deliverer is built from.
type Options struct {
	// Holder names this VM in leases.
	Holder   string
	Table    platform.Table
	Objects  platform.Objects
	Sender   Sender
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Seed seeds the random choices.
	Seed uint64
}

// Deliverer delivers stored uploads.
type Deliverer struct {
	options Options
	store   *Store
	rules   *Rules
	wake    chan struct{}
	places  chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// running holds the ids that this process delivers.
	running map[string]bool
}

// NewDeliverer returns a Deliverer. It returns an error when the chart of an
// upload is at fault.
func NewDeliverer(options Options) (*Deliverer, error) {
	rules, err := NewRules()
	if err != nil {
		return nil, err
	}
	return &Deliverer{
		options: options,
		store:   NewStore(options.Table),
		rules:   rules,
		wake:    make(chan struct{}, 1),
		places:  make(chan struct{}, maxDeliveries),
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		running: make(map[string]bool),
	}, nil
}

// Wake makes the deliverer look for due uploads now.
func (d *Deliverer) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run delivers until ctx ends; then it gives its leases back and returns.
func (d *Deliverer) Run(ctx context.Context) error {
	var deliveries sync.WaitGroup
	defer deliveries.Wait()
	sweepAt := time.Now().Add(d.jitter(sweepInterval))
	for ctx.Err() == nil {
		d.scan(ctx, &deliveries)
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

// jitter returns a time between half and one and a half of mean.
func (d *Deliverer) jitter(mean time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return mean/2 + time.Duration(d.random.Int64N(int64(mean)))
}

func (d *Deliverer) count(name string) {
	d.options.Counters.Add(telemetry.GroupUploads, name, 1)
}

// scan starts the deliveries that are due, in random order so that VMs rarely
// meet at the same upload.
func (d *Deliverer) scan(ctx context.Context, deliveries *sync.WaitGroup) {
	after := ""
	for {
		listing, err := d.store.Pending(ctx, after, scanPage)
		if err != nil {
			d.count("scan_failed")
			return
		}
		d.options.Counters.Add(telemetry.GroupUploads, "record_unreadable", int64(listing.Corrupt))
		d.shuffle(listing.Uploads)
		for _, stored := range listing.Uploads {
			if !d.start(ctx, stored, deliveries) {
				return
			}
		}
		if listing.Next == "" {
			return
		}
		after = listing.Next
	}
}

func (d *Deliverer) shuffle(uploads []Stored) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.random.Shuffle(len(uploads), func(i, j int) { uploads[i], uploads[j] = uploads[j], uploads[i] })
}

// start starts a delivery if it is due. It returns false when no place is free.
func (d *Deliverer) start(ctx context.Context, stored Stored, deliveries *sync.WaitGroup) bool {
	id := stored.Record.ID
	if !d.rules.IsDue(time.Now(), stored.Record) || d.isRunning(id) {
		return true
	}
	select {
	case d.places <- struct{}{}:
	default:
		return false
	}
	d.setRunning(id, true)
	deliveries.Go(func() {
		defer func() {
			d.setRunning(id, false)
			<-d.places
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

// deliver takes the lease, sends the upload once and records the result.
func (d *Deliverer) deliver(ctx context.Context, stored Stored) {
	leased, err := d.rules.Lease(time.Now(), stored.Record, d.options.Holder)
	if err != nil {
		return
	}
	stored, err = d.update(ctx, stored, leased)
	if err != nil {
		d.count("lease_not_taken")
		return
	}
	d.count("delivery_started")
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	renewal := d.keepLease(work, cancel, stored)
	body := newStoredReader(work, d.options.Objects, stored.Record.Body)
	result := d.options.Sender.SendUpload(work, stored.Record, body)
	cancel()
	stored = <-renewal
	_ = body.Close()
	d.end(ctx, stored, result)
}

func (d *Deliverer) update(ctx context.Context, from Stored, next Record) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return d.store.Update(ctx, from, next)
}

// keepLease renews the lease until ctx ends, and then gives the record as it
// was written last. It ends the delivery when another VM has the lease. While
// the table is down the delivery goes on: nobody else can take it either.
func (d *Deliverer) keepLease(ctx context.Context, lost context.CancelFunc, stored Stored) <-chan Stored {
	last := make(chan Stored, 1)
	go func() {
		defer func() { last <- stored }()
		for wait.For(ctx, LeaseTime/3) {
			next, err := d.rules.Renew(time.Now(), stored.Record)
			if err != nil {
				return
			}
			renewed, err := d.update(context.WithoutCancel(ctx), stored, next)
			if errors.Is(err, ErrLeaseLost) {
				d.count("lease_lost")
				lost()
				return
			}
			stored = renewed
		}
	}()
	return last
}

// end records how a delivery ended; the upload's parts are deleted once it is
// known as delivered.
func (d *Deliverer) end(ctx context.Context, stored Stored, result Result) {
	next, err := d.nextRecord(ctx, stored.Record, result)
	if err != nil {
		return
	}
	d.options.Log.Info("upload delivery", telemetry.FieldRequestID, next.ID, telemetry.FieldTeam, next.Team,
		telemetry.FieldService, next.Service, "state", next.State, "status", result.Status,
		telemetry.FieldAttempt, next.Attempts)
	if _, err := d.update(context.WithoutCancel(ctx), stored, next); err != nil {
		d.count("result_not_written")
		return
	}
	d.count("delivery_" + string(next.State))
	if next.State == StateDelivered {
		deleteParts(d.options.Objects, next.Body)
	}
}

func (d *Deliverer) nextRecord(ctx context.Context, r Record, result Result) (Record, error) {
	if ctx.Err() != nil && result.Status == 0 {
		return d.rules.Release(time.Now(), r)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules.End(time.Now(), r, result, d.random)
}

// sweep deletes the records whose delivery ended long ago.
func (d *Deliverer) sweep(ctx context.Context) {
	after := ""
	for {
		listing, err := d.store.Ended(ctx, after, scanPage)
		if err != nil {
			return
		}
		for _, ended := range listing.Uploads {
			if time.Since(ended.Record.Finished) > retention && d.store.Forget(ctx, ended) == nil {
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
