package telemetry

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxKnownLines bounds the lines that are compared with later ones in one period.
const maxKnownLines = 1024

// repeats finds lines that say the same as an earlier one of the same period. It
// is safe for concurrent use.
type repeats struct {
	mu sync.Mutex
	// known holds the lines of the period by their hash.
	known map[uint64]*repeatedLine
}

// repeatedLine is a line that came again; line is empty until then.
type repeatedLine struct {
	line  []byte
	count int
}

func newRepeats() *repeats {
	return &repeats{known: make(map[uint64]*repeatedLine)}
}

// isRepeat tells whether a line differs from an earlier one by its time alone, and
// counts it.
func (r *repeats) isRepeat(line []byte) bool {
	key := lineKey(line)
	r.mu.Lock()
	defer r.mu.Unlock()
	seen, ok := r.known[key]
	if !ok {
		if len(r.known) < maxKnownLines {
			r.known[key] = &repeatedLine{}
		}
		return false
	}
	if seen.count == 0 {
		seen.line = bytes.Clone(line)
	}
	seen.count++
	return true
}

// next begins another period. It returns a line for each one that came again in the
// last, with how often.
func (r *repeats) next() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines [][]byte
	for _, seen := range r.known {
		if seen.count > 0 {
			lines = append(lines, withCount(seen.line, seen.count))
		}
	}
	clear(r.known)
	return lines
}

// timeField begins the field that holds a line's time.
const timeField = `"@timestamp":"`

// lineKey returns a hash of a line without its time.
func lineKey(line []byte) uint64 {
	before, rest, ok := bytes.Cut(line, []byte(timeField))
	if !ok {
		return xxhash.Sum64(line)
	}
	_, after, _ := bytes.Cut(rest, []byte(`"`))
	hash := xxhash.New()
	// A Digest takes every byte.
	_, _ = hash.Write(before)
	_, _ = hash.Write(after)
	return hash.Sum64()
}

// withCount adds to a line how often it came again.
func withCount(line []byte, count int) []byte {
	text := bytes.TrimSpace(line)
	object, ok := bytes.CutSuffix(text, []byte("}"))
	if !ok {
		return fmt.Appendf(nil, "%s (repeated %d times)\n", text, count)
	}
	return fmt.Appendf(nil, "%s,\"repeated\":%d}\n", object, count)
}
