package bodymemory

import (
	"time"

	"github.com/figfront/figfront/internal/arrival"
)

// Parameters of the decisions.
const (
	// FirstBytes is the number of bytes of each body that come from the share of first bytes.
	FirstBytes = 16 << 10
	// firstShare is the part of the memory that is the share of first bytes.
	firstShare = 0.125
)

// Memory grants the memory for bodies. It is not safe for concurrent use.
type Memory struct {
	first, rest share
}

// share is a part of the memory.
type share struct {
	limit, used int64
	// open are the bodies that hold a part of the share and are not complete, in the order in which they
	// began.
	open []*Body
}

// Body is the memory of one body. Its owner must release it.
type Body struct {
	// first and rest are the bytes that the body holds of each share.
	first, rest int64
	isComplete  bool
	isEvicted   bool
	pace        arrival.Pace
}

// New returns a Memory of a number of bytes.
func New(bytes int64) *Memory {
	first := int64(float64(bytes) * firstShare)
	return &Memory{first: share{limit: first}, rest: share{limit: bytes - first}}
}

// Begin returns the memory of a body that begins to arrive.
func (m *Memory) Begin(now time.Time) *Body {
	return &Body{pace: arrival.Begin(now)}
}

// Verdict is the decision on a request for memory.
type Verdict int

// The verdicts.
const (
	// Granted means that the body holds the bytes.
	Granted Verdict = iota
	// Wait means that another body has been evicted. The request is to be repeated when that one
	// is released.
	Wait
	// Refused means that no memory is left and no other body gives way.
	Refused
)

// Grow requests memory for more bytes of a body. With the verdict Wait it also returns the body that was
// evicted; nil if one was evicted before and is not released yet.
func (m *Memory) Grow(now time.Time, b *Body, bytes int64) (Verdict, *Body) {
	if b.isEvicted {
		return Refused, nil
	}
	first := min(bytes, max(FirstBytes-b.first, 0))
	rest := bytes - first
	isFirstShort := m.first.used+first > m.first.limit
	isRestShort := m.rest.used+rest > m.rest.limit
	switch {
	case isFirstShort:
		return m.first.evict(now, b, true)
	case isRestShort && m.rest.limit < b.rest+rest:
		return Refused, nil
	case isRestShort:
		return m.rest.evict(now, b, false)
	}
	m.first.take(b, first, b.first == 0)
	m.rest.take(b, rest, b.rest == 0)
	b.first += first
	b.rest += rest
	return Granted, nil
}

// take adds bytes to those that a body holds of the share.
func (s *share) take(b *Body, bytes int64, isNew bool) {
	if bytes == 0 {
		return
	}
	s.used += bytes
	if isNew && !b.isComplete {
		s.open = append(s.open, b)
	}
}

// evict chooses a body that gives way to the body b: the first slow one, or, if that is allowed, the one
// that began first.
func (s *share) evict(now time.Time, b *Body, mayEvictFirst bool) (Verdict, *Body) {
	var victim *Body
	for _, other := range s.open {
		if other == b {
			continue
		}
		if other.isEvicted {
			return Wait, nil
		}
		if other.pace.IsSlow(now) {
			victim = other
			break
		}
		if victim == nil && mayEvictFirst {
			victim = other
		}
	}
	if victim == nil {
		return Refused, nil
	}
	victim.isEvicted = true
	return Wait, victim
}

// Receive records that bytes of a body have arrived.
func (b *Body) Receive(now time.Time, bytes int64) {
	b.pace.Receive(now, bytes)
}

// IsEvicted reports whether the body has given way to another and must be released.
func (b *Body) IsEvicted() bool {
	return b.isEvicted
}

// Complete records that a body has arrived whole; from then on it does not give way. It returns false if
// the body was evicted before.
func (m *Memory) Complete(b *Body) bool {
	if b.isEvicted {
		return false
	}
	b.isComplete = true
	m.first.remove(b)
	m.rest.remove(b)
	return true
}

// Release gives back all memory of a body.
func (m *Memory) Release(b *Body) {
	m.first.remove(b)
	m.rest.remove(b)
	m.first.used -= b.first
	m.rest.used -= b.rest
	b.first, b.rest = 0, 0
}

// remove removes a body from those that may give way.
func (s *share) remove(b *Body) {
	for i, other := range s.open {
		if other == b {
			s.open = append(s.open[:i], s.open[i+1:]...)
			return
		}
	}
}

// Used returns the number of bytes that all bodies hold.
func (m *Memory) Used() int64 {
	return m.first.used + m.rest.used
}

// Limit returns the number of bytes that all bodies may hold.
func (m *Memory) Limit() int64 {
	return m.first.limit + m.rest.limit
}
