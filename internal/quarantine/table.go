package quarantine

import (
	"cmp"
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

// holdIfDue holds a request under which enough upstreams have ended.
func (t *Table) holdIfDue(now time.Time, e *entry) {
	doubt := t.doubt(e)
	isEnough := len(e.record.Ended) >= MaxEnded+doubt || e.record.LateSends >= MaxLateSends
	isDue := isEnough && e.record.mayWithhold()
	if !e.record.IsHeld && !isDue {
		return
	}
	e.record.IsHeld = true
	if !e.trial.since.IsZero() {
		return
	}
	e.trial = trial{since: now, isInDoubt: doubt > 0}
	t.observe(Event{Kind: Held, Record: e.record})
	for _, process := range e.allEnded {
		t.acquitOthers(now, e, process)
	}
}

// isLate reports whether MaxEnded upstreams have ended under the request, those that ended at
// the same time among them.
func (e *entry) isLate() bool {
	return e.record.mayWithhold() && max(len(e.record.Ended), len(e.allEnded)) >= MaxEnded
}

// doubt returns how many more upstreams than MaxEnded have to end under a request: it got a
// complete response lately, or upstreams end without it, too.
func (t *Table) doubt(e *entry) int {
	if t.completed.has(e.record.Digest) {
		return maxDoubt
	}
	return min(t.endsWithout(e), maxDoubt)
}

// endsWithout returns how many upstreams have ended without a request since the first one
// ended under it. They show that upstreams end for another reason at that time.
func (t *Table) endsWithout(e *entry) int {
	count := 0
	for process, at := range t.endedAt {
		if !at.Before(e.firstEndAt) && !slices.Contains(e.allEnded, process) && !slices.Contains(e.record.Ended, process) {
			count++
		}
	}
	return count
}

// isExplained reports whether another request, which is held, has ended a process.
func (t *Table) isExplained(e *entry, process string) bool {
	for _, other := range t.entries {
		if !isSameRequest(other, e) && other.record.IsHeld && slices.Contains(other.allEnded, process) {
			return true
		}
	}
	return false
}

// isSameRequest reports whether two entries are about the same request, with one caller and
// with any.
func isSameRequest(a, b *entry) bool {
	return a == b || slices.Contains(a.record.Callers, b.record.Digest.callerID()) ||
		slices.Contains(b.record.Callers, a.record.Digest.callerID())
}

// acquitOthers removes an end that a held request explains from all others.
func (t *Table) acquitOthers(now time.Time, held *entry, process string) {
	for _, e := range t.entries {
		if !isSameRequest(e, held) && !e.record.IsHeld && slices.Contains(e.record.Ended, process) {
			t.clearEntry(now, e, func(other string) bool { return other != process })
		}
	}
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
