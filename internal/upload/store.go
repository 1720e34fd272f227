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

// Keys of the table. A record is below pendingPrefix until its delivery has
// ended and below donePrefix from then on.
const (
	pendingPrefix = "uploads/pending/"
	donePrefix    = "uploads/done/"
	objectPrefix  = "uploads/"
)

// commitPause is the pause between two tries of a write whose fate is not
// known.
const commitPause = 200 * time.Millisecond

// Store keeps records in the platform's table.
type Store struct {
	table platform.Table
}

// NewStore returns a Store in table.
func NewStore(table platform.Table) *Store {
	return &Store{table: table}
}

// Stored is a record together with its version in the table.
type Stored struct {
	Record  Record
	version uint64
}

// Create writes a new record. It returns ErrExists when the id is taken,
// ErrUnavailable when nothing was written and ErrUncertain when ctx ended
// before that was known.
func (s *Store) Create(ctx context.Context, r Record) error {
	value, err := r.Encode()
	if err != nil {
		return err
	}
	tx := platform.Transaction{
		Conditions: []platform.Condition{{Key: pendingPrefix + r.ID}, {Key: donePrefix + r.ID}},
		Writes:     []platform.Write{{Key: pendingPrefix + r.ID, Value: value}},
	}
	return s.commit(ctx, tx, func(ctx context.Context) error { return s.settle(ctx, r) })
}

// commit runs a transaction and repeats it while its fate is not known; settle
// tells whether one that did not hold had taken effect before.
func (s *Store) commit(ctx context.Context, tx platform.Transaction, settle func(context.Context) error) error {
	isUncertain := false
	for {
		err := s.table.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			err = settle(ctx)
			if !errors.Is(err, ErrUnavailable) {
				return err
			}
		case errors.Is(err, platform.ErrUnavailable) && !isUncertain:
			return errors.Wrap(ErrUnavailable, err.Error())
		default:
			isUncertain = true
		}
		if !wait.For(ctx, commitPause) {
			return errors.Wrap(ErrUncertain, err.Error())
		}
	}
}

// settle tells whether the record with the id of r is r itself.
func (s *Store) settle(ctx context.Context, r Record) error {
	found, err := s.Get(ctx, r.ID)
	if errors.Is(err, ErrNotFound) {
		return errors.Wrap(ErrUnavailable, "record between two places")
	}
	if err != nil {
		return err
	}
	if found.Record.Body.Prefix != r.Body.Prefix {
		return ErrExists
	}
	return nil
}

// Get returns a record. It reads the pending one first, because a record moves
// only from there to the ended ones.
func (s *Store) Get(ctx context.Context, id string) (Stored, error) {
	for _, prefix := range []string{pendingPrefix, donePrefix} {
		row, err := s.table.Get(ctx, prefix+id)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return Stored{}, errors.Wrap(ErrUnavailable, err.Error())
		}
		record, err := Decode(row.Value)
		if err != nil {
			return Stored{}, err
		}
		return Stored{Record: record, version: row.Version}, nil
	}
	return Stored{}, ErrNotFound
}

// Listing is a page of records.
type Listing struct {
	Uploads []Stored
	// Next is where the next page starts; empty after the last one.
	Next string
	// Corrupt is the number of rows that are not readable.
	Corrupt int
}

// Pending returns a page of at most limit records behind after.
func (s *Store) Pending(ctx context.Context, after string, limit int) (Listing, error) {
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
		listing.Uploads = append(listing.Uploads, Stored{Record: record, version: row.Version})
	}
	if len(rows) == page.Limit {
		listing.Next = rows[len(rows)-1].Key
	}
	return listing, nil
}

// Update replaces a record by its next state. It returns ErrLeaseLost when the
// record changed since it was read; nothing is written then.
func (s *Store) Update(ctx context.Context, from Stored, next Record) (Stored, error) {
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
	err = s.commit(ctx, tx, func(ctx context.Context) error { return s.settleUpdate(ctx, next.ID, value) })
	if err != nil {
		return from, err
	}
	return Stored{Record: next, version: from.version + 1}, nil
}

// settleUpdate tells whether the record with this id is the one with value.
func (s *Store) settleUpdate(ctx context.Context, id string, value []byte) error {
	found, err := s.Get(ctx, id)
	if errors.Is(err, ErrUnavailable) {
		return err
	}
	if err != nil {
		return ErrLeaseLost
	}
	now, err := found.Record.Encode()
	if err != nil {
		return err
	}
	if !bytes.Equal(now, value) {
		return ErrLeaseLost
	}
	return nil
}

// Ended returns a page of at most limit records whose delivery has ended,
// behind after.
func (s *Store) Ended(ctx context.Context, after string, limit int) (Listing, error) {
	return s.list(ctx, platform.Page{Prefix: donePrefix, After: after, Limit: limit})
}

// Forget deletes a record whose delivery has ended.
func (s *Store) Forget(ctx context.Context, ended Stored) error {
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
