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

// Times between two reads of a row while its owner runs the call. The first
// doubles up to the last.
const (
	firstPoll = 25 * time.Millisecond
	lastPoll  = 400 * time.Millisecond
)

// chartFile is the chart that attempts follow.
const chartFile = "claim.ini"

// Counters of the group telemetry.GroupClaims.
const (
	countOwned             = "owned"
	countConflict          = "conflict"
	countAnswerOfTableLost = "table_answer_lost"
	countSettled           = "settled"
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
	countClosed            = "closed_"
	countSuperseded        = "superseded"
	countAnswerDropped     = "answers_dropped"
	countClosingDropped    = "closings_dropped"
)

// Options are what a Store is built from.
type Options struct {
	Table    platform.Table
	Counters *telemetry.Counters
	// VM is the name of this VM, which rows carry for operators.
	VM string
	// Now returns the wall clock time; nil stands for time.Now.
	Now func() time.Time
	// FlushInterval is the time that ends of claims are collected for before
	// they are written in one transaction; 0 means DefaultFlushInterval.
	FlushInterval time.Duration
}

// Store claims keys in the platform's table. It is safe for concurrent use.
type Store struct {
	options Options
	chart   *chart.Chart
	closer  *closer
}

// NewStore returns a Store. Run has to run for claims to be closed.
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
	return &Store{options: options, chart: c, closer: newCloser(options)}, nil
}

// Run writes the ends of claims until ctx ends, and then for at most
// closeTimeout those that are left.
func (s *Store) Run(ctx context.Context) error {
	return s.closer.run(ctx)
}

// Pending returns the number of claims whose end is not confirmed yet.
func (s *Store) Pending() int {
	return s.closer.pending()
}

// Verdict tells how a claim ended before the call was sent.
type Verdict int

// The verdicts.
const (
	// Owned means that this call may be sent, once, by the ticket.
	Owned Verdict = iota
	// Replayed means that the call ran before; the answer is the kept one, or
	// nil when it could not be kept.
	Replayed
	// Running means that the call with this key runs elsewhere and did not
	// end within this call's deadline.
	Running
	// Mismatched means that the key belongs to another call.
	Mismatched
	// UnknownResult means that the call with this key was sent and its owner
	// does not know whether it ran, or is gone.
	UnknownResult
	// Unavailable means that the claim could not be made sure of; nothing ran.
	Unavailable
	// Expired means that the deadline passed before the send; nothing ran.
	Expired
)

// Request asks for a claim.
type Request struct {
	Key  Key
	Call Call
	// Deadline is the absolute time after which the call is not sent.
	Deadline time.Time
}

// Result is the verdict on a claim.
type Result struct {
	Verdict Verdict
	// Ticket ends an owned claim.
	Ticket *Ticket
	// Answer is the kept answer of a replayed call.
	Answer *Answer
}

// Claim claims the key of a call. It waits, at most until ctx ends, while
// another attempt with the same key runs.
func (s *Store) Claim(ctx context.Context, request Request) Result {
	a := NewAttempt(s.chart, Record{
		Attempt:     uuid.NewString(),
		Owner:       s.options.VM,
		Fingerprint: request.Key.fingerprint(request.Call),
	}, request.Deadline)
	row := request.Key.row()
	poll := firstPoll
	for {
		switch a.State() {
		case stateWriting, stateRewriting:
			s.write(ctx, a, row)
		case stateSettling:
			s.read(ctx, a, row)
		case stateWaiting:
			if !wait.For(ctx, poll) {
				a.StopWaiting()
				continue
			}
			poll = min(2*poll, lastPoll)
			s.read(ctx, a, row)
		default:
			return s.conclude(a, row)
		}
	}
}

func (s *Store) count(name string) {
	s.options.Counters.Add(telemetry.GroupClaims, name, 1)
}

// write sends the conditional write that claims the row.
func (s *Store) write(ctx context.Context, a *Attempt, row string) {
	tx, err := a.Write(row)
	if err == nil {
		s.count(countWritesBeforeSend)
		err = s.options.Table.Commit(ctx, tx)
	}
	a.WriteEnded(err)
	switch {
	case errors.Is(err, platform.ErrConflict):
		s.count(countConflict)
	case a.State() == stateSettling:
		s.count(countAnswerOfTableLost)
	}
}

// read reads the row back.
func (s *Store) read(ctx context.Context, a *Attempt, row string) {
	s.count(countReads)
	found, err := s.options.Table.Get(ctx, row)
	before := a.State()
	a.ReadEnded(s.options.Now(), found, err)
	if before == stateSettling && a.State() == stateOwned {
		s.count(countSettled)
	}
	if err == nil && a.State() == stateUnknown {
		s.countUnreadable(found)
	}
}

func (s *Store) countUnreadable(row platform.Row) {
	if _, err := Decode(row.Value); err != nil {
		s.count(countRowUnreadable)
	}
}

// conclude turns an attempt that needs no more of the table into its result.
func (s *Store) conclude(a *Attempt, row string) Result {
	switch a.State() {
	case stateOwned:
		return s.own(a, row)
	case stateReplayed:
		s.count(countReplayed)
		return Result{Verdict: Replayed, Answer: a.found.Answer}
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
		s.closer.add(a.Closing(row, false))
	}
	s.count(countUnavailable)
	return Result{Verdict: Unavailable}
}

// own returns the ticket of an owned claim unless its deadline has passed.
func (s *Store) own(a *Attempt, row string) Result {
	if !a.MaySend(s.options.Now()) {
		s.count(countExpired)
		s.closer.add(a.Closing(row, true))
		return Result{Verdict: Expired}
	}
	s.count(countOwned)
	a.Sent()
	return Result{Verdict: Owned, Ticket: &Ticket{store: s, attempt: a, row: row}}
}

// Ticket ends a claim whose call was sent. One of its methods is called, once.
type Ticket struct {
	store   *Store
	attempt *Attempt
	row     string
}

// Done records that the call ran. answer is nil when it did not come whole.
func (t *Ticket) Done(answer *Answer) {
	t.attempt.Answered(answer)
	t.close()
}

// Lose records that the call may have run.
func (t *Ticket) Lose() {
	t.attempt.AnswerLost()
	t.close()
}

// Release records proof that no upstream ran the call.
func (t *Ticket) Release() {
	t.attempt.NotTaken()
	t.close()
}

func (t *Ticket) close() {
	t.store.closer.add(t.attempt.Closing(t.row, true))
}
