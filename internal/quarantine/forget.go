package quarantine

import (
	"cmp"
	"time"
)

// Prune forgets what is too old.
func (t *Table) Prune(now time.Time) {
	for digest, e := range t.entries {
		age := now.Sub(e.changedAt)
		switch {
		case !e.record.isSuspect() && age >= clearedLife && !e.isStored:
			delete(t.entries, digest)
		case e.record.isSuspect() && !e.record.IsHeld && age >= suspectLife:
			t.forget(e)
		}
	}
	for process, at := range t.endedAt {
		if now.Sub(at) >= suspectLife {
			delete(t.endedAt, process)
		}
	}
}

// forget removes an entry and has its row deleted.
func (t *Table) forget(e *entry) {
	delete(t.entries, e.record.Digest)
	delete(t.dirty, e.record.Digest)
	if e.hasRow() {
		t.dirty[e.record.Digest] = struct{}{}
	}
	t.observe(Event{Kind: Forgotten, Record: e.record})
}

// makeRoom removes the least dangerous entry if the Table is full: the one with the fewest
// ends, the longest unchanged among them.
func (t *Table) makeRoom(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	t.Prune(now)
	if len(t.entries) < maxEntries {
		return
	}
	var least *entry
	for _, e := range t.entries {
		if least == nil || compareDanger(e, least) < 0 {
			least = e
		}
	}
	t.forget(least)
}

// compareDanger orders entries by their ends, then by the time of their last change.
func compareDanger(a, b *entry) int {
	return cmp.Or(cmp.Compare(len(a.record.Ended), len(b.record.Ended)), a.changedAt.Compare(b.changedAt))
}
