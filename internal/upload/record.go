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

// PartSize is the largest size of a stored part, in bytes.
const PartSize = 1 << 20

// Bounds of a record that is read.
const (
	maxIDBytes   = 64
	maxPathBytes = 8 << 10
	maxRecordLen = 256 << 10
)

// Record is an upload that is or was stored.
type Record struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service"`
	// Call is what the upstream gets besides the body.
	Call Call `json:"call"`
	Body Body `json:"body"`

	State chart.State `json:"state"`
	Lease Lease       `json:"lease"`
	// Attempts is the number of deliveries that were started.
	Attempts int `json:"attempts"`
	// NotBefore is the earliest time of the next delivery.
	NotBefore time.Time `json:"not_before"`
	Accepted  time.Time `json:"accepted"`
	Finished  time.Time `json:"finished"`
	// Status is the status of the upstream's last answer; 0 means none.
	Status int `json:"status"`
	// Avoid is the upstream of the last failed delivery; the next one goes to
	// another upstream if there is one.
	Avoid string `json:"avoid,omitempty"`
}

// Call is the request line and header of an upload.
type Call struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the escaped path that the upstream sees.
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
}

// Body is where a stored body is and what it must be.
type Body struct {
	// Prefix starts the keys of the parts in the object store. It is unique
	// for each time that a body was stored.
	Prefix string `json:"prefix"`
	// Parts holds the sizes of the parts in order, in bytes.
	Parts  []int  `json:"parts"`
	Size   int64  `json:"size"`
	SHA256 string `json:"sha256"`
}

// Lease is a holder's right to deliver for a time. It does not fence: a holder
// that was paused may still deliver.
type Lease struct {
	Holder string    `json:"holder"`
	Until  time.Time `json:"until"`
}

// PartKey returns the key of a part in the object store.
func (b Body) PartKey(number int) string {
	return b.Prefix + strconv.Itoa(number)
}

// Equals tells whether two bodies hold the same bytes.
func (b Body) Equals(other Body) bool {
	return b.Size == other.Size && b.SHA256 == other.SHA256
}

// NewID returns the id of an upload: derived from the caller's idempotency key,
// scoped by team and service, or random when key is empty.
func NewID(team, service, key string) string {
	if key == "" {
		return uuid.NewString()
	}
	sum := sha256.Sum256([]byte(team + "/" + service + "/" + key))
	return hex.EncodeToString(sum[:])
}

// IsID tells whether text can be the id of an upload.
func IsID(text string) bool {
	if text == "" || len(text) > maxIDBytes {
		return false
	}
	return strings.Trim(text, "0123456789abcdef-") == ""
}

// Encode returns the record as it is stored.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode upload")
	}
	return value, nil
}

// Decode reads a stored record and checks it. The error is ErrCorrupt.
func Decode(value []byte) (Record, error) {
	var r Record
	if len(value) > maxRecordLen {
		return Record{}, errors.Wrap(ErrCorrupt, "record too long")
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	if fault := r.fault(); fault != "" {
		return Record{}, errors.Wrap(ErrCorrupt, fault)
	}
	return r, nil
}

// fault returns what is wrong with the record; empty means nothing.
func (r Record) fault() string {
	switch {
	case !IsID(r.ID):
		return "id"
	case r.Team == "" || r.Service == "":
		return "service"
	case r.Call.Method == "" || !strings.HasPrefix(r.Call.Path, "/") || len(r.Call.Path) > maxPathBytes:
		return "call"
	case !isStoredState(r.State):
		return "state"
	case r.Attempts < 0 || r.Status < 0:
		return "counts"
	default:
		return r.Body.fault()
	}
}

func (b Body) fault() string {
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
