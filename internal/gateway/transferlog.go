package gateway

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
)

// connKind tells how a send got its connection.
type connKind string

// The kinds of connections.
const (
	connNew    connKind = "new"
	connReused connKind = "reused"
)

// responseID tells whose request ID a response carries.
type responseID string

// The request IDs of responses.
const (
	responseIDOwn     responseID = "own"
	responseIDForeign responseID = "foreign"
	responseIDNone    responseID = "none"
)

// transferRecord is what a send wrote and received, as far as it explains the outcome.
type transferRecord struct {
	// Conn is empty when the send had no connection.
	Conn connKind `json:"conn,omitempty"`
	// ConnNumber tells the connections to the upstream from each other, and ConnSends is the number
	// of sends that the connection carried before. SkippedConns counts the connections that were
	// closed instead of carrying this send.
	ConnNumber   int64 `json:"conn_number,omitempty"`
	ConnSends    int   `json:"conn_sends,omitempty"`
	SkippedConns int   `json:"skipped_conns,omitempty"`
	// Via is the VM that the connection led through; empty if it was direct.
	Via string `json:"via,omitempty"`
	// Written means that a byte of the call may have left this VM.
	Written bool `json:"written"`
	// Status and ResponseID describe a received response, also one that was rejected.
	Status     int                  `json:"status,omitempty"`
	ResponseID responseID           `json:"response_id,omitempty"`
	Rejected   callheader.Rejection `json:"rejected,omitempty"`
	// RetryAfter is what a refusal asks for, as the upstream wrote it, cut to
	// maxLoggedRetryAfter bytes. Leaving means that the upstream says that it leaves.
	RetryAfter string `json:"retry_after,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	// UpstreamEnd tells, for a connection that broke, whether the upstream has ended.
	UpstreamEnd upstreamEnd `json:"upstream_end,omitempty"`
}

// maxLoggedRetryAfter limits a logged Retry-After, in bytes.
const maxLoggedRetryAfter = 40

// describe returns what is known of a send's connection and of what was written to it.
func (t *sendTrace) describe() transferRecord {
	record := transferRecord{Conn: t.connKind(), Via: t.via(), Written: t.mayHaveSent()}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		record.ConnNumber = t.conn.number
		record.ConnSends = t.transfer.sendsBefore
	}
	return record
}

// describeError returns the record of a send whose round trip failed.
func (c *call) describeError(trace *sendTrace, err error) transferRecord {
	record := trace.describe()
	var rejected *callheader.RejectedError
	if errors.As(err, &rejected) {
		record.Status = rejected.Status
		record.ResponseID = c.responseID(rejected.RequestID)
		record.Rejected = rejected.Reason
	}
	return record
}

// describeResponse returns the record of a send whose response was accepted.
func (c *call) describeResponse(trace *sendTrace, response *http.Response) transferRecord {
	record := trace.describe()
	record.Status = response.StatusCode
	record.ResponseID = c.responseID(response.Header.Get(outcome.HeaderRequestID))
	record.RetryAfter = cutText(response.Header.Get("Retry-After"), maxLoggedRetryAfter)
	record.Leaving = callheader.IsDraining(response.Header)
	return record
}

// cutText returns the first bytes of a text.
func cutText(text string, limit int) string {
	return text[:min(len(text), limit)]
}

// responseID compares the request ID of a response with the call's.
func (c *call) responseID(id string) responseID {
	switch id {
	case c.id:
		return responseIDOwn
	case "":
		return responseIDNone
	default:
		return responseIDForeign
	}
}
