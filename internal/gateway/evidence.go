package gateway

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
)

// A call is reported as not run only on evidence, which this file decides on:
//
//   - no byte of the call was given to a connection (failureOutcome), or
//   - the upstream's response to this call says so (checkResponse).
//
// A response is the call's by its ID, which names one send because a connection carries each ID once
// (sendHistory).
//
// Everything else is reported as unknown or as run. checkResponse alone decides on a response;
// what follows takes its statement and reads neither the status nor the header for that.

// checkResponse returns what a response says about the call, or a callheader.RejectedError if it
// can't be attributed to the call: it arrived before the call was sent, carries the request ID of
// another call, holds lines of another response, contradicts itself or is too long. A refusal must
// carry the call's ID, since it could be a late response to another request on the connection.
// checkResponse closes the body of a rejected response.
func (c *call) checkResponse(trace *sendTrace, response *http.Response) (callheader.Statement, error) {
	id := c.statedID(response.Header)
	statement := callheader.StatementOf(response)
	var reason callheader.Rejection
	switch {
	case trace.isStale():
		reason = callheader.RejectedStale
	case id != "" && id != c.id:
		reason = callheader.RejectedForeignID
	case callheader.IsRepeated(response.Header, callheader.Single):
		reason = callheader.RejectedMixedHead
	case statement == callheader.Unclear:
		reason = callheader.RejectedContradictory
	case statement == callheader.Ran && c.isTooLong(response):
		reason = callheader.RejectedTooLong
	case id == "" && statement == callheader.Refused:
		reason = callheader.RejectedNoID
	default:
		return statement, nil
	}
	_ = response.Body.Close()
	return callheader.Unclear, &callheader.RejectedError{Status: response.StatusCode, Reason: reason, RequestID: id}
}

// isTooLong reports whether a response says that it is longer than can be passed on before the
// deadline.
func (c *call) isTooLong(response *http.Response) bool {
	if response.Body == http.NoBody {
		return false
	}
	return response.ContentLength > maxBufferedResponseBytes+c.gateway.pacer.maxBytes(time.Until(c.deadline))
}

// statedID returns the request ID in the header of a response; empty if there is none. Of several
// IDs the first that isn't the call's is returned: such a response isn't the call's alone.
func (c *call) statedID(h http.Header) string {
	for _, id := range h.Values(outcome.HeaderRequestID) {
		if id != c.id {
			return id
		}
	}
	return h.Get(outcome.HeaderRequestID)
}

// keys returns the keys of the IDs that are sent to an upstream, by which it names the call in its
// response. A site's upstreams get the caller's own, also where the gateway uses another one.
func (c *call) keys() []requestKey {
	keys := []requestKey{keyOf(c.id)}
	if !c.route.isSite {
		return keys
	}
	for _, id := range c.r.Header.Values(outcome.HeaderRequestID) {
		if id != c.id && id != "" {
			keys = append(keys, keyOf(id))
		}
	}
	return keys
}

// recordRejection counts the rejection of a send's response, if that is its error. It discards the
// connection if the response can't be attributed to the call, whose own one may still arrive on it.
func (c *call) recordRejection(trace *sendTrace, err error) {
	var rejected *callheader.RejectedError
	if !errors.As(err, &rejected) {
		return
	}
	c.gateway.options.Counters.Add(groupAnswers, "rejected_"+string(rejected.Reason), 1)
	isOwn := rejected.RequestID == c.id
	if !isOwn || isConnUnclear(rejected.Reason) {
		c.gateway.options.Counters.Add(groupAnswers, "foreign", 1)
		trace.discardConn()
	}
}

// isConnUnclear reports whether the call's own response may still arrive on the connection of a
// rejected one that carries its ID.
func isConnUnclear(reason callheader.Rejection) bool {
	switch reason {
	case callheader.RejectedStale, callheader.RejectedContradictory, callheader.RejectedMixedHead:
		return true
	default:
		return false
	}
}

// failureOutcome returns the outcome of a send without an accepted response. A rejected
// response never proves that the call did not run. When the round trip failed, net/http
// has stopped writing to the connection, so the trace holds all that was written.
func failureOutcome(trace *sendTrace, err error) (outcome.Outcome, outcome.Reason) {
	var rejected *callheader.RejectedError
	if errors.As(err, &rejected) || trace.mayHaveSent() {
		return outcome.Unknown, outcome.UpstreamFailed
	}
	return outcome.NotRun, outcome.ConnectFailed
}
