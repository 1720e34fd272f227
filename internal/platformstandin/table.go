package platformstandin

import (
	"slices"
	"strings"
	"sync"

	"github.com/figfront/figfront/internal/platform"
)

// table is the in-memory table of the stand-in. It is safe for concurrent use.
type table struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	// keys holds the keys of rows in ascending order.
	keys []string

	// writes and reads count as in Load.
	writes int64
	reads  int64
}

func newTable() *table {
	return &table{rows: make(map[string]platform.Row)}
}

// commit applies a transaction atomically. It returns false and applies nothing if a
// condition does not hold.
func (t *table) commit(tx platform.Transaction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, condition := range tx.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return false
		}
	}
	for _, write := range tx.Writes {
		t.apply(write)
	}
	return true
}

func (t *table) apply(write platform.Write) {
	row, found := t.rows[write.Key]
	position, _ := slices.BinarySearch(t.keys, write.Key)
	if write.Delete {
		if found {
			t.keys = slices.Delete(t.keys, position, position+1)
			delete(t.rows, write.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, position, write.Key)
	}
	t.rows[write.Key] = platform.Row{Key: write.Key, Version: row.Version + 1, Value: write.Value}
}

func (t *table) get(key string) (platform.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	return row, ok
}

// list returns the rows of a page in ascending order of their keys.
func (t *table) list(page platform.Page) []platform.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	start, _ := slices.BinarySearch(t.keys, max(page.Prefix, page.After))
	rows := []platform.Row{}
	for _, key := range t.keys[start:] {
		if !strings.HasPrefix(key, page.Prefix) || len(rows) == page.Limit {
			break
		}
		if key != page.After {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

// Load counts the requests that the table has served: each transaction as one write,
// even if a condition did not hold, and each read of a row or a page as one read.
type Load struct {
	Writes int64 `json:"writes"`
	Reads  int64 `json:"reads"`
}

func (t *table) load() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Load{Writes: t.writes, Reads: t.reads}
}
