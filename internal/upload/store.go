package upload

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/wait"
)

// Key prefixes in the table and the object store. A record is stored under
// pendingPrefix until its delivery has ended, and under donePrefix afterwards.
// The parts of bodies are stored under objectPrefix in the object store.
const (
	pendingPrefix = "uploads/pending/"
	donePrefix    = "uploads/done/"
	objectPrefix  = "uploads/"
)

// commitRetryDelay is the delay before a write with an unknown result is
// retried.
const commitRetryDelay = 200 * time.Millisecond

// Store stores records in the platform's table. It is safe for concurrent use.
type Store struct {
	table platform.Table
}

// NewStore returns a Store that uses table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table}
}

// VersionedRecord is a record with the version of its row in the table.
type VersionedRecord struct {
	Record  Record
	version uint64
}

// Create writes a new record. It returns ErrExists if another upload has the ID,
// ErrUnavailable if nothing was written, and ErrUncertain if ctx was done before
// the result was known.
func (s *Store) Create(ctx context.Context, r Record) error {
	value, err := r.Encode()
	if err != nil {
		return err
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{{Key: pendingPrefix + r.ID}, {Key: donePrefix + r.ID}},
		Writes:     []platform.Write{{Key: pendingPrefix + r.ID, Value: value}},
	}
	return s.commit(ctx, tx, func(ctx context.Context) error { return s.checkCreated(ctx, r) })
}

// commit commits a transaction and retries it while its result is unknown. If a
// condition of the transaction fails, an earlier try may have been applied:
// check returns nil if so, ErrUnavailable if the commit has to be retried, and
// otherwise the error to return.
func (s *Store) commit(ctx context.Context, tx platform.Transaction, check func(context.Context) error) error {
	isUncertain := false
	for {
		err := s.table.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			err = check(ctx)
			if !errors.Is(err, ErrUnavailable) {
				return err
			}
		case errors.Is(err, platform.ErrUnavailable) && !isUncertain:
			return errors.Wrap(ErrUnavailable, err.Error())
		default:
			isUncertain = true
		}
		if !wait.For(ctx, commitRetryDelay) {
			return errors.Wrap(ErrUncertain, err.Error())
		}
	}
}

// checkCreated returns nil if the stored record with r's ID is r itself,
// ErrExists if it is another upload, and ErrUnavailable if there is no such
// record or the table cannot be read.
func (s *Store) checkCreated(ctx context.Context, r Record) error {
	found, err := s.Get(ctx, r.ID)
	if errors.Is(err, ErrNotFound) {
		return errors.Wrap(ErrUnavailable, "record is being moved")
	}
	if err != nil {
		return err
	}
	if found.Record.Body.Prefix != r.Body.Prefix {
		return ErrExists
	}
	return nil
}

// Get returns the record with an ID, or ErrNotFound. It reads the key of a
// pending record first, because a record moves only from pending to ended.
func (s *Store) Get(ctx context.Context, id string) (VersionedRecord, error) {
	for _, prefix := range []string{pendingPrefix, donePrefix} {
		row, err := s.table.Get(ctx, prefix+id)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return VersionedRecord{}, errors.Wrap(ErrUnavailable, err.Error())
		}
		record, err := Decode(row.Value)
		if err != nil {
			return VersionedRecord{}, err
		}
		return VersionedRecord{Record: record, version: row.Version}, nil
	}
	return VersionedRecord{}, ErrNotFound
}

// Listing is a page of records.
type Listing struct {
	Uploads []VersionedRecord
	// Next is the key to pass as after for the next page; empty after the last
	// page.
	Next string
	// Corrupt is the number of rows that could not be decoded.
	Corrupt int
}

// ListPending returns a page of at most limit pending records with keys greater
// than after.
func (s *Store) ListPending(ctx context.Context, after string, limit int) (Listing, error) {
	return s.list(ctx, platform.Page{Prefix: pendingPrefix, After: after, Limit: limit})
}

func (s *Store) list(ctx context.Context, page platform.Page) (Listing, error) {
	rows, err := s.table.List(ctx, page)
	if err != nil {
		return Listing{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	var listing Listing
	for _, row := range rows {
		record, err := Decode(row.Value)
		if err != nil || record.ID != strings.TrimPrefix(row.Key, page.Prefix) {
			listing.Corrupt++
			continue
		}
		listing.Uploads = append(listing.Uploads, VersionedRecord{Record: record, version: row.Version})
	}
	if len(rows) == page.Limit {
		listing.Next = rows[len(rows)-1].Key
	}
	return listing, nil
}

// Update replaces the record from with next and returns next with its new
// version. If the record has changed since it was read, nothing is written and
// ErrLeaseLost is returned. On an error the first result is from.
func (s *Store) Update(ctx context.Context, from VersionedRecord, next Record) (VersionedRecord, error) {
	value, err := next.Encode()
	if err != nil {
		return from, err
	}
	pendingKey := pendingPrefix + next.ID
	tx := platform.Transaction{
		Conditions: []platform.Condition{{Key: pendingKey, Version: from.version}},
		Writes:     []platform.Write{{Key: pendingKey, Value: value}},
	}
	if next.IsFinal() {
		tx.Writes = []platform.Write{{Key: pendingKey, Delete: true}, {Key: donePrefix + next.ID, Value: value}}
	}
	err = s.commit(ctx, tx, func(ctx context.Context) error { return s.checkUpdated(ctx, next.ID, value) })
	if err != nil {
		return from, err
	}
	return VersionedRecord{Record: next, version: from.version + 1}, nil
}

// checkUpdated returns nil if the stored record with this ID has the given value
// and ErrLeaseLost if not.
func (s *Store) checkUpdated(ctx context.Context, id string, value []byte) error {
	found, err := s.Get(ctx, id)
	if errors.Is(err, ErrUnavailable) {
		return err
	}
	if err != nil {
		return ErrLeaseLost
	}
	encoded, err := found.Record.Encode()
	if err != nil {
		return err
	}
	if !bytes.Equal(encoded, value) {
		return ErrLeaseLost
	}
	return nil
}

// ListEnded returns a page of at most limit records whose delivery has ended,
// with keys greater than after.
func (s *Store) ListEnded(ctx context.Context, after string, limit int) (Listing, error) {
	return s.list(ctx, platform.Page{Prefix: donePrefix, After: after, Limit: limit})
}

// DeleteEnded deletes a record whose delivery has ended, unless it has changed.
func (s *Store) DeleteEnded(ctx context.Context, ended VersionedRecord) error {
	key := donePrefix + ended.Record.ID
	err := s.table.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: key, Version: ended.version}},
		Writes:     []platform.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
