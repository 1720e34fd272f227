package spectest

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer, such as for logs, that is safe for concurrent use.
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

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
