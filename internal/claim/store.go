package claim

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// Interval between reads of a row while another attempt runs the call. It
// starts at the minimum and doubles up to the maximum.
const (
	minPollInterval = 25 * time.Millisecond
	maxPollInterval = 400 * time.Millisecond
)

// chartFile is the file name of an attempt's state chart.
const chartFile = "claim.ini"

// Counters of the group telemetry.GroupClaims.
const (
	countOwned             = "owned"
	countConflict          = "conflict"
	countTableResponseLost = "table_answer_lost" // claim writes with an unknown result
	countSettled           = "settled"           // claim writes confirmed by reading the row
	countReplayed          = "replayed"
	countRunning           = "running"
	countMismatch          = "mismatch"
	countUnknown           = "unknown"
	countUnavailable       = "unavailable"
	countExpired           = "expired"
	countRowUnreadable     = "row_unreadable"
	countWritesBeforeSend  = "writes_before_send"
	countWritesAfter       = "writes_after"
	countReads             = "reads"
	countClosedPrefix      = "closed_"         // followed by the row state
	countSuperseded        = "superseded"      // final writes found unnecessary when the row was read
	countResponseDropped   = "answers_dropped" // responses dropped from final writes
	countFinalWriteDropped = "closings_dropped"
)

// Options configures a Store.
type Options struct {
	Table    platform.Table
	Counters *telemetry.Counters
	// VM is the name of this VM. It is stored in rows as their owner, for
	// diagnostics only.
	VM string
	// Now returns the wall clock time; defaults to time.Now.
	Now func() time.Time
	// FlushInterval is how long final states of claims are collected before
	// they are written in one transaction. Defaults to DefaultFlushInterval.
	FlushInterval time.Duration
}

// Store claims idempotency keys in the platform's table. It is safe for
// concurrent use.
type Store struct {
	options     Options
	chart       *chart.Chart
	finalWriter *finalWriter
}

// NewStore returns a Store. The final states of claims are written only while
// Run is running.
func NewStore(options Options) (*Store, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.FlushInterval == 0 {
		options.FlushInterval = DefaultFlushInterval
	}
	c, err := chart.Load(charts.Files, chartFile)
	if err != nil {
		return nil, errors.Wrap(err, "claim")
	}
	return &Store{options: options, chart: c, finalWriter: newFinalWriter(options)}, nil
}

// Run writes the final states of claims until ctx is cancelled. It then writes
// the remaining ones for at most drainTimeout and returns ErrUnconfirmed if
// some are left.
func (s *Store) Run(ctx context.Context) error {
	return s.finalWriter.run(ctx)
}

// Pending returns the number of claims whose final state has not been confirmed
// as written.
func (s *Store) Pending() int {
	return s.finalWriter.pending()
}

// Verdict is the result of trying to claim a key: whether the call may be sent
// and, if not, why.
type Verdict int

// Verdicts on a claim.
const (
	// Owned means that the claim succeeded and the call may be sent once. The
	// result contains a Ticket.
	Owned Verdict = iota
	// Replayed means that the call ran before. The result contains the stored
	// response, or nil if it was not stored.
	Replayed
	// Running means that another attempt with this key is running the call and
	// did not finish while Claim waited.
	Running
	// Mismatched means that the key was used for a different call.
	Mismatched
	// UnknownResult means that the call with this key may have run: its owner
	// received no response or has disappeared, or the row is unreadable.
	UnknownResult
	// Unavailable means that the claim could not be confirmed; the call is not
	// sent.
	Unavailable
	// Unreadable means that the key is claimed and the row could not be read. The call
	// is not sent, but another attempt may have run it.
	Unreadable
	// Expired means that the deadline passed before the call was sent.
	Expired
)

// Request contains the parameters of Claim.
type Request struct {
	Key  Key
	Call Call
	// Deadline is the wall clock time after which the call is not sent.
	Deadline time.Time
}

// Result is the result of Claim.
type Result struct {
	Verdict Verdict
	// Ticket records the result of the call; set only if the verdict is Owned.
	Ticket *Ticket
	// Response is the stored response; set only if the verdict is Replayed and
	// the response was stored.
	Response *Response
}

