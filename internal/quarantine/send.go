package quarantine

import (
	"time"
)

// SendKind is the part that a send has in its call.
type SendKind int

// The kinds of sends.
const (
	// First is the first send of a call.
	First SendKind = iota
	// Retry is a send after one that has failed.
	Retry
	// Hedge is a send while another one is in flight.
	Hedge
)

// Verdict is the decision on a send.
type Verdict int

// The verdicts.
const (
	// Allow means that the request may be sent.
	Allow Verdict = iota
	// Wait means that a copy of the suspect is in flight, whose result may clear it.
	Wait
	// RefuseBusy means that the suspect can't be sent beside its copies.
	RefuseBusy
	// RefuseHeld means that the request is held.
	RefuseHeld
)

// Result is what a send tells about the request and its upstream.
type Result int

// The results of a send. Other VMs receive them as numbers.
const (
	// ResultNone tells nothing: the send was cancelled or its end is not known.
	ResultNone Result = iota
	// ResultCompleted means that the upstream gave a complete response after it ran the
	// request.
	ResultCompleted
	// ResultAnswered means that the upstream itself answered without running the request.
	ResultAnswered
	// ResultBroken means that the connection broke. The upstream was not seen to end.
	ResultBroken
	// ResultEnded means that the connection broke because the upstream has ended.
	ResultEnded
)

// Send is a send in flight. A nil Send, of a request that is not identified, is ignored.
type Send struct {
	id      Identity
	process string
	at      time.Time
}

// Admit decides on a send. mayWait is false for a call that has waited as long as it may.
// One end alone withholds no first send for longer: it is little evidence.
func (t *Table) Admit(now time.Time, id Identity, kind SendKind, mayWait bool) Verdict {
	for _, digest := range []Digest{id.AnyCaller, id.Exact} {
		if e, ok := t.entries[digest]; ok && e.record.IsHeld {
			return t.admitTrial(now, e, kind)
		}
	}
	return max(t.admitSuspect(now, id.AnyCaller, kind, mayWait), t.admitSuspect(now, id.Exact, kind, mayWait))
}

// admitSuspect decides on a send by one record of its request, which is not held.
func (t *Table) admitSuspect(now time.Time, digest Digest, kind SendKind, mayWait bool) Verdict {
	e, ok := t.entries[digest]
	if !ok || !e.record.isSuspect() || !e.record.mayWithhold() {
		return Allow
	}
	isStrong := len(e.record.Ended) > 1 || e.isLate()
	switch {
	case e.untilLateSend(now) > 0:
		return RefuseBusy
	case kind == Hedge || kind == Retry && isStrong:
		return RefuseBusy
	case t.inFlight[digest] == 0:
		return Allow
	case kind == Retry:
		return RefuseBusy
	case mayWait:
		return Wait
	case isStrong:
		return RefuseBusy
	default:
		return Allow
	}
}

// Sent records that a request is sent to an upstream process.
func (t *Table) Sent(now time.Time, id Identity, process string) *Send {
	if id.Exact.IsZero() {
		return nil
	}
	for _, digest := range []Digest{id.Exact, id.AnyCaller} {
		t.inFlight[digest]++
		if e, ok := t.entries[digest]; ok {
			t.countLateSend(now, e)
		}
	}
	return &Send{id: id, process: process, at: now}
}

// lateSendDelays are the times, by the number of late sends, that pass after one of a suspect
// that is not held. What else ends upstreams, and makes it a suspect, is over by then.
var lateSendDelays = [MaxLateSends]time.Duration{0, 3 * time.Second, 30 * time.Second}

// untilLateSend returns the time until a suspect that is not held may be sent again.
func (e *entry) untilLateSend(now time.Time) time.Duration {
	if e.record.LateSends == 0 || e.record.LateSends >= MaxLateSends {
		return 0
	}
	return e.lastLateAt.Add(lateSendDelays[e.record.LateSends]).Sub(now)
}

// countLateSend counts a send of a request under which MaxEnded upstreams have ended. A trial
// was counted when it was reserved.
func (t *Table) countLateSend(now time.Time, e *entry) {
	switch {
	case e.trial.isGranted:
		e.trial.isGranted = false
	case e.record.isSuspect() && e.isLate():
		e.record.LateSends++
		e.lastLateAt = now
		t.changed(now, e)
		t.dirty[e.record.Digest] = struct{}{}
		t.observe(Event{Kind: LateSend, Record: e.record})
	}
}

// Done records how a send ended. Each Sent needs exactly one Done.
func (t *Table) Done(now time.Time, s *Send, result Result) {
	if s == nil {
		return
	}
	for _, digest := range []Digest{s.id.Exact, s.id.AnyCaller} {
		t.inFlight[digest]--
		if t.inFlight[digest] <= 0 {
			delete(t.inFlight, digest)
		}
	}
	switch result {
	case ResultCompleted:
		t.markAlive(now, s.process, s.at)
		for _, digest := range []Digest{s.id.Exact, s.id.AnyCaller} {
			t.completed.add(digest)
			t.Clear(now, digest)
		}
	case ResultAnswered:
		t.markAlive(now, s.process, s.at)
	case ResultBroken:
		t.addUnresolved(now, s)
	case ResultEnded:
		t.addUnresolved(now, s)
		t.addEnds(now, s.id, s.process, s.at)
	}
}

// Answered records that an upstream process itself has answered a probe that was sent at a
// time.
func (t *Table) Answered(now time.Time, process string, sentAt time.Time) {
	t.markAlive(now, process, sentAt)
}
