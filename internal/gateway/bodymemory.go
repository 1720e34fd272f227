package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/bodymemory"
	"github.com/figfront/figfront/internal/telemetry"
)

// groupBodies is the group of the counters of the memory for bodies.
const groupBodies = "bodies"

// defaultBodyMemory is the memory for bodies if none is set, in bytes.
const defaultBodyMemory = 256 << 20

// errNoBodyMemory means that the memory for bodies is used up.
var errNoBodyMemory = errors.New("gateway: no memory for the body")

// sharedBodyMemory is the memory for the bodies of all calls of a VM. It is safe for concurrent use.
type sharedBodyMemory struct {
	counters *telemetry.Counters

	mu     sync.Mutex
	memory *bodymemory.Memory
	// interrupts hold a function for each body that may be evicted, which makes its owner stop
	// reading.
	interrupts map[*bodymemory.Body]func()
	// changed is closed and replaced when a body is evicted or released.
	changed chan struct{}
}

func newSharedBodyMemory(bytes int64, counters *telemetry.Counters) *sharedBodyMemory {
	return &sharedBodyMemory{
		counters: counters, memory: bodymemory.New(bytes),
		interrupts: make(map[*bodymemory.Body]func()), changed: make(chan struct{}),
	}
}

// begin returns the memory of a body that begins to arrive. If it has to give way to another, interrupt
// is called, which must not block.
func (m *sharedBodyMemory) begin(interrupt func()) *bodymemory.Body {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.memory.Begin(time.Now())
	m.interrupts[b] = interrupt
	return b
}

// beginWhole returns the memory of a body that never gives way to another.
func (m *sharedBodyMemory) beginWhole() *bodymemory.Body {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.memory.Begin(time.Now())
	m.memory.Complete(b)
	return b
}

// take requests memory for more bytes of a body. It returns false if there is none now.
func (m *sharedBodyMemory) take(b *bodymemory.Body, bytes int) bool {
	verdict, _ := m.tryGrow(b, bytes)
	return verdict == bodymemory.Granted
}

// grow requests memory for more bytes of a body, and waits for a body that was evicted for it. It returns
// errNoBodyMemory if there is none before ctx ends.
func (m *sharedBodyMemory) grow(ctx context.Context, b *bodymemory.Body, bytes int) error {
	for {
		verdict, changed := m.tryGrow(b, bytes)
		switch verdict {
		case bodymemory.Granted:
			return nil
		case bodymemory.Refused:
			return errNoBodyMemory
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errNoBodyMemory
		}
	}
}

// tryGrow requests memory once. The channel is closed when the request may have another result.
func (m *sharedBodyMemory) tryGrow(b *bodymemory.Body, bytes int) (bodymemory.Verdict, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	verdict, victim := m.memory.Grow(time.Now(), b, int64(bytes))
	if victim != nil {
		m.counters.Add(groupBodies, "evicted", 1)
		m.interrupts[victim]()
		m.wakeLocked()
	}
	if verdict == bodymemory.Granted {
		m.counters.Set(groupBodies, "bytes", m.memory.Used())
	}
	return verdict, m.changed
}

// receive records that bytes of a body have arrived.
func (m *sharedBodyMemory) receive(b *bodymemory.Body, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.Receive(time.Now(), int64(bytes))
}

// isEvicted reports whether the body must be released.
func (m *sharedBodyMemory) isEvicted(b *bodymemory.Body) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return b.IsEvicted()
}

// complete records that a body has arrived whole. It returns false if the body was evicted before.
func (m *sharedBodyMemory) complete(b *bodymemory.Body) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.interrupts, b)
	return m.memory.Complete(b)
}

// release gives back the memory of a body.
func (m *sharedBodyMemory) release(b *bodymemory.Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.interrupts, b)
	m.memory.Release(b)
	m.counters.Set(groupBodies, "bytes", m.memory.Used())
	m.wakeLocked()
}

// wakeLocked wakes the calls that wait for a change.
func (m *sharedBodyMemory) wakeLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}
