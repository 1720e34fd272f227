package spectest

import (
	"bytes"
	"sync"
)

// Buffer is a buffer that may be read while it is written.
type Buffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends p.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
