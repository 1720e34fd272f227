package quarantine

// EventKind is what happened to a request. Its value is part of a counter name.
type EventKind string

// The kinds of events.
const (
	// UpstreamEnded means that an upstream has ended under the request.
	UpstreamEnded EventKind = "upstream_ended"
	// UpstreamLives means that an upstream that counted as ended has answered.
	UpstreamLives EventKind = "upstream_lives"
	// Held means that the request is not sent any more.
	Held EventKind = "held"
	// Learned means that another VM knows ends under the request that were unknown here.
	Learned EventKind = "learned"
	// LateSend means that a suspect is sent under which MaxEnded upstreams have ended.
	LateSend EventKind = "late_send"
	// TrialDue means that a trial has to be reserved.
	TrialDue EventKind = "trial_due"
	// TrialStarted means that a held request may be sent once.
	TrialStarted EventKind = "trial"
	// Cleared means that the request was cleared, by a complete response or by an operator.
	Cleared EventKind = "cleared"
	// Forgotten means that a suspect was forgotten because of its age or for lack of room.
	Forgotten EventKind = "forgotten"
)

// Event is a change of a Table.
type Event struct {
	Kind   EventKind
	Record Record
	// Upstream is the process that ended or lives; empty for other events.
	Upstream string
}
