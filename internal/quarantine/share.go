package quarantine

import (
	"time"
)

// Merge records what another VM knows about a request.
func (t *Table) Merge(now time.Time, r Record) {
	e, ok := t.entries[r.Digest]
	if !ok {
		if !r.isSuspect() {
			return
		}
		t.makeRoom(now)
		e = &entry{record: Record{Digest: r.Digest, Clears: r.Clears}}
		t.entries[r.Digest] = e
	}
	before := e.record
	if !e.record.merge(r) {
		return
	}
	t.changed(now, e)
	switch {
	case len(e.record.Ended) > len(before.Ended):
		if !before.isSuspect() {
			e.firstEndAt = now
		}
		e.lastEndAt = now
		t.observe(Event{Kind: Learned, Record: e.record})
	case before.isSuspect() && !e.record.isSuspect():
		t.observe(Event{Kind: Cleared, Record: e.record})
	}
	if e.record.LateSends > before.LateSends {
		e.lastLateAt = now
	}
	t.holdIfDue(now, e)
	if !e.record.IsHeld {
		e.trial = trial{}
		return
	}
	if e.record.LateSends > before.LateSends {
		e.trial = trial{since: now}
	}
}

// Notices returns what has changed since a version, the most dangerous first, and the present
// version.
func (t *Table) Notices(since uint64) ([]Record, uint64) {
	if since == t.version {
		return nil, t.version
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.version > since {
			changed = append(changed, e)
		}
	}
	records := recordsOf(changed)
	return records[:min(len(records), maxNotices)], t.version
}

// Changes are the changes of rows that bring the store up to date.
type Changes struct {
	Writes  []Record
	Deletes []Digest
}

// IsEmpty reports whether there are none.
func (c Changes) IsEmpty() bool {
	return len(c.Writes) == 0 && len(c.Deletes) == 0
}

// TakeChanges returns at most limit changes of rows. Records with fewer than minEnded ends are
// kept back, unless they are stored.
func (t *Table) TakeChanges(minEnded, limit int) Changes {
	var c Changes
	for digest := range t.dirty {
		if len(c.Writes)+len(c.Deletes) >= limit {
			break
		}
		e, ok := t.entries[digest]
		switch {
		case !ok:
			c.Deletes = append(c.Deletes, digest)
		case !e.record.isSuspect():
			if e.hasRow() {
				c.Deletes = append(c.Deletes, digest)
			}
			e.isWritten = false
		case len(e.record.Ended) < minEnded && !e.hasRow():
			continue
		default:
			c.Writes = append(c.Writes, recordsOf([]*entry{e})...)
			e.isWritten = true
		}
		delete(t.dirty, digest)
	}
	return c
}

// Retake makes changes that could not be written due again.
func (t *Table) Retake(c Changes) {
	for _, r := range c.Writes {
		t.dirty[r.Digest] = struct{}{}
	}
	for _, digest := range c.Deletes {
		t.dirty[digest] = struct{}{}
		if e, ok := t.entries[digest]; ok {
			e.isWritten = true
		}
	}
}

// ApplyStored records the rows of the store. A request whose row is gone was cleared by
// another VM, unless the store has come back from an older copy: then the row is written
// again.
func (t *Table) ApplyStored(now time.Time, rows []Record, isStoreOlder bool) {
	present := make(map[Digest]struct{}, len(rows))
	for _, r := range rows {
		present[r.Digest] = struct{}{}
		t.Merge(now, r)
		e, ok := t.entries[r.Digest]
		if !ok {
			continue
		}
		e.isStored = true
		if r.Clears < e.record.Clears {
			t.dirty[r.Digest] = struct{}{}
		}
	}
	for digest, e := range t.entries {
		if _, ok := present[digest]; ok || !e.isStored {
			continue
		}
		e.isStored = false
		switch {
		case !e.record.isSuspect():
		case isStoreOlder:
			t.dirty[digest] = struct{}{}
		default:
			t.clearEntry(now, e, nil)
			delete(t.dirty, digest)
		}
	}
}
