package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// arrival is a request at a server.
type arrival struct {
	id     string
	server *server
	at     time.Time
}

// request is a request of a client.
type request struct {
	id, vm, kind string
	sent         time.Time
	// isCutOff means that the connection ended without an answer before the deadline, isKept
	// that it had served another request before.
	isCutOff, isKept bool
}

// record keeps what was sent, run and answered, and writes it to a file.
type record struct {
	mu       sync.Mutex
	began    time.Time
	file     *os.File
	out      *bufio.Writer
	requests map[string]request
	arrivals []arrival
	runs     map[string]int
	statuses map[int]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), file: file, out: bufio.NewWriter(file),
		requests: map[string]request{}, runs: map[string]int{}, statuses: map[int]int{},
	}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *record) lineLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) sent(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
	r.lineLocked("sent %s %s to %s", q.id, q.kind, q.vm)
}

// update replaces what is known of a request.
func (r *record) update(q request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
}

func (r *record) answered(id string, status int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[status]++
	if err != nil {
		r.lineLocked("answered %s none: %v", id, err)
		return
	}
	r.lineLocked("answered %s %d", id, status)
}

func (r *record) reached(id string, s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{id: id, server: s, at: time.Now()})
	r.lineLocked("reached %s server %s of %s", id, s.id, s.service)
}

func (r *record) ran(id string, s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.lineLocked("ran %s at %s", id, s.id)
}

// close writes what is left.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// since returns a time as seconds since the start.
func (r *record) since(t time.Time) float64 { return t.Sub(r.began).Seconds() }
