package claim

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/platform"
)

// The states of charts/claim.ini.
const (
	stateWriting    chart.State = "writing"
	stateSettling   chart.State = "settling"
	stateRewriting  chart.State = "rewriting"
	stateWaiting    chart.State = "waiting"
	stateOwned      chart.State = "owned"
	stateSent       chart.State = "sent"
	stateReleasing  chart.State = "releasing"
	stateFinishing  chart.State = "finishing"
	stateLosing     chart.State = "losing"
	stateNotRun     chart.State = "not_run"
	stateReplayed   chart.State = "replayed"
	stateRunning    chart.State = "running"
	stateUnknown    chart.State = "unknown"
	stateMismatched chart.State = "mismatched"
)

// The events of charts/claim.ini.
const (
	eventWritten        chart.Event = "written"
	eventRefused        chart.Event = "refused"
	eventConflict       chart.Event = "conflict"
	eventLost           chart.Event = "lost"
	eventRowOwn         chart.Event = "row_own"
	eventRowUnchanged   chart.Event = "row_unchanged"
	eventRowReleased    chart.Event = "row_released"
	eventRowRunning     chart.Event = "row_running"
	eventRowDone        chart.Event = "row_done"
	eventRowUnknown     chart.Event = "row_unknown"
	eventRowMismatch    chart.Event = "row_mismatch"
	eventUnreadable     chart.Event = "unreadable"
	eventRetriesSpent   chart.Event = "retries_spent"
	eventDeadlinePassed chart.Event = "deadline_passed"
	eventSent           chart.Event = "sent"
	eventNotTaken       chart.Event = "not_taken"
	eventAnswered       chart.Event = "answered"
	eventAnswerLost     chart.Event = "answer_lost"
	eventClosed         chart.Event = "closed"
)

const (
	// maxRewrites is the number of times that a write whose answer was lost is
	// written again.
	maxRewrites = 2
	// ownerGoneAfter is the time after a claim's deadline at which its owner
	// counts as gone. It covers the batching of results and clocks that differ.
	ownerGoneAfter = 3 * time.Second
)

// Attempt is the decision core of one call's attempt to own a claim. It is not
// safe for concurrent use.
type Attempt struct {
	machine  *chart.Machine
	record   Record
	deadline time.Time
	// base is the version that the row had before the attempt's write; each
	// write of the attempt is conditional on it.
	base     uint64
	rewrites int
	// found is the readable record that another attempt wrote.
	found Record
}

// NewAttempt returns an attempt that expects an absent row. record names the
// attempt; its state is set to RowStarted. deadline is compared by wall clock.
func NewAttempt(c *chart.Chart, record Record, deadline time.Time) *Attempt {
	record.State = RowStarted
	record.DeadlineMS = deadline.UnixMilli()
	return &Attempt{machine: c.NewMachine(), record: record, deadline: deadline.Round(0)}
}

// State returns the attempt's state.
func (a *Attempt) State() chart.State {
	return a.machine.State()
}

// fire moves the attempt. An event that the chart does not take is a fault of
// this package.
func (a *Attempt) fire(event chart.Event) {
	if _, err := a.machine.Fire(event); err != nil {
		panic(err)
	}
}

// Write returns the conditional write that claims the row.
func (a *Attempt) Write(row string) (platform.Transaction, error) {
	return transaction(row, a.base, a.record)
}

// transaction returns a write of record that is conditional on the row's
// version.
func transaction(row string, version uint64, record Record) (platform.Transaction, error) {
	value, err := record.encode()
	if err != nil {
		return platform.Transaction{}, err
	}
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: row, Version: version}},
		Writes:     []platform.Write{{Key: row, Value: value}},
	}, nil
}

// WriteEnded takes the result of the conditional write. Any error but a
// conflict or a refusal leaves open whether the write takes effect.
func (a *Attempt) WriteEnded(err error) {
	switch {
	case err == nil:
		a.fire(eventWritten)
	case errors.Is(err, platform.ErrConflict):
		a.fire(eventConflict)
	case errors.Is(err, platform.ErrUnavailable):
		a.fire(eventRefused)
	default:
		a.fire(eventLost)
	}
}

