package quarantine

import (
	"slices"
	"time"
)

// Limits of a Table.
const (
	// maxEntries is the number of requests that are remembered. The least dangerous one is
	// forgotten first.
	maxEntries = 512
	// suspectLife is how long a suspect that is not held is remembered after its last end.
	suspectLife = time.Hour
	// clearedLife is how long a clear is remembered, so that records of other VMs from
	// before don't bring the suspicion back.
	clearedLife = time.Minute
	// unresolvedLife is how long after a send has broken a restart of its upstream shows
	// that it had ended.
	unresolvedLife = 15 * time.Second
	// maxUnresolved limits the broken sends that are remembered.
	maxUnresolved = 1024
	// maxAllEnded limits the processes that are remembered as ended under one request.
	maxAllEnded = 32
	// maxNotices limits the result of Notices.
	maxNotices = 32
)

// Table remembers under which requests the upstreams of a service have ended. It is not safe
// for concurrent use.
type Table struct {
	observe func(Event)
	entries map[Digest]*entry
	// inFlight counts the sends in flight by request.
	inFlight map[Digest]int
	// endedAt holds when the upstream processes ended that count as ended.
	endedAt map[string]time.Time
	// completed holds the requests that got a complete response lately.
	completed recentSet
	// unresolved holds the sends that broke lately, oldest first.
	unresolved []unresolvedSend
	// version counts the changes; dirty holds the requests whose stored row is outdated.
	version uint64
	dirty   map[Digest]struct{}
}

// entry is the state of one request.
type entry struct {
	record Record
	// firstEndAt and lastEndAt are when this VM learned of the first and the last end.
	firstEndAt, lastEndAt time.Time
	// lastLateAt is when this VM sent the request late, or learned that another one did.
	lastLateAt time.Time
	// allEnded names the processes that have ended under the request, those that count for
	// nothing because they ended at the same time among them.
	allEnded  []string
	changedAt time.Time
	// version is that of the Table at the last change.
	version uint64
	// isStored means that the store's last snapshot had a row of the request, isWritten that
	// this VM has written one since it was last deleted.
	isStored, isWritten bool
	trial               trial
}

// unresolvedSend is a send that broke while its upstream was not known to have ended.
type unresolvedSend struct {
	id       Identity
	process  string
	sentAt   time.Time
	brokenAt time.Time
}

// NewTable returns an empty Table. observe is called for each Event; nil means that nobody
// observes.
func NewTable(observe func(Event)) *Table {
	if observe == nil {
		observe = func(Event) {}
	}
	return &Table{
		observe: observe, entries: make(map[Digest]*entry), inFlight: make(map[Digest]int),
		endedAt: make(map[string]time.Time), dirty: make(map[Digest]struct{}),
	}
}

// changed records a change of an entry.
func (t *Table) changed(now time.Time, e *entry) {
	t.version++
	e.version = t.version
	e.changedAt = now
}

// addEnds adds an end to both records of a request.
func (t *Table) addEnds(now time.Time, id Identity, process string, sentAt time.Time) {
	t.addEnd(now, id.Exact, nil, process, sentAt)
	t.addEnd(now, id.AnyCaller, []uint32{id.callerID()}, process, sentAt)
}

// addEnd adds an end to a record, unless it counts for nothing: a send that began before the
// last end was known ended its upstream at the same time.
func (t *Table) addEnd(now time.Time, digest Digest, callers []uint32, process string, sentAt time.Time) {
	e, ok := t.entries[digest]
	if !ok {
		t.makeRoom(now)
		e = &entry{record: Record{Digest: digest}}
		t.entries[digest] = e
	}
	e.noteEnded(process)
	if e.record.IsHeld {
		t.acquitOthers(now, e, process)
	}
	t.endedAt[process] = now
	isAtTheSameTime := e.record.isSuspect() && sentAt.Before(e.lastEndAt)
	if isAtTheSameTime || t.isExplained(e, process) || !e.record.addEnded(process) {
		t.holdIfDue(now, e)
		return
	}
	if len(e.record.Ended) == 1 {
		e.firstEndAt = now
	}
	for _, caller := range callers {
		e.record.addCaller(caller)
	}
	e.lastEndAt = now
	t.changed(now, e)
	t.dirty[digest] = struct{}{}
	t.observe(Event{Kind: UpstreamEnded, Record: e.record, Upstream: process})
	t.holdIfDue(now, e)
}

