package claim

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/platform"
)

// States of charts/claim.ini.
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

// Events of charts/claim.ini.
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
	// maxWriteRetries is how often a write with an unknown result is retried
	// while the row stays unchanged.
	maxWriteRetries = 2
	// ownerGracePeriod is how long after a claim's deadline other attempts
	// still wait for its owner; then the owner is assumed to have failed. It
	// covers the delay of batched final writes and clock skew between VMs.
	ownerGracePeriod = 3 * time.Second
)

// Attempt is the state machine of one call's attempt to own a claim. It does no
// I/O. It is not safe for concurrent use.
type Attempt struct {
	machine  *chart.Machine
	record   Record
	deadline time.Time
	// baseVersion is the row's version before the attempt's write. Each claim
	// write of the attempt is conditional on it.
	baseVersion uint64
	retries     int
	// isContested means that the last write met a row that has not been read yet and may
	// belong to another attempt.
	isContested bool
	// lastRead is the last record that was decoded from the row.
	lastRead Record
}

// NewAttempt returns an attempt whose first write expects that the row does not
// exist. record contains the attempt's ID, owner and fingerprint; its state and
// deadline are set here. The deadline is compared by wall clock.
func NewAttempt(c *chart.Chart, record Record, deadline time.Time) *Attempt {
	record.State = RowStarted
	record.DeadlineMS = deadline.UnixMilli()
	return &Attempt{machine: c.NewMachine(), record: record, deadline: deadline.Round(0)}
}

// State returns the attempt's state.
func (a *Attempt) State() chart.State {
	return a.machine.State()
}

// fire applies an event to the state machine. It panics if the chart does not
// allow the event in the current state, which would be a bug in this package.
func (a *Attempt) fire(event chart.Event) {
	if _, err := a.machine.Fire(event); err != nil {
		panic(err)
	}
}

// Write returns the conditional write that claims the row.
func (a *Attempt) Write(rowKey string) (platform.Transaction, error) {
	return conditionalWrite(rowKey, a.baseVersion, a.record)
}

// conditionalWrite returns a transaction that writes record if the row has the
// given version.
func conditionalWrite(rowKey string, version uint64, record Record) (platform.Transaction, error) {
	value, err := record.encode()
	if err != nil {
		return platform.Transaction{}, err
	}
	return platform.Transaction{
		Conditions: []platform.Condition{{Key: rowKey, Version: version}},
		Writes:     []platform.Write{{Key: rowKey, Value: value}},
	}, nil
}

// HandleWriteResult processes the result of the conditional write. After any
// error other than ErrConflict and ErrUnavailable the write may have been
// applied or may still be applied later.
func (a *Attempt) HandleWriteResult(err error) {
	a.isContested = errors.Is(err, platform.ErrConflict)
	switch {
	case err == nil:
		a.fire(eventWritten)
	case a.isContested:
		a.fire(eventConflict)
	case errors.Is(err, platform.ErrUnavailable):
		a.fire(eventRefused)
	default:
		a.fire(eventLost)
	}
}

// HandleReadResult processes the result of reading the row. It is called in the
// states settling and waiting.
func (a *Attempt) HandleReadResult(now time.Time, row platform.Row, err error) {
	if errors.Is(err, platform.ErrNotFound) {
		row = platform.Row{}
		err = nil
	}
	if err != nil {
		a.fire(eventUnreadable)
		return
	}
	a.isContested = false
	isSettling := a.State() == stateSettling
	if isSettling && row.Version == a.baseVersion {
		a.retryWrite()
		return
	}
	event := a.classifyRow(now, row)
	if event == eventRowReleased {
		a.baseVersion = row.Version
		a.retries = 0
	}
	a.fire(event)
}

// retryWrite requests another write, as the row shows that none has been
// applied yet, or gives up after maxWriteRetries.
func (a *Attempt) retryWrite() {
	if a.retries == maxWriteRetries {
		a.fire(eventRetriesSpent)
		return
	}
	a.retries++
	a.fire(eventRowUnchanged)
}

// classifyRow returns the event for a row that was read. In the state settling
// it is called only if the row is no longer at baseVersion.
func (a *Attempt) classifyRow(now time.Time, row platform.Row) chart.Event {
	if row.Version == 0 {
		return eventRowReleased
	}
	found, err := Decode(row.Value)
	if err != nil {
		return eventRowUnknown
	}
	a.lastRead = found
	switch {
	case found.Attempt == a.record.Attempt:
		return a.classifyOwnRow(found)
	case found.State == RowReleased:
		return eventRowReleased
	case found.Fingerprint != a.record.Fingerprint:
		return eventRowMismatch
	case found.State == RowDone:
		return eventRowDone
	case found.State == RowUnknown:
		return eventRowUnknown
	case now.Round(0).After(found.deadline().Add(ownerGracePeriod)):
		return eventRowUnknown
	default:
		return eventRowRunning
	}
}

// classifyOwnRow returns the event for a row that this attempt wrote. Such a
// row is expected only in the state settling, with the row state started.
// Otherwise the table is inconsistent: the call is not sent and its result is
// reported as unknown.
func (a *Attempt) classifyOwnRow(found Record) chart.Event {
	if a.State() == stateSettling && found.State == RowStarted {
		return eventRowOwn
	}
	return eventRowUnknown
}

// StopWaiting stops waiting for the attempt that owns the claim. It is called
// in the state waiting.
func (a *Attempt) StopWaiting() {
	a.fire(eventDeadlinePassed)
}

// MaySend reports whether the call may be sent at the wall clock time now. It
// is called in the state owned. If the deadline has passed, the attempt moves
// on to release the claim. It compares wall clock times because the monotonic
// clock does not advance while a VM is suspended.
func (a *Attempt) MaySend(now time.Time) bool {
	if now.Round(0).Before(a.deadline) {
		return true
	}
	a.fire(eventDeadlinePassed)
	return false
}

// Sent records that the call is about to be sent to an upstream.
func (a *Attempt) Sent() {
	a.fire(eventSent)
}

// Answered records that the call ran. The response is stored if it is not nil
// and within the size limits.
func (a *Attempt) Answered(response *Response) {
	a.fire(eventAnswered)
	if response != nil && response.fits() {
		a.record.Response = response
	}
}

// AnswerLost records that the call may have run.
func (a *Attempt) AnswerLost() {
	a.fire(eventAnswerLost)
}

// NotTaken records that the call provably did not run on any upstream.
func (a *Attempt) NotTaken() {
	a.fire(eventNotTaken)
}

// finalRowStates contains, for each state in which the claim's final state has
// to be written, the row state to write.
var finalRowStates = map[chart.State]RowState{
	stateReleasing: RowReleased,
	stateFinishing: RowDone,
	stateLosing:    RowUnknown,
}

// FinalWrite returns the write of the claim's final state. It is called in the
// states releasing, finishing and losing. isWritten reports whether the
// attempt's claim write is known to have been applied; otherwise the row has to
// be read before the final write.
func (a *Attempt) FinalWrite(rowKey string, isWritten bool) *FinalWrite {
	record := a.record
	record.State = finalRowStates[a.State()]
	w := &FinalWrite{attempt: a, rowKey: rowKey, baseVersion: a.baseVersion, isWritten: isWritten, record: record}
	if isWritten {
		w.rowVersion = a.baseVersion + 1
		w.isVersionKnown = true
	}
	return w
}
