package platform

import (
	"context"
	"io"
	"time"
)

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version counts the row's writes; an absent row has version 0.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition is a condition of a transaction: the row has this version. Version
// 0 means that the row is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is a set of writes that take effect together if all conditions
// hold.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Page asks for the rows of a prefix in key order.
type Page struct {
	Prefix string
	// After is the key behind which the page starts; empty starts at the
	// prefix.
	After string
	// Limit is the largest number of rows; 0 means DefaultPageRows.
	Limit int
}

// DefaultPageRows is the number of rows of a page that asks for no limit.
const DefaultPageRows = 500

// Table is the platform's transactional table.
type Table interface {
	// Commit runs a transaction. It returns ErrConflict or ErrUnavailable when
	// nothing was written and ErrUncertain when that isn't known.
	Commit(ctx context.Context, tx Transaction) error
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows of a page in key order.
	List(ctx context.Context, page Page) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Put stores an object whole; size is its length in bytes. An object whose
	// body ends early is not stored.
	Put(ctx context.Context, key string, body io.Reader, size int64) error
	// Open opens an object and returns its size in bytes, or ErrNotFound. The
	// caller closes it.
	Open(ctx context.Context, key string) (io.ReadCloser, int64, error)
	// Delete removes an object; an absent one is no error.
	Delete(ctx context.Context, key string) error
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Address is where the VM's agent serves the other processes, as IP:port.
	Address string `json:"address"`
	// Leaving means that the platform is about to take the VM away.
	Leaving bool `json:"leaving"`
	// Capacity is how much work for others the VM can do, in cores; 0 means that it
	// is not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// Membership is the platform's list of VMs, which lags behind.
type Membership interface {
	VMs(ctx context.Context) ([]VM, error)
}

// Snapshot holds the rows of a record set as of one moment.
type Snapshot struct {
	Rows []Row
	// Version is that of the store at that moment; changes are read from it.
	Version uint64
	// StoreTime is what the store's steady clock showed; 0 when that is not known.
	StoreTime time.Duration
}

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Changes are what has happened to a record set since a version.
type Changes struct {
	Changes []Change
	// Version is the one from which to read on.
	Version uint64
	// StoreTime is what the store's steady clock showed; 0 when that is not known.
	StoreTime time.Duration
}

// Records is a set of rows that others write and that this VM follows.
type Records interface {
	// Read returns all rows. It returns ErrUnavailable or ErrUncertain when it
	// can't.
	Read(ctx context.Context) (Snapshot, error)
	// Wait returns the changes after a version as soon as there is one, or none
	// after the given time. It returns ErrHistoryGone when the store no longer
	// knows them all.
	Wait(ctx context.Context, after uint64, limit time.Duration) (Changes, error)
}

// With returns the snapshot after changes. Changes that the snapshot holds
// already change nothing.
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
	next := Snapshot{Version: max(s.Version, changes.Version), StoreTime: changes.StoreTime}
	for _, key := range order {
		if row, ok := rows[key]; ok {
			next.Rows = append(next.Rows, row)
			delete(rows, key)
		}
	}
	return next
}
