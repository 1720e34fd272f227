package upload

import (
	"sync"
)

// Pool bounds the memory of all spools of a process and counts the bytes that
// they hold. A spool holds at most two parts: one that fills and one on its way
// to the object store. It is safe for concurrent use.
type Pool struct {
	maxSpools int

	mu     sync.Mutex
	spools int
	held   int64
	peak   int64
}

// NewPool returns a pool for maxSpools spools at once.
func NewPool(maxSpools int) *Pool {
	return &Pool{maxSpools: maxSpools}
}

// enter takes a spool's place; it returns false when none is free.
func (p *Pool) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spools >= p.maxSpools {
		return false
	}
	p.spools++
	return true
}

func (p *Pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spools--
}

// hold counts delta bytes of buffers.
func (p *Pool) hold(delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += int64(delta)
	p.peak = max(p.peak, p.held)
}

// Held returns the bytes of buffers in use now and at most so far.
func (p *Pool) Held() (now, peak int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, p.peak
}