// Claim claims the key of a call. While another attempt with the same key is
// running, it polls the row until ctx is done.
func (s *Store) Claim(ctx context.Context, request Request) Result {
	a := NewAttempt(s.chart, Record{
		Attempt:     uuid.NewString(),
		Owner:       s.options.VM,
		Fingerprint: request.Key.fingerprint(request.Call),
	}, request.Deadline)
	rowKey := request.Key.rowKey()
	interval := minPollInterval
	for {
		switch a.State() {
		case stateWriting, stateRewriting:
			s.write(ctx, a, rowKey)
		case stateSettling:
			s.read(ctx, a, rowKey)
		case stateWaiting:
			if !wait.For(ctx, interval) {
				a.StopWaiting()
				continue
			}
			interval = min(2*interval, maxPollInterval)
			s.read(ctx, a, rowKey)
		default:
			return s.result(a, rowKey)
		}
	}
}

func (s *Store) count(name string) {
	s.options.Counters.Add(telemetry.GroupClaims, name, 1)
}

// write commits the conditional write that claims the row.
func (s *Store) write(ctx context.Context, a *Attempt, rowKey string) {
	tx, err := a.Write(rowKey)
	if err == nil {
		s.count(countWritesBeforeSend)
		err = s.options.Table.Commit(ctx, tx)
	}
	a.HandleWriteResult(err)
	switch {
	case errors.Is(err, platform.ErrConflict):
		s.count(countConflict)
	case a.State() == stateSettling:
		s.count(countTableResponseLost)
	}
}

// read reads the row and passes it to the attempt.
func (s *Store) read(ctx context.Context, a *Attempt, rowKey string) {
	s.count(countReads)
	row, err := s.options.Table.Get(ctx, rowKey)
	stateBefore := a.State()
	a.HandleReadResult(s.options.Now(), row, err)
	if stateBefore == stateSettling && a.State() == stateOwned {
		s.count(countSettled)
	}
	if err == nil && a.State() == stateUnknown {
		s.countIfUnreadable(row)
	}
}

// countIfUnreadable counts the row if it cannot be decoded. stateUnknown does
// not imply that: a readable row leads to it too, for example if the owner of
// the claim has disappeared.
func (s *Store) countIfUnreadable(row platform.Row) {
	if _, err := Decode(row.Value); err != nil {
		s.count(countRowUnreadable)
	}
}

// result returns the result of an attempt that has finished claiming: its call
// can now be sent or refused.
func (s *Store) result(a *Attempt, rowKey string) Result {
	switch a.State() {
	case stateOwned:
		return s.handleOwned(a, rowKey)
	case stateReplayed:
		s.count(countReplayed)
		return Result{Verdict: Replayed, Response: a.lastRead.Response}
	case stateRunning:
		s.count(countRunning)
		return Result{Verdict: Running}
	case stateMismatched:
		s.count(countMismatch)
		return Result{Verdict: Mismatched}
	case stateUnknown:
		s.count(countUnknown)
		return Result{Verdict: UnknownResult}
	case stateReleasing:
		s.finalWriter.add(a.FinalWrite(rowKey, false))
	}
	s.count(countUnavailable)
	if a.isContested {
		return Result{Verdict: Unreadable}
	}
	return Result{Verdict: Unavailable}
}

// handleOwned returns the ticket of an owned claim, or releases the claim if
// the deadline has passed.
func (s *Store) handleOwned(a *Attempt, rowKey string) Result {
	if !a.MaySend(s.options.Now()) {
		s.count(countExpired)
		s.finalWriter.add(a.FinalWrite(rowKey, true))
		return Result{Verdict: Expired}
	}
	s.count(countOwned)
	a.Sent()
	return Result{Verdict: Owned, Ticket: &Ticket{store: s, attempt: a, rowKey: rowKey}}
}

// Ticket records the result of a call that was sent under an owned claim. The
// caller calls exactly one of its methods, once.
type Ticket struct {
	store   *Store
	attempt *Attempt
	rowKey  string
}

// Done records that the call ran. response is nil if the response was incomplete
// or cannot be stored.
func (t *Ticket) Done(response *Response) {
	t.attempt.Answered(response)
	t.close()
}

// MarkUnknown records that the call was sent but may or may not have run.
func (t *Ticket) MarkUnknown() {
	t.attempt.AnswerLost()
	t.close()
}

// Release records that the call provably did not run on any upstream.
func (t *Ticket) Release() {
	t.attempt.NotTaken()
	t.close()
}

// close queues the final write. The claim's own write is known to be
// applied, because the call was sent.
func (t *Ticket) close() {
	t.store.finalWriter.add(t.attempt.FinalWrite(t.rowKey, true))
}
