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
	// maxDoubt is how many more may end while others end without it, or if it got a complete
	// response lately.
	maxDoubt = 2
	// MaxLateSends is the number of sends after MaxEnded upstreams have ended, trials among
	// them, until the request is held for good.
	MaxLateSends = 3
	// maxEndedKept limits Record.Ended, which may be longer where several VMs saw ends.
	maxEndedKept = 8
	// maxProcessBytes limits the name of an upstream process.
	maxProcessBytes = 256
	// maxCount limits the counts of a record that was received, so that they can still rise.
	maxCount = 1 << 20
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
	// Callers tells the callers apart under whose requests they ended, in the record of a
	// request of any caller; it is empty in one of a single caller.
	Callers []uint32
	// IsHeld means that the request must not be sent but for trials.
	IsHeld bool
	// LateSends counts the sends since MaxEnded upstreams have ended, trials among them.
	LateSends int
}

// isOfAnyCaller reports whether the record covers the request whoever sends it.
func (r Record) isOfAnyCaller() bool {
	return len(r.Callers) > 0
}

// minCallers is the number of callers from which on a request of any caller is withheld. With
// one alone the record of that caller suffices.
const minCallers = 2

// mayWithhold reports whether the record may withhold calls.
func (r Record) mayWithhold() bool {
	return !r.isOfAnyCaller() || len(r.Callers) >= minCallers
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
		r.Callers = slices.Clone(other.Callers)
		return true
	}
	isChanged := other.LateSends > r.LateSends || other.IsHeld && !r.IsHeld
	r.LateSends = max(r.LateSends, other.LateSends)
	r.IsHeld = r.IsHeld || other.IsHeld
	for _, process := range other.Ended {
		isChanged = r.addEnded(process) || isChanged
	}
	for _, caller := range other.Callers {
		isChanged = r.addCaller(caller) || isChanged
	}
	return isChanged
}

// addCaller adds a caller. It returns false if it is known or the list is full.
func (r *Record) addCaller(caller uint32) bool {
	if slices.Contains(r.Callers, caller) || len(r.Callers) >= maxEndedKept {
		return false
	}
	r.Callers = append(r.Callers, caller)
	return true
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
	if len(r.Ended) == 0 {
		r.Callers = nil
	}
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
	Callers   []uint32 `json:"callers,omitempty"`
	Held      bool     `json:"held"`
	LateSends int      `json:"late_sends"`
}

// Encode returns the record without its digest as the value of a row.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(storedRecord{Clears: r.Clears, Ended: r.Ended, Callers: r.Callers, Held: r.IsHeld, LateSends: r.LateSends})
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
	r := Record{Digest: digest, Clears: stored.Clears, Ended: stored.Ended, Callers: stored.Callers, IsHeld: stored.Held, LateSends: stored.LateSends}
	if !r.IsValid() {
		return Record{}, errors.Wrapf(ErrMalformed, "%d ends, %d late sends", len(r.Ended), r.LateSends)
	}
	return r, nil
}

// IsValid reports whether a record that was received can be used.
func (r Record) IsValid() bool {
	isTooLong := slices.ContainsFunc(r.Ended, func(process string) bool { return len(process) > maxProcessBytes })
	isCount := r.Clears <= maxCount && r.LateSends >= 0 && r.LateSends <= maxCount
	return !r.Digest.IsZero() && len(r.Ended) <= maxEndedKept && len(r.Callers) <= maxEndedKept && !isTooLong && isCount
}
