package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// Violation is a promise that was broken.
type Violation struct {
	// Promise names it.
	Promise string `json:"promise"`
	// ID is that of the request; empty when it is about none.
	ID     string `json:"id,omitempty"`
	Detail string `json:"detail"`
}

// record is what is known of one request.
type record struct {
	request sitetest.Request
	vm      *VM
	runs    []run
	answer  sitetest.Response
	isTold  bool
}

// run is one time that a server ran a request.
type run struct {
	server string
	at     time.Time
	body   string
}

// Ledger compares what callers sent and were told with what servers ran. It is safe
// for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	records    map[string]*record
	violations []Violation
	served     int
	told       int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: make(map[string]*record)}
}

// Sent records that a request is about to be sent to a VM.
func (l *Ledger) Sent(request sitetest.Request, vm *VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[request.ID] = &record{request: request, vm: vm}
}

// Ran records that a server runs a request.
func (l *Ledger) Ran(id, server, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[id]
	if !ok {
		l.breakLocked("asked", id, "server "+server+" ran a request that nobody sent")
		return
	}
	r.runs = append(r.runs, run{server: server, at: time.Now(), body: body})
	if body != r.request.Body {
		l.breakLocked("whole request", id, fmt.Sprintf("server %s got %d bytes of %d", server, len(body), len(r.request.Body)))
	}
	if r.request.Kind != sitetest.Safe && len(r.runs) > 1 {
		l.breakLocked("at most once", id, fmt.Sprintf("ran %d times: %v", len(r.runs), r.servers()))
	}
	if r.isTold && r.answer.PromisesNotRun() {
		l.breakLocked("not run", id, fmt.Sprintf("server %s runs it after status %d", server, r.answer.Status))
	}
}

func (r *record) servers() []string {
	var servers []string
	for _, run := range r.runs {
		servers = append(servers, run.server)
	}
	return servers
}

// Told records what the caller of a request got.
func (l *Ledger) Told(id string, answer sitetest.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	r.answer = answer
	r.isTold = true
	l.told++
	if answer.IsSuccess() {
		l.served++
	}
	isIdempotent := r.request.Kind == sitetest.Safe
	switch {
	case answer.IsSuccess() && answer.Err == nil && !answer.IsComplete:
		l.breakLocked("whole answer", id, fmt.Sprintf("status %d without the server's whole answer", answer.Status))
	case answer.IsSuccess() && len(r.runs) == 0:
		l.breakLocked("delivered", id, "told as served and no server ran it")
	case answer.PromisesNotRun() && len(r.runs) > 0 && !isIdempotent:
		l.breakLocked("not run", id, fmt.Sprintf("status %d though it ran at %v", answer.Status, r.servers()))
	}
}

// Break records a promise that was broken.
func (l *Ledger) Break(promise, id, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakLocked(promise, id, detail)
}

func (l *Ledger) breakLocked(promise, id, detail string) {
	l.violations = append(l.violations, Violation{Promise: promise, ID: id, Detail: detail})
}

// runsAfter returns the requests that a server began after a time, with the VM that
// took each from its caller.
func (l *Ledger) runsAfter(server string, after time.Time) map[string]*VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string]*VM)
	for id, r := range l.records {
		for _, run := range r.runs {
			if run.server == server && run.at.After(after) {
				found[id] = r.vm
			}
		}
	}
	return found
}

// Violations returns the promises that were broken.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// counts returns the number of requests that were told something and served.
func (l *Ledger) counts() (told, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.told, l.served
}
