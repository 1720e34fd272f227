package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line for each event. It is safe
// for concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// writef writes one line with the time since the start.
func (r *record) writef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// resultf writes a line to the record and to standard output.
func (r *record) resultf(format string, args ...any) {
	r.writef(format, args...)
	fmt.Printf(format+"\n", args...)
}
