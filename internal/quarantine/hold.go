package quarantine

import (
	"slices"
	"time"
)

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