// clearEntry clears a request, but for the ends that keep is true for.
func (t *Table) clearEntry(now time.Time, e *entry, keep func(process string) bool) {
	wasSuspect := e.record.isSuspect()
	e.record.clear(keep)
	e.allEnded = slices.Clone(e.record.Ended)
	if !e.record.IsHeld {
		e.trial = trial{}
	}
	t.changed(now, e)
	if e.hasRow() || e.record.isSuspect() {
		t.dirty[e.record.Digest] = struct{}{}
	}
	if wasSuspect && !e.record.isSuspect() {
		t.observe(Event{Kind: Cleared, Record: e.record})
	}
}

// Clear clears a request on behalf of an operator. It returns false if it is no suspect.
func (t *Table) Clear(now time.Time, digest Digest) bool {
	e, ok := t.entries[digest]
	if !ok || !e.record.isSuspect() {
		return false
	}
	t.clearEntry(now, e, nil)
	return true
}

// markAlive removes a process that counted as ended although it has answered a request that
// was sent at sentAt.
func (t *Table) markAlive(now time.Time, process string, sentAt time.Time) {
	endedAt, ok := t.endedAt[process]
	if !ok || !sentAt.After(endedAt) {
		return
	}
	delete(t.endedAt, process)
	for _, e := range t.entries {
		if !slices.Contains(e.record.Ended, process) {
			continue
		}
		t.clearEntry(now, e, func(other string) bool { return other != process })
		t.observe(Event{Kind: UpstreamLives, Record: e.record, Upstream: process})
	}
}

// Restarted records that an upstream process has been replaced by a later start of the same
// upstream. The sends that broke at it lately ran on a process that has ended.
func (t *Table) Restarted(now time.Time, process string) {
	for _, u := range t.unresolved {
		if u.process == process && now.Sub(u.brokenAt) < unresolvedLife {
			t.addEnds(now, u.id, process, u.sentAt)
		}
	}
}

// addUnresolved remembers a send that broke.
func (t *Table) addUnresolved(now time.Time, s *Send) {
	t.unresolved = slices.DeleteFunc(t.unresolved, func(u unresolvedSend) bool { return now.Sub(u.brokenAt) >= unresolvedLife })
	if len(t.unresolved) >= maxUnresolved {
		t.unresolved = t.unresolved[1:]
	}
	t.unresolved = append(t.unresolved, unresolvedSend{id: s.id, process: s.process, sentAt: s.at, brokenAt: now})
}

// noteEnded adds a process to allEnded.
func (e *entry) noteEnded(process string) {
	if slices.Contains(e.allEnded, process) {
		return
	}
	e.allEnded = append(e.allEnded, process)
	if len(e.allEnded) > maxAllEnded {
		e.allEnded = e.allEnded[1:]
	}
}

// hasRow reports whether the store may have a row of the request.
func (e *entry) hasRow() bool {
	return e.isStored || e.isWritten
}

// Suspects returns the records of all suspects, the most dangerous first.
func (t *Table) Suspects() []Record {
	var suspects []*entry
	for _, e := range t.entries {
		if e.record.isSuspect() {
			suspects = append(suspects, e)
		}
	}
	return recordsOf(suspects)
}

// recordsOf returns the records of entries, the most dangerous first.
func recordsOf(entries []*entry) []Record {
	slices.SortFunc(entries, func(a, b *entry) int { return compareDanger(b, a) })
	records := make([]Record, 0, len(entries))
	for _, e := range entries {
		record := e.record
		record.Ended = slices.Clone(record.Ended)
		record.Callers = slices.Clone(record.Callers)
		records = append(records, record)
	}
	return records
}
