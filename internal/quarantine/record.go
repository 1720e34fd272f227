package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// Limits of a Record.
const (
	// MaxEnded is the number of upstreams that may end under a request, one after another,
	// until it is held.
	MaxEnded = 3
	// maxDoubt is how many more may end while others end without it.
	maxDoubt = 2
	// MaxLateSends is the number of sends after MaxEnded upstreams have ended, trials among
	// them, until the request is held for good.
	MaxLateSends = 3
	// maxEndedKept limits Record.Ended, which may be longer where several VMs saw ends.
	maxEndedKept = 8
	// maxProcessBytes limits the name of an upstream process.
	maxProcessBytes = 256
)

// Record is what is known about one request. Records of several VMs merge in any order.
type Record struct {
	Digest Digest
	// Clears counts how often the request was cleared. A record with a higher number
	// supersedes those with a lower one.
	Clears uint32
	// Ended names the upstream processes that have ended under the request since it was
	// last cleared, in the order in which this VM learned of them.
	Ended []string
	// IsHeld means that the request must not be sent but for trials.
	IsHeld bool
	// LateSends counts the sends since MaxEnded upstreams have ended, trials among them.
	LateSends int
}

// isSuspect reports whether an upstream has ended under the request.
func (r Record) isSuspect() bool {
	return len(r.Ended) > 0
}

// merge adds what another VM knows and reports whether that changed the record.
func (r *Record) merge(other Record) bool {
	if other.Clears < r.Clears {
		return false
	}
	if other.Clears > r.Clears {
		*r = other
		r.Ended = slices.Clone(other.Ended)
		return true
	}
	isChanged := other.LateSends > r.LateSends || other.IsHeld && !r.IsHeld
	r.LateSends = max(r.LateSends, other.LateSends)
	r.IsHeld = r.IsHeld || other.IsHeld
	for _, process := range other.Ended {
		isChanged = r.addEnded(process) || isChanged
	}
	return isChanged
}

// addEnded adds a process that has ended. It returns false if it is known or the list is full.
func (r *Record) addEnded(process string) bool {
	if slices.Contains(r.Ended, process) || len(r.Ended) >= maxEndedKept {
		return false
	}
	r.Ended = append(r.Ended, process)
	return true
}

// clear forgets the ends, or those that keep is false for.
func (r *Record) clear(keep func(process string) bool) {
	r.Clears++
	r.Ended = slices.DeleteFunc(slices.Clone(r.Ended), func(process string) bool { return keep == nil || !keep(process) })
	if len(r.Ended) < MaxEnded {
		r.IsHeld = false
		r.LateSends = 0
	}
}

// ErrMalformed means that a stored record can't be used.
var ErrMalformed = errors.New("quarantine: malformed record")

// storedRecord is the JSON form of a Record, whose digest is the key.
type storedRecord struct {
	Clears    uint32   `json:"clears"`
	Ended     []string `json:"ended"`
	Held      bool     `json:"held"`
	LateSends int      `json:"late_sends"`
}

// Encode returns the record without its digest as the value of a row.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(storedRecord{Clears: r.Clears, Ended: r.Ended, Held: r.IsHeld, LateSends: r.LateSends})
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return value, nil
}

// Decode returns the record with a digest whose value is stored. It returns ErrMalformed if
// the value is invalid.
func Decode(digest Digest, value []byte) (Record, error) {
	var stored storedRecord
	if err := json.Unmarshal(value, &stored); err != nil {
		return Record{}, errors.Wrap(ErrMalformed, err.Error())
	}
	r := Record{Digest: digest, Clears: stored.Clears, Ended: stored.Ended, IsHeld: stored.Held, LateSends: stored.LateSends}
	if !r.IsValid() {
		return Record{}, errors.Wrapf(ErrMalformed, "%d ends, %d late sends", len(r.Ended), r.LateSends)
	}
	return r, nil
}

// IsValid reports whether a record that was received can be used.
func (r Record) IsValid() bool {
	isTooLong := slices.ContainsFunc(r.Ended, func(process string) bool { return len(process) > maxProcessBytes })
	return !r.Digest.IsZero() && len(r.Ended) <= maxEndedKept && !isTooLong && r.LateSends >= 0
}
