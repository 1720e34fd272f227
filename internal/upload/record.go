package upload

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/figfront/figfront/internal/chart"
)

// PartSize is the maximum size of a stored part, in bytes.
const PartSize = 1 << 20

// Limits of a record that Decode accepts, in bytes.
const (
	maxIDBytes     = 64
	maxPathBytes   = 8 << 10
	maxRecordBytes = 256 << 10
)

// Record is the stored state of an upload. After the delivery has ended it
// remains for the retention time.
type Record struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// Call is the request that the upstream receives, without the body.
	Call Call `json:"call"`
	Body Body `json:"body"`

	State chart.State `json:"state"`
	Lease Lease       `json:"lease"`
	// Attempts is the number of deliveries started so far.
	Attempts int `json:"attempts"`
	// NotBefore is the earliest time of the next delivery attempt.
	NotBefore time.Time `json:"not_before"`
	Accepted  time.Time `json:"accepted"`
	Finished  time.Time `json:"finished"`
	// Status is the HTTP status of the last delivery's response; 0 means that
	// there was none.
	Status int `json:"status"`
	// Avoid is the upstream of the last failed delivery. The next delivery goes
	// to a different upstream if there is one.
	Avoid string `json:"avoid,omitempty"`
	// Ended counts the deliveries under which their upstream has ended, and Lapses the leases
	// that lapsed, one after the other, because their VM vanished. Either may be the upload's
	// doing.
	Ended  int `json:"ended,omitempty"`
	Lapses int `json:"lapses,omitempty"`
}

// Call is the request line and the header of an upload.
type Call struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the escaped path of the request to the upstream.
	Path  string `json:"path"`
	Query string `json:"query"`
	// HasQuery tells an empty query from none; false if the query is not empty in records of earlier versions.
	HasQuery bool        `json:"has_query,omitempty"`
	Header   http.Header `json:"header"`
}

// Body describes a stored body: the location and sizes of its parts, and its
// total size and hash.
type Body struct {
	// Prefix is the prefix of the keys of the parts in the object store. It is
	// unique each time a body is stored.
	Prefix string `json:"prefix"`
	// Parts contains the sizes of the parts in order, in bytes.
	Parts []int `json:"parts"`
	// Size is the sum of Parts.
	Size int64 `json:"size"`
	// SHA256 is the hexadecimal hash of the body.
	SHA256 string `json:"sha256"`
}

// Lease is the right of a VM to deliver an upload until a point in time. It is
// not a fencing token: a lease holder that was paused may still complete its
// delivery after the lease has expired.
type Lease struct {
	Holder string    `json:"holder"`
	Until  time.Time `json:"until"`
}

// hasLeaseOf reports whether both records are under the same lease, which may have been
// renewed in between. Attempts tells the leases of one holder apart.
func (r Record) hasLeaseOf(other Record) bool {
	return r.State == StateDelivering && other.State == StateDelivering &&
		r.Lease.Holder == other.Lease.Holder && r.Attempts == other.Attempts
}

// PartKey returns the key of a part in the object store.
func (b Body) PartKey(number int) string {
	return b.Prefix + strconv.Itoa(number)
}

// Equals reports whether two bodies have the same size and hash.
func (b Body) Equals(other Body) bool {
	return b.Size == other.Size && b.SHA256 == other.SHA256
}

// NewID returns the ID of an upload. It is derived from the caller's idempotency
// key, scoped to the team and service, or random if key is empty.
func NewID(team, service, key string) string {
	if key == "" {
		return uuid.NewString()
	}
	sum := sha256.Sum256([]byte(team + "/" + service + "/" + key))
	return hex.EncodeToString(sum[:])
}

// IsID reports whether text has the format of an upload ID.
func IsID(text string) bool {
	if text == "" || len(text) > maxIDBytes {
		return false
	}
	return strings.Trim(text, "0123456789abcdef-") == ""
}

// Encode returns the record as the value of a row.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode upload")
	}
	return value, nil
}

// Decode decodes and validates the value of a row. It returns ErrCorrupt if the
// value is invalid.
func Decode(value []byte) (Record, error) {
	var r Record
	if len(value) > maxRecordBytes {
		return Record{}, errors.Wrap(ErrCorrupt, "record too large")
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	if fault := r.invalidField(); fault != "" {
		return Record{}, errors.Wrap(ErrCorrupt, fault)
	}
	return r, nil
}

// invalidField returns the name of the first invalid field, or "" if the record
// is valid.
func (r Record) invalidField() string {
	switch {
	case !IsID(r.ID):
		return "id"
	case r.Team == "" || r.Service == "":
		return "service"
	case r.Call.Method == "" || !strings.HasPrefix(r.Call.Path, "/") || len(r.Call.Path) > maxPathBytes:
		return "call"
	case !isStoredState(r.State):
		return "state"
	case r.Attempts < 0 || r.Status < 0 || r.Ended < 0 || r.Lapses < 0:
		return "counts"
	default:
		return r.Body.invalidField()
	}
}

// invalidField returns the name of the first invalid field, or "" if the body is
// valid.
func (b Body) invalidField() string {
	var sum int64
	for _, size := range b.Parts {
		if size <= 0 || size > PartSize {
			return "part size"
		}
		sum += int64(size)
	}
	if sum != b.Size {
		return "size"
	}
	if len(b.SHA256) != hex.EncodedLen(sha256.Size) {
		return "hash"
	}
	return ""
}
