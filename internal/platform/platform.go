package platform

import (
	"context"
	"io"
	"time"
)

// Row is a row of the table.
type Row struct {
	Key string `json:"key"`
	// Version counts the writes to the row. A row that does not exist has version 0.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition requires a row to have a version; version 0 requires that the row does not
// exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that are applied atomically if all conditions are met.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Page selects a range of the rows with a key prefix, in key order.
type Page struct {
	Prefix string
	// After is the key after which the page starts; empty means the first key with the
	// prefix.
	After string
	// Limit is the maximum number of rows; 0 means DefaultPageRows.
	Limit int
}

// DefaultPageRows is the maximum number of rows of a page whose Limit is 0.
const DefaultPageRows = 500

// Table is the platform's transactional table.
type Table interface {
	// Commit runs a transaction. It returns ErrConflict or ErrUnavailable if nothing
	// was written, and ErrUncertain if the result is unknown.
	Commit(ctx context.Context, tx Transaction) error
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows of a page in key order.
	List(ctx context.Context, page Page) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object atomically; size is its length in bytes. If body ends before
	// size bytes were read, nothing is stored.
	Put(ctx context.Context, key string, body io.Reader, size int64) error
	// Open returns a reader of an object and its size in bytes, or ErrNotFound. The
	// caller must close the reader.
	Open(ctx context.Context, key string) (io.ReadCloser, int64, error)
	// Delete deletes an object. It is not an error if the object does not exist.
	Delete(ctx context.Context, key string) error
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is where the VM's agent serves other processes, as IP:port.
	Address string `json:"address"`
	// Leaving means that the platform is about to remove the VM.
	Leaving bool `json:"leaving"`
	// Capacity is the processor capacity that the VM has for work on behalf of other
	// VMs, in cores; 0 means unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// VMLister is the platform's list of VMs.
type VMLister interface {
	// VMs returns the list, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}

// Snapshot holds the rows of a record set at a version of the store.
type Snapshot struct {
	Rows []Row
	// Position is the store's position; Records.Wait returns the changes after it.
	Position
	// StoreTime is the reading of the store's monotonic clock; 0 means unknown.
	StoreTime time.Duration
	// Unreadable is the number of rows that are left out because their keys can't be read.
	Unreadable int
}

// Change is a write or deletion of a row.
type Change struct {
	Row
	Deleted bool
}

// Changes holds the changes of a record set since a version of the store.
type Changes struct {
	Changes []Change
	// Position is the store's position up to which the changes are complete.
	Position
	// StoreTime is the reading of the store's monotonic clock; 0 means unknown.
	StoreTime time.Duration
	// Unreadable is the number of changes that are left out because their keys can't be read.
	Unreadable int
}

// Records gives access to a record set: rows that are read once and then kept up to
// date by long polling for changes.
type Records interface {
	// Read returns all rows, or ErrUnavailable or ErrUncertain if the store can't be
	// read.
	Read(ctx context.Context) (Snapshot, error)
	// Wait returns the changes after a position. It waits for at least one change, but
	// no longer than limit, after which it returns none. It returns ErrHistoryGone if
	// the store does not have all changes since that position, for example because its
	// era is another one.
	Wait(ctx context.Context, after Position, limit time.Duration) (Changes, error)
}

// With returns a copy of the snapshot with the changes applied. Changes that the
// snapshot already contains have no effect. The copy has the store time of the changes.
func (s Snapshot) With(changes Changes) Snapshot {
	rows := make(map[string]Row, len(s.Rows))
	order := make([]string, 0, len(s.Rows))
	for _, row := range s.Rows {
		rows[row.Key] = row
		order = append(order, row.Key)
	}
	for _, change := range changes.Changes {
		_, isKnown := rows[change.Key]
		if change.Deleted {
			delete(rows, change.Key)
			continue
		}
		if !isKnown {
			order = append(order, change.Key)
		}
		rows[change.Key] = change.Row
	}
	next := Snapshot{Position: s.Position, StoreTime: changes.StoreTime, Unreadable: changes.Unreadable}
	if next.IsBefore(changes.Position) {
		next.Position = changes.Position
	}
	for _, key := range order {
		if row, ok := rows[key]; ok {
			next.Rows = append(next.Rows, row)
			delete(rows, key)
		}
	}
	return next
}
