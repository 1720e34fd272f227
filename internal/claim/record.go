package claim

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// RowState is the state of a claim in the table.
type RowState string

// The states of a claim's row. An absent row counts as released.
const (
	// RowStarted means that an attempt owns the claim and may send the call.
	RowStarted RowState = "started"
	// RowReleased means that the last attempt ran nothing.
	RowReleased RowState = "released"
	// RowDone means that the call ran and its answer came.
	RowDone RowState = "done"
	// RowUnknown means that the call was sent and no answer came.
	RowUnknown RowState = "unknown"
)

// Limits of a claim's row.
const (
	// MaxAnswerBytes is the largest body of an answer that is kept.
	MaxAnswerBytes = 32 << 10
	// maxHeaderBytes bounds the header of an answer that is kept.
	maxHeaderBytes = 8 << 10
	// maxRecordBytes is the largest row that is decoded.
	maxRecordBytes = 128 << 10
)

// ErrRecord means that a claim's row can't be decoded.
var ErrRecord = errors.New("claim: malformed row")

// Answer is an upstream's answer as it is kept for repeats.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// fits tells whether the answer is small enough to be kept.
func (a *Answer) fits() bool {
	size := 0
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return len(a.Body) <= MaxAnswerBytes && size <= maxHeaderBytes
}

// Record is the value of a claim's row.
type Record struct {
	State RowState `json:"state"`
	// Attempt is the id of the attempt that wrote the row.
	Attempt string `json:"attempt"`
	// Owner is the VM that made the attempt.
	Owner       string `json:"owner"`
	Fingerprint string `json:"fingerprint"`
	// DeadlineMS is the absolute time after which the owner does not send, in
	// milliseconds since the Unix epoch.
	DeadlineMS int64 `json:"deadline_ms"`
	// Answer is the kept answer of a done claim; nil when it was too large or
	// did not come whole.
	Answer *Answer `json:"answer,omitempty"`
}

func (r Record) deadline() time.Time {
	return time.UnixMilli(r.DeadlineMS)
}

// encode returns the row's value.
func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return value, nil
}

// Decode reads the value of a claim's row. It returns ErrRecord for anything
// that this package does not write.
func Decode(value []byte) (Record, error) {
	if len(value) > maxRecordBytes {
		return Record{}, errors.Wrap(ErrRecord, "too large")
	}
	var r Record
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return Record{}, errors.Wrap(ErrRecord, err.Error())
	}
	if decoder.More() {
		return Record{}, errors.Wrap(ErrRecord, "trailing data")
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

func (r Record) check() error {
	switch r.State {
	case RowStarted, RowReleased, RowDone, RowUnknown:
	default:
		return errors.Wrapf(ErrRecord, "state %q", r.State)
	}
	if r.Attempt == "" || r.Fingerprint == "" || r.DeadlineMS <= 0 {
		return errors.Wrap(ErrRecord, "incomplete")
	}
	if r.Answer == nil {
		return nil
	}
	isStatus := r.Answer.Status >= http.StatusOK && r.Answer.Status <= 999
	if r.State != RowDone || !isStatus || !r.Answer.fits() {
		return errors.Wrap(ErrRecord, "answer")
	}
	return nil
}
