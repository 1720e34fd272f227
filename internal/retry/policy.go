package retry

import (
	"github.com/figfront/figfront/internal/outcome"
)

// Call is what the policy knows of a call.
type Call struct {
	// IsIdempotent tells that running the call twice does no harm.
	IsIdempotent bool
	// Attempt is the number of the send by which the call arrived; above 1 it
	// was sent again on its way here.
	Attempt int
}

// Failure is how a send failed.
type Failure struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// IsFromBelow tells that a figfront further down gave up on the call.
	IsFromBelow bool
}

// Verdict is the decision on a failed send.
type Verdict string

// The verdicts. All but Resend give the failure to the caller.
const (
	// Resend allows another send when the budget pays for it.
	Resend Verdict = "resend"
	// KeepMayHaveRun means that the call may have run and is not idempotent.
	KeepMayHaveRun Verdict = "may_have_run"
	// KeepFromBelow means that a hop further down already tried again.
	KeepFromBelow Verdict = "from_below"
	// KeepMarked means that a hop further up already sends the call again.
	KeepMarked Verdict = "marked"
	// KeepTooLate means that the caller left or the deadline passed.
	KeepTooLate Verdict = "too_late"
)

// Decide tells whether a failed send may go to another upstream.
func Decide(call Call, failure Failure) Verdict {
	switch {
	case failure.Reason == outcome.CallerGone || failure.Reason == outcome.DeadlinePassed:
		return KeepTooLate
	case failure.Outcome != outcome.NotRun && !call.IsIdempotent:
		return KeepMayHaveRun
	case failure.IsFromBelow:
		return KeepFromBelow
	case call.Attempt > 1:
		return KeepMarked
	default:
		return Resend
	}
}

// Mark returns the attempt number that the upstream gets with the given send
// of a call; the first send is 1. A mark from further up is kept.
func (c Call) Mark(send int) int {
	return max(c.Attempt, 1) + send - 1
}