// ReadEnded takes the result of reading the row in the states settling and
// waiting.
func (a *Attempt) ReadEnded(now time.Time, row platform.Row, err error) {
	if errors.Is(err, platform.ErrNotFound) {
		row = platform.Row{}
		err = nil
	}
	if err != nil {
		a.fire(eventUnreadable)
		return
	}
	isSettling := a.State() == stateSettling
	if isSettling && row.Version == a.base {
		a.rewrite()
		return
	}
	event := a.judge(now, row)
	if event == eventRowReleased {
		a.base = row.Version
		a.rewrites = 0
	}
	a.fire(event)
}

// rewrite writes again while the first write has not taken effect.
func (a *Attempt) rewrite() {
	if a.rewrites == maxRewrites {
		a.fire(eventRetriesSpent)
		return
	}
	a.rewrites++
	a.fire(eventRowUnchanged)
}

// judge returns what a row that some write has changed means for the attempt.
func (a *Attempt) judge(now time.Time, row platform.Row) chart.Event {
	if row.Version == 0 {
		return eventRowReleased
	}
	found, err := Decode(row.Value)
	if err != nil {
		return eventRowUnknown
	}
	a.found = found
	switch {
	case found.Attempt == a.record.Attempt:
		return a.judgeOwn(found)
	case found.State == RowReleased:
		return eventRowReleased
	case found.Fingerprint != a.record.Fingerprint:
		return eventRowMismatch
	case found.State == RowDone:
		return eventRowDone
	case found.State == RowUnknown:
		return eventRowUnknown
	case now.Round(0).After(found.deadline().Add(ownerGoneAfter)):
		return eventRowUnknown
	default:
		return eventRowRunning
	}
}

// judgeOwn takes a row of this attempt's own. It is expected only while a write
// is settled; at any other time the table contradicts itself, and the call is
// not sent.
func (a *Attempt) judgeOwn(found Record) chart.Event {
	if a.State() == stateSettling && found.State == RowStarted {
		return eventRowOwn
	}
	return eventRowUnknown
}

// StopWaiting ends the state waiting.
func (a *Attempt) StopWaiting() {
	a.fire(eventDeadlinePassed)
}

// MaySend tells, in the state owned, whether the call may be sent at the wall
// clock time now. When its deadline has passed, the attempt goes on to release
// the claim. The wall clock counts because the monotonic clock stands still
// while a VM is suspended.
func (a *Attempt) MaySend(now time.Time) bool {
	if now.Round(0).Before(a.deadline) {
		return true
	}
	a.fire(eventDeadlinePassed)
	return false
}

// Sent records that the call goes to an upstream.
func (a *Attempt) Sent() {
	a.fire(eventSent)
}

// Answered records that the call ran; answer is nil when it can't be kept.
func (a *Attempt) Answered(answer *Answer) {
	a.fire(eventAnswered)
	if answer != nil && answer.fits() {
		a.record.Answer = answer
	}
}

// AnswerLost records that the call may have run.
func (a *Attempt) AnswerLost() {
	a.fire(eventAnswerLost)
}

// NotTaken records proof that no upstream ran the call.
func (a *Attempt) NotTaken() {
	a.fire(eventNotTaken)
}

// closedStates maps the states in which the claim's end is written to the
// row's state.
var closedStates = map[chart.State]RowState{
	stateReleasing: RowReleased,
	stateFinishing: RowDone,
	stateLosing:    RowUnknown,
}

// Closing returns the write that ends the claim, in the states releasing,
// finishing and losing. isWritten tells whether the claim's own write is known
// to have taken effect.
func (a *Attempt) Closing(row string, isWritten bool) *Closing {
	record := a.record
	record.State = closedStates[a.State()]
	c := &Closing{attempt: a, row: row, base: a.base, record: record}
	if isWritten {
		c.version = a.base + 1
		c.isResolved = true
	}
	return c
}
