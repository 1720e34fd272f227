// Package outcome defines what figfront reports to a caller about a call:
// whether it ran, and the reason for a refusal or failure.
package outcome

// Outcome states whether a call ran at an upstream. Its value is sent to the
// caller.
type Outcome string

// The outcomes of a call.
const (
	// Ran means that an upstream executed the call.
	Ran Outcome = "ran"
	// NotRun means that no upstream executed the call and none will.
	NotRun Outcome = "not run"
	// Unknown means that the call may have run. It is not sent again.
	Unknown Outcome = "unknown"
	// Accepted means that an upload is stored and will be delivered later.
	Accepted Outcome = "accepted"
)

// Reason is the cause of a refusal or failure. Each reason has its own counter
// in the metrics.
type Reason string

// The reasons for refusing or failing a call.
const (
	NoRoute           Reason = "no_route"
	NoUpstream        Reason = "no_upstream"
	ConcurrencyLimit  Reason = "concurrency_limit"
	QueueFull         Reason = "queue_full"
	QueueDeadline     Reason = "queue_deadline"
	DeadlinePassed    Reason = "deadline_passed"
	UpstreamShed      Reason = "upstream_shed"
	UpstreamFailed    Reason = "upstream_failed"
	UpstreamTruncated Reason = "upstream_truncated"
	ConnectFailed     Reason = "connect_failed"
	BodyTooLarge      Reason = "body_too_large"
	BodyBroken        Reason = "body_broken"
	BodyMemory        Reason = "body_memory"
	NotReady          Reason = "not_ready"
	ClaimUnavailable  Reason = "claim_unavailable"
	ClaimRunning      Reason = "claim_running"
	ClaimMismatch     Reason = "claim_mismatch"
	ClaimUnknown      Reason = "claim_unknown"
	ClaimAnswerLost   Reason = "claim_answer_lost"
	StoreUnavailable  Reason = "store_unavailable"
	RateLimited       Reason = "rate_limited"
	RetryBudget       Reason = "retry_budget"
	AttemptsSpent     Reason = "attempts_spent"
	CallerGone        Reason = "caller_gone"
	HeaderInvalid     Reason = "header_invalid"
	HeaderTooLarge    Reason = "header_too_large"
	Quarantined       Reason = "quarantined"
	SuspectBusy       Reason = "suspect_busy"
	UpstreamsResting  Reason = "upstreams_resting"
	Stopping          Reason = "stopping"
	CutAtStop         Reason = "cut_at_stop"
	InternalError     Reason = "internal_error"
)

// Reasons lists every Reason.
var Reasons = []Reason{
	NoRoute, NoUpstream, ConcurrencyLimit, QueueFull, QueueDeadline, DeadlinePassed, UpstreamShed, UpstreamFailed,
	UpstreamTruncated, ConnectFailed, BodyTooLarge, BodyBroken, BodyMemory, NotReady, ClaimUnavailable, ClaimRunning, ClaimMismatch,
	ClaimUnknown, ClaimAnswerLost, StoreUnavailable, RetryBudget, AttemptsSpent, CallerGone, HeaderInvalid, HeaderTooLarge,
	RateLimited, Quarantined, SuspectBusy, UpstreamsResting, Stopping, CutAtStop, InternalError,
}
