package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// Violation is a broken guarantee.
type Violation struct {
	// Promise is the name of the guarantee.
	Promise string `json:"promise"`
	// ID is the id of the request; empty if the violation concerns no single request.
	ID string `json:"id,omitempty"`
	// Detail describes what was observed.
	Detail string `json:"detail"`
}

// record holds one request and its sends by the caller, in their order.
type record struct {
	request sitetest.Request
	vm      *VM
	sends   []*callerSend
}

// latest returns the latest send.
func (r *record) latest() *callerSend {
	return r.sends[len(r.sends)-1]
}

// callerSend is one send of a request by its caller. executions are those that began after it and
// before the next one.
type callerSend struct {
	sentAt     time.Time
	executions []execution
	response   sitetest.Response
	isFinished bool
	// isHeld means that a server held it in its queue.
	isHeld bool
}

// isRefused reports whether the caller got a response that promises that the request did not run.
func (s *callerSend) isRefused() bool {
	return s.isFinished && s.response.PromisesNotRun()
}

// execution is one run of a request on a server.
type execution struct {
	server string
	at     time.Time
	body   string
}

// Ledger compares the requests and responses of the callers with the requests that the
// servers ran, and records violations. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	records    map[string]*record
	violations []Violation
	served     int
	finished   int
	// refusals holds the refusals by which servers asked for rest, by server.
	refusals map[string][]sentRun
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{records: make(map[string]*record), refusals: make(map[string][]sentRun)}
}

// Sent records that a request is about to be sent to a VM. It must be called before the
// request is sent. A request may be sent again, to the same VM, once the send before was refused.
func (l *Ledger) Sent(request sitetest.Request, vm *VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[request.ID]
	if !ok {
		r = &record{request: request, vm: vm}
		l.records[request.ID] = r
	}
	r.sends = append(r.sends, &callerSend{sentAt: time.Now()})
}

// Ran records that a server runs a request with the given body.
func (l *Ledger) Ran(id, server, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[id]
	if !ok {
		l.addViolationLocked("asked", id, "server "+server+" ran a request that no caller sent")
		return
	}
	send := r.latest()
	send.executions = append(send.executions, execution{server: server, at: time.Now(), body: body})
	if body != r.request.Body {
		l.addViolationLocked("whole request", id, fmt.Sprintf("server %s received %d bytes of %d", server, len(body), len(r.request.Body)))
	}
	// All sends before were refused, so that a second run breaks a promise whichever send it is of.
	if r.request.Kind != sitetest.Safe && len(send.executions) > 1 {
		l.addViolationLocked("at most once", id, fmt.Sprintf("ran %d times: %v", len(send.executions), send.servers()))
	}
	if send.isRefused() {
		l.addViolationLocked("not run", id, fmt.Sprintf("server %s ran it after the caller had received status %d", server, send.response.Status))
	}
}

func (s *callerSend) servers() []string {
	var servers []string
	for _, run := range s.executions {
		servers = append(servers, run.server)
	}
	return servers
}

// Finished records the response to the latest send of a request or the error instead of one.
// The send must have been recorded by Sent.
func (l *Ledger) Finished(id string, response sitetest.Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	send := r.latest()
	send.response = response
	send.isFinished = true
	l.finished++
	if response.IsSuccess() {
		l.served++
	}
	isIdempotent := r.request.Kind == sitetest.Safe
	switch {
	case response.IsSuccess() && response.Err == nil && !response.IsComplete:
		l.addViolationLocked("whole answer", id, fmt.Sprintf("status %d without the complete response of the server", response.Status))
	case response.IsSuccess() && len(send.executions) == 0:
		l.addViolationLocked("delivered", id, "reported as successful but no server ran it")
	case response.PromisesNotRun() && len(send.executions) > 0 && !isIdempotent:
		l.addViolationLocked("not run", id, fmt.Sprintf("send %d, status %d although it ran on %v", len(r.sends), response.Status, send.servers()))
	}
}

// AddViolation records a broken guarantee. id is empty if it concerns no single request.
func (l *Ledger) AddViolation(promise, id, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(promise, id, detail)
}

func (l *Ledger) addViolationLocked(promise, id, detail string) {
	l.violations = append(l.violations, Violation{Promise: promise, ID: id, Detail: detail})
}

// sentRun is one run of a request, with the VM that its caller sent it to.
type sentRun struct {
	id     string
	vm     *VM
	server string
	sentAt time.Time
	at     time.Time
}

// runs returns the runs of the request, which has the given ID.
func (r *record) runs(id string) []sentRun {
	var found []sentRun
	for _, send := range r.sends {
		for _, run := range send.executions {
			found = append(found, sentRun{id: id, vm: r.vm, server: run.server, sentAt: send.sentAt, at: run.at})
		}
	}
	return found
}

// runsAfter returns the runs that a server started after a time.
func (l *Ledger) runsAfter(server string, after time.Time) []sentRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []sentRun
	for id, r := range l.records {
		for _, run := range r.runs(id) {
			if run.server == server && run.at.After(after) {
				found = append(found, run)
			}
		}
	}
	return found
}

// runsOf returns the runs of the requests with a path.
func (l *Ledger) runsOf(path string) []sentRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []sentRun
	for id, r := range l.records {
		if r.request.Path == path {
			found = append(found, r.runs(id)...)
		}
	}
	return found
}

// Refused records that a server turned a request away and asked for rest.
func (l *Ledger) Refused(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.records[id]; ok {
		l.refusals[server] = append(l.refusals[server], sentRun{id: id, vm: r.vm, at: time.Now()})
	}
}

// Held records that a server holds a request in its queue.
func (l *Ledger) Held(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.records[id]; ok {
		r.latest().isHeld = true
	}
}

// isHeldUnanswered reports whether a request was held by a server, ran nowhere and ended without a response.
func (l *Ledger) isHeldUnanswered(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	send := l.records[id].latest()
	return send.isHeld && send.isFinished && len(send.executions) == 0 && send.response.Err != nil
}

// failedRuns describes the requests that were sent to a VM between two times, that a server began to run within
// maxRunDelay, and that ended without a success.
func (l *Ledger) failedRuns(vm *VM, from, to time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var failed []string
	for id, r := range l.records {
		for _, send := range r.sends {
			isMeant := r.vm == vm && send.isFinished && send.sentAt.After(from) && send.sentAt.Before(to)
			hasRun := len(send.executions) > 0 && send.executions[0].at.Before(send.sentAt.Add(maxRunDelay))
			if isMeant && hasRun && !send.response.IsSuccess() {
				failed = append(failed, fmt.Sprintf("%s: status %d, %v", id, send.response.Status, send.response.Err))
			}
		}
	}
	return failed
}

// refusalsOf returns the refusals of a server after a time.
func (l *Ledger) refusalsOf(server string, after time.Time) []sentRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []sentRun
	for _, r := range l.refusals[server] {
		if r.at.After(after) {
			found = append(found, r)
		}
	}
	return found
}

// servedBy counts the finished requests that were sent to a VM between two times, and how
// many of them succeeded.
func (l *Ledger) servedBy(vm *VM, from, to time.Time) (finished, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.vm != vm {
			continue
		}
		for _, send := range r.sends {
			if !send.isFinished || send.sentAt.Before(from) || send.sentAt.After(to) {
				continue
			}
			finished++
			if send.response.IsSuccess() {
				served++
			}
		}
	}
	return finished, served
}

// Violations returns a copy of the violations recorded so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// counts returns the number of requests that got a response or an error, and how many
// of them succeeded.
func (l *Ledger) counts() (finished, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished, l.served
}
