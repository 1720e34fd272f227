package suspectstore

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// Times of a Store.
const (
	// batchDelay is how long changes are collected before they are written. An upstream that
	// ends takes the sends of several requests with it.
	batchDelay = 20 * time.Millisecond
	// minWriteInterval is the shortest time between two rounds of writes.
	minWriteInterval = 100 * time.Millisecond
	// checkInterval is the longest time between two rounds.
	checkInterval = 5 * time.Second
	// minRetryDelay and maxRetryDelay limit the delay after a failed write.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// Book holds what this VM knows about the suspects of one service; see dispatch.Dispatcher.
type Book interface {
	TakeSuspectChanges() quarantine.Changes
	RetakeSuspectChanges(c quarantine.Changes)
	WantedTrials() []quarantine.Trial
	TrialReserved(trial quarantine.Trial, isOwn bool)
	ApplyStoredSuspects(records []quarantine.Record, isStoreOlder bool)
}

// Options configure a Store.
type Options struct {
	// VM is the name of this VM.
	VM string
	// Books returns the books of the services by their names.
	Books func() map[string]Book
	// Write writes and deletes rows, all of them or none.
	Write func(ctx context.Context, writes []platform.Row, deletions []string) error
	// Insert writes a row that must not exist yet; otherwise it returns
	// platform.ErrConflict.
	Insert   func(ctx context.Context, row platform.Row) error
	Log      hclog.Logger
	Counters *telemetry.Counters
}

// Store connects the books of a VM with the platform's store. It is safe for concurrent use.
type Store struct {
	options Options
	wake    chan struct{}

	mu sync.Mutex
	// latest holds the records of the last snapshot by service, era is its era.
	latest      map[string][]quarantine.Record
	era         platform.Era
	hasSnapshot bool
	// known holds the services whose books have got the last snapshot.
	known map[string]struct{}
}

// New returns a Store without a snapshot.
func New(options Options) *Store {
	return &Store{options: options, wake: make(chan struct{}, 1), known: make(map[string]struct{})}
}

// Wake tells the Store that a book has changes. It does not block.
func (s *Store) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run writes the changes of the books until ctx ends. It always returns nil.
func (s *Store) Run(ctx context.Context) error {
	var retryDelay time.Duration
	for ctx.Err() == nil {
		timer := time.NewTimer(checkInterval)
		select {
		case <-s.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if !wait.For(ctx, batchDelay) {
			return nil
		}
		if err := s.flushConfined(ctx); err != nil && ctx.Err() == nil {
			retryDelay = min(max(2*retryDelay, minRetryDelay), maxRetryDelay)
			s.options.Counters.Add(telemetry.GroupQuarantine, "write_failed", 1)
			s.options.Log.Warn("failed to store suspects", telemetry.FieldError, err, "retry_ms", retryDelay.Milliseconds())
			wait.For(ctx, wait.Jitter(retryDelay))
			s.Wake()
			continue
		}
		retryDelay = 0
		wait.For(ctx, minWriteInterval-batchDelay)
	}
	return nil
}

// errPanicked means that a write of suspects ended with a panic.
var errPanicked = errors.New("suspectstore: write panicked")

// flushConfined runs flush; a panic is a failed write.
func (s *Store) flushConfined(ctx context.Context) error {
	err := errPanicked
	confine.Run(s.options.Log, s.options.Counters, confine.Suspects, func() { err = s.flush(ctx) })
	return err
}

// flush writes the changes of all books and reserves the trials that are due.
func (s *Store) flush(ctx context.Context) error {
	for service, book := range s.options.Books() {
		if err := s.write(ctx, service, book); err != nil {
			return err
		}
		if err := s.reserveTrials(ctx, service, book); err != nil {
			return err
		}
	}
	return nil
}

// write writes the changes of one book.
func (s *Store) write(ctx context.Context, service string, book Book) error {
	changes := book.TakeSuspectChanges()
	if changes.IsEmpty() {
		return nil
	}
	isWritten := false
	defer func() {
		if !isWritten {
			book.RetakeSuspectChanges(changes)
		}
	}()
	writes, deletions, err := rowsOf(service, changes)
	if err == nil {
		err = s.options.Write(ctx, writes, deletions)
	}
	if err != nil {
		return errors.Wrapf(err, "write suspects of %s", service)
	}
	isWritten = true
	s.options.Counters.Add(telemetry.GroupQuarantine, "rows_written", int64(len(writes)))
	s.options.Counters.Add(telemetry.GroupQuarantine, "rows_deleted", int64(len(deletions)))
	return nil
}

// reserveTrials reserves the trials that a book wants. If the response to a reservation is
// lost, the next attempt finds the trial reserved, and nobody makes it.
func (s *Store) reserveTrials(ctx context.Context, service string, book Book) error {
	for _, trial := range book.WantedTrials() {
		err := s.options.Insert(ctx, platform.Row{Key: trialKeyOf(service, trial), Value: []byte(s.options.VM)})
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return errors.Wrapf(err, "reserve trial %d of %s", trial.Number, trial.Digest)
		}
		book.TrialReserved(trial, err == nil)
	}
	return nil
}

// Apply tells the books what a snapshot of the rows holds. Malformed rows are counted, logged
// and left out.
func (s *Store) Apply(snapshot platform.Snapshot) {
	records := make(map[string][]quarantine.Record)
	for _, row := range snapshot.Rows {
		service, record, isRecord, err := decodeRow(row)
		switch {
		case err != nil:
			s.options.Counters.Add(telemetry.GroupQuarantine, "rows_malformed", 1)
			s.options.Log.Warn("failed to decode the row of a suspect", "key", row.Key, telemetry.FieldError, err)
		case isRecord:
			records[service] = append(records[service], record)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	isStoreOlder := s.hasSnapshot && s.era != snapshot.Era
	s.latest, s.era, s.hasSnapshot = records, snapshot.Era, true
	for service, book := range s.options.Books() {
		book.ApplyStoredSuspects(records[service], isStoreOlder)
		s.known[service] = struct{}{}
	}
	if isStoreOlder {
		s.Wake()
	}
}

// Refresh tells the books of services that are new since the last snapshot what it holds.
func (s *Store) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasSnapshot {
		return
	}
	for service, book := range s.options.Books() {
		if _, ok := s.known[service]; !ok {
			s.known[service] = struct{}{}
			book.ApplyStoredSuspects(s.latest[service], false)
		}
	}
}
