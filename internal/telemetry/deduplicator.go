package telemetry

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxSeenLines limits the lines that are remembered in one period. Repetitions of
// further lines are not recognized.
const maxSeenLines = 1024

// deduplicator finds log lines that equal an earlier one of the same period except
// for their timestamp. It is safe for concurrent use.
type deduplicator struct {
	mu sync.Mutex
	// seen holds the lines of the current period by lineKey.
	seen map[uint64]*repeatedLine
}

// repeatedLine counts the repetitions of a line. line is the first repetition, or nil
// if there is none yet.
type repeatedLine struct {
	line  []byte
	count int
}

func newDeduplicator() *deduplicator {
	return &deduplicator{seen: make(map[uint64]*repeatedLine)}
}

// record reports whether the line equals an earlier one of the period except for
// its timestamp. It counts the repetition if so and else remembers the line.
func (d *deduplicator) record(line []byte) bool {
	key := lineKey(line)
	d.mu.Lock()
	defer d.mu.Unlock()
	repeated, ok := d.seen[key]
	if !ok {
		if len(d.seen) < maxSeenLines {
			d.seen[key] = &repeatedLine{}
		}
		return false
	}
	if repeated.count == 0 {
		repeated.line = bytes.Clone(line)
	}
	repeated.count++
	return true
}

// startPeriod starts a new period. For each line that was repeated in the last one it
// returns the first repetition with the number of repetitions added, in no
// particular order.
func (d *deduplicator) startPeriod() [][]byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	var lines [][]byte
	for _, repeated := range d.seen {
		if repeated.count > 0 {
			lines = append(lines, withRepeatCount(repeated.line, repeated.count))
		}
	}
	clear(d.seen)
	return lines
}

// timestampField is the start of the JSON field that holds a line's timestamp.
const timestampField = `"@timestamp":"`

// lineKey returns a hash of a line without its timestamp.
func lineKey(line []byte) uint64 {
	before, rest, ok := bytes.Cut(line, []byte(timestampField))
	if !ok {
		return xxhash.Sum64(line)
	}
	_, after, _ := bytes.Cut(rest, []byte(`"`))
	hash := xxhash.New()
	// Write of a Digest never fails.
	_, _ = hash.Write(before)
	_, _ = hash.Write(after)
	return hash.Sum64()
}

// withRepeatCount returns a line with the number of its repetitions: as the field
// repeated if the line is a JSON object, else as text at the end.
func withRepeatCount(line []byte, count int) []byte {
	text := bytes.TrimSpace(line)
	object, ok := bytes.CutSuffix(text, []byte("}"))
	if !ok {
		return fmt.Appendf(nil, "%s (repeated %d times)\n", text, count)
	}
	return fmt.Appendf(nil, "%s,\"repeated\":%d}\n", object, count)
}
