package retry

import (
	"github.com/figfront/figfront/internal/outcome"
)

// Call holds the properties of a call that Decide needs.
type Call struct {
	// IsIdempotent means that the call may safely run more than once.
	IsIdempotent bool
	// Attempt is the attempt number with which the call arrived. A value above 1
	// means that an earlier hop sent the call again.
	Attempt int
}

// Failure describes how a send failed.
type Failure struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// IsFromLaterHop means that a figfront at a later hop of the call chain
	// already gave up on the call.
	IsFromLaterHop bool
}

// Verdict is the decision on a failed send. Its value is part of a counter name.
type Verdict string

// The verdicts. All except Retry return the failure to the caller.
const (
	// Retry means that the call may be sent to another upstream if the Budget allows it.
	Retry Verdict = "resend"
	// NoRetryMayHaveRun means that the call may have run and is not idempotent.
	NoRetryMayHaveRun Verdict = "may_have_run"
	// NoRetryFromLaterHop means that a later hop already gave up on the call.
	NoRetryFromLaterHop Verdict = "from_below"
	// NoRetryFromEarlierHop means that an earlier hop already sent the call again.
	NoRetryFromEarlierHop Verdict = "marked"
	// NoRetryTooLate means that the caller disconnected, the deadline passed or this VM is being stopped.
	NoRetryTooLate Verdict = "too_late"
)

// isCallOver reports whether a send failed because its call had ended.
func isCallOver(reason outcome.Reason) bool {
	switch reason {
	case outcome.CallerGone, outcome.Stopping, outcome.CutAtStop, outcome.DeadlinePassed:
		return true
	default:
		return false
	}
}

// Decide determines whether a failed send may go to another upstream.
func Decide(call Call, failure Failure) Verdict {
	switch {
	case isCallOver(failure.Reason):
		return NoRetryTooLate
	case failure.Outcome != outcome.NotRun && !call.IsIdempotent:
		return NoRetryMayHaveRun
	case failure.IsFromLaterHop:
		return NoRetryFromLaterHop
	case call.Attempt > 1:
		return NoRetryFromEarlierHop
	default:
		return Retry
	}
}

// AttemptNumber returns the attempt number to pass to the upstream with the given
// send of a call; sends are numbered from 1. It builds on the attempt number with
// which the call arrived.
func (c Call) AttemptNumber(send int) int {
	return max(c.Attempt, 1) + send - 1
}
