package callheader

import "fmt"

// Rejection is the reason why a received response is not accepted as the upstream's
// response to a call.
type Rejection string

// The reasons for not accepting a response.
const (
	// RejectedUnsigned means that a success lacks the signature of the upstream.
	RejectedUnsigned Rejection = "unsigned"
	// RejectedEncoded means that the body has a content encoding that was not requested.
	RejectedEncoded Rejection = "encoded"
	// RejectedUnconfirmed means that the status says that the call did not run, and the
	// header that confirms it is missing.
	RejectedUnconfirmed Rejection = "unconfirmed"
	// RejectedForeignID means that the response carries the request ID of another call.
	RejectedForeignID Rejection = "foreign_id"
	// RejectedMixedHead means that the head of the response holds lines of another one.
	RejectedMixedHead Rejection = "mixed_head"
	// RejectedNoID means that the response carries no request ID, which it needs to be
	// accepted.
	RejectedNoID Rejection = "no_id"
	// RejectedContradictory means that a response says that the call did not run, but is no
	// refusal; see StatementOf.
	RejectedContradictory Rejection = "contradictory"
	// RejectedNotFinal means that the status can't be that of a final response.
	RejectedNotFinal Rejection = "not_final"
	// RejectedTooLong means that the response says that it is longer than can be passed on in time.
	RejectedTooLong Rejection = "too_long"
	// RejectedStale means that the response arrived before the call was sent.
	RejectedStale Rejection = "stale"
)

// RejectedError is the error of a transport that received a response and did not accept
// it. It says nothing about whether the call ran.
type RejectedError struct {
	// Status is the status of the response.
	Status int
	Reason Rejection
	// RequestID is the request ID in the response; empty when there was none.
	RequestID string
}

// Error describes the response.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("callheader: response with status %d rejected: %s", e.Status, e.Reason)
}
