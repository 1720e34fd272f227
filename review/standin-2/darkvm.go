package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times and rates of the case.
const (
	// meetTime is how long the machines have to find each other in the store's list.
	meetTime = 12 * time.Second
	// burstUploads come at once at one machine: as many as the servers have slots.
	burstUploads = uploadServers * serverSlots
	// darkAfter is when that machine falls silent, after the uploads were sent and before the
	// servers have answered.
	darkAfter = 150 * time.Millisecond
	// calmTime is the time without a disruption after which the other machine is in touch.
	calmTime       = 5 * time.Second
	steadyTime     = 50 * time.Second
	steadyInterval = 500 * time.Millisecond
	uploadBytes    = 60_000
	commitBytes    = 1200
	// postDeadline is how long clients wait for uploads and paid entries.
	postDeadline = 3 * time.Second
)

// minLateRequests and lateShare are the rule's bounds: so many requests on the route that was added
// later, served less than 1/lateShare times as often as those on the first routes.
const (
	minLateRequests = 20
	lateShare       = 4
)

// tally counts the requests on a route and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.isWhole {
		t.served++
	}
	if t.statuses == nil {
		t.statuses = make(map[int]int)
	}
	t.statuses[a.status]++
}

// darkVMCase adds a route, sends some uploads to it at one machine, which then falls silent like
// one without power, and compares what the other machine serves on this route and on the first ones.
func darkVMCase(s *setup, hasTrouble bool) (broken bool, err error) {
	// survivor is the machine that places the requests of the service, by the hash of their names.
	dark := s.vm
	survivor, err := s.startVM("front-2")
	if err != nil {
		return false, err
	}
	s.addUploads()
	time.Sleep(meetTime)
	var burst sync.WaitGroup
	for i := range burstUploads {
		burst.Go(func() { s.post(dark, uploadPath, fmt.Sprintf("burst-%05d", i+1), uploadBytes) })
	}
	time.Sleep(darkAfter)
	if hasTrouble {
		s.record.writef("%s falls silent", dark.name)
		_ = dark.command.Process.Signal(syscall.SIGSTOP)
	}
	burst.Wait()
	time.Sleep(calmTime)
	var first, late tally
	var wg sync.WaitGroup
	end := time.Now().Add(steadyTime)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() { first.add(s.post(survivor, commitPath, fmt.Sprintf("first-%05d", i), commitBytes)) })
		wg.Go(func() { late.add(s.post(survivor, uploadPath, fmt.Sprintf("late-%05d", i), uploadBytes)) })
		time.Sleep(steadyInterval)
	}
	wg.Wait()
	s.record.resultf("%s in steady state: first routes %d of %d served %v, the route that was added later %d of %d served %v; ready: %v",
		survivor.name, first.served, first.sent, first.statuses, late.served, late.sent, late.statuses, survivor.isReady())
	if 2*first.served < first.sent {
		return false, fmt.Errorf("the first routes were not served either")
	}
	isRare := lateShare*late.served*first.sent < first.served*late.sent
	return late.sent >= minLateRequests && isRare, nil
}

// post sends a request with a body of so many bytes on a new connection to a machine.
func (s *setup) post(to *vm, path, id string, bytes int) answer {
	c, err := dialClient(to.front)
	if err != nil {
		s.record.writef("client can't connect for %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	s.record.writef("client sends %s to %s", id, to.name)
	a := c.send(http.MethodPost, path+id, id, strings.Repeat("r", bytes), postDeadline)
	s.record.writef("client got for %s: %s", id, a)
	return a
}

// addUploads adds the route for uploads and waits until it is in force.
func (s *setup) addUploads() {
	s.store.put("op", "config", siteConfig(uploadVersion, uploadTimeoutS))
	s.record.writef("operator writes version %d, which adds the route %s", uploadVersion, uploadPath)
	time.Sleep(configApplyTime)
}

// configApplyTime is how long the processes have to apply a version.
const configApplyTime = 2 * time.Second
