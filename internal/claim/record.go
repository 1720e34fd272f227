package claim

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// RowState is the state of a claim as stored in the table.
type RowState string

// States of a claim's row. A missing row is treated as released.
const (
	// RowStarted means that an attempt owns the claim and may send the call.
	RowStarted RowState = "started"
	// RowReleased means that the call of the last attempt did not run.
	RowReleased RowState = "released"
	// RowDone means that the call ran and the upstream responded.
	RowDone RowState = "done"
	// RowUnknown means that the call was sent but no response arrived, so the
	// call may have run.
	RowUnknown RowState = "unknown"
)

// Size limits of a claim's row.
const (
	// MaxResponseBytes is the maximum size of a stored response body.
	MaxResponseBytes = 32 << 10
	// maxHeaderBytes is the maximum total size of the names and values of a
	// stored response header.
	maxHeaderBytes = 8 << 10
	// maxRecordBytes is the maximum size of a row value that Decode accepts.
	maxRecordBytes = 128 << 10
)

// ErrMalformed is returned when a claim's row cannot be decoded.
var ErrMalformed = errors.New("claim: malformed row")

// Response is an upstream's response, stored to be returned to retries with the
// same key.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// fits reports whether the response is within the size limits for storing it.
func (r *Response) fits() bool {
	size := 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return len(r.Body) <= MaxResponseBytes && size <= maxHeaderBytes
}

// Record is the value of a claim's row.
type Record struct {
	State RowState `json:"state"`
	// Attempt is the ID of the attempt that wrote the row.
	Attempt string `json:"attempt"`
	// Owner is the name of the VM that made the attempt.
	Owner       string `json:"owner"`
	Fingerprint string `json:"fingerprint"`
	// DeadlineMS is the time after which the owner does not send the call, in
	// milliseconds since the Unix epoch.
	DeadlineMS int64 `json:"deadline_ms"`
	// Response is the stored response of a done claim. It is nil if the response
	// was too large or incomplete.
	Response *Response `json:"answer,omitempty"`
}

func (r Record) deadline() time.Time {
	return time.UnixMilli(r.DeadlineMS)
}

// encode returns the record as the value of a row.
func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return value, nil
}

// Decode decodes and validates the value of a claim's row. It returns ErrMalformed
// for any value that this package would not write, including values with
// unknown fields.
func Decode(value []byte) (Record, error) {
	if len(value) > maxRecordBytes {
		return Record{}, errors.Wrap(ErrMalformed, "value too large")
	}
	var r Record
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if decoder.More() {
		return Record{}, errors.Wrap(ErrMalformed, "trailing data")
	}
	if err := r.validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) validate() error {
	switch r.State {
	case RowStarted, RowReleased, RowDone, RowUnknown:
	default:
		return errors.Wrapf(ErrMalformed, "state %q", r.State)
	}
	if r.Attempt == "" || r.Fingerprint == "" || r.DeadlineMS <= 0 {
		return errors.Wrap(ErrMalformed, "incomplete")
	}
	if r.Response == nil {
		return nil
	}
	isStatus := r.Response.Status >= http.StatusOK && r.Response.Status <= 999
	if r.State != RowDone || !isStatus || !r.Response.fits() {
		return errors.Wrap(ErrMalformed, "answer")
	}
	return nil
}
