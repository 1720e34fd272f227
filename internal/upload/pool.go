package upload

import (
	"sync"
)

// Pool limits the number of spools of a process, and thereby their memory, and
// counts the bytes of their buffers. A spool buffers at most two parts: one that
// is being filled and one that is being written to the object store. Pool is
// safe for concurrent use.
type Pool struct {
	maxSpools int

	mu        sync.Mutex
	spools    int
	heldBytes int64
	peakBytes int64
}

// NewPool returns a Pool that allows maxSpools concurrent spools.
func NewPool(maxSpools int) *Pool {
	return &Pool{maxSpools: maxSpools}
}

// acquire takes a slot for a spool. It returns false if none is free.
func (p *Pool) acquire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spools >= p.maxSpools {
		return false
	}
	p.spools++
	return true
}

// release frees a slot.
func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spools--
}

// addBytes adds delta to the size of the buffers in use; delta may be negative.
func (p *Pool) addBytes(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldBytes += int64(delta)
	p.peakBytes = max(p.peakBytes, p.heldBytes)
}

// BufferedBytes returns the current and the highest size of all buffers, in bytes.
func (p *Pool) BufferedBytes() (current, peak int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldBytes, p.peakBytes
}
