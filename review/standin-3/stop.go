//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case of a planned stop, the first ones from the SIGTERM on.
const (
	// busyAt is when the long requests come that take all slots, nextStopAt when the next VM gets its SIGTERM,
	// and lateAt when the other requests come.
	busyAt     = 1900 * time.Millisecond
	nextStopAt = 2000 * time.Millisecond
	lateAt     = 2300 * time.Millisecond
	// longWork is below the longest work of archive-read, which takes up to 4,100 ms.
	longWork  = 3900 * time.Millisecond
	shortWork = 300 * time.Millisecond
	// archiveTimeout is the timeout of the route to the archive.
	archiveTimeout = 5 * time.Second
	// archiveDeadline is the deadline of archive-read.
	archiveDeadline = 10 * time.Second
)

// Numbers of the case.
const (
	archiveServers = 2
	lateCount      = 4
)

// Prefixes of the routes to the archive and to the order desk.
const (
	archivePrefix = "/gose42/"
	stockPrefix   = "/wucu610/"
)

// playStop stops two VMs one after the other with SIGTERM while all servers are busy. Each request that the
// first one has read whole must be answered.
func playStop(s *site, hasTrouble bool) ([]string, error) {
	runs := &runLog{record: s.record, byID: make(map[string][]ran)}
	err := s.configure(12, []string{"shipment-archive", "order-desk"}, []route{
		{Name: "archive", Prefix: archivePrefix, Type: "safe", TimeoutS: archiveTimeout.Seconds(), Objective: 1.5, Priority: 2, Attempts: 2, Service: "shipment-archive"},
		{Name: "stock", Prefix: stockPrefix, Type: "safe", TimeoutS: 2, Objective: 0.6, Priority: 2, Attempts: 2, Service: "order-desk"},
	})
	if err != nil {
		return nil, err
	}
	for range archiveServers {
		for _, name := range []string{"shipment-archive", "order-desk"} {
			added, err := s.addServer(name, archiveWork, runs.add)
			if err != nil {
				return nil, err
			}
			added.onArrive = runs.arrive
		}
	}
	if err := s.startVMs("front-fi-south-a-1", "front-fi-south-a-2"); err != nil {
		return nil, err
	}
	stopped, other := s.vms[0], s.vms[1]
	kept, err := keepConnections(s, stopped, lateCount)
	if err != nil {
		return nil, err
	}
	stoppedAt := time.Now()
	if hasTrouble {
		stopped.stop(s.record)
	}
	var clients sync.WaitGroup
	time.Sleep(time.Until(stoppedAt.Add(busyAt)))
	for range archiveServers * slotCount {
		clients.Go(func() {
			if conn, err := net.Dial("tcp", other.front); err == nil {
				_, _ = request(s, conn, other, archivePrefix+"long")
			}
		})
	}
	time.Sleep(time.Until(stoppedAt.Add(nextStopAt)))
	if hasTrouble {
		other.stop(s.record)
	}
	time.Sleep(time.Until(stoppedAt.Add(lateAt)))
	unanswered := make(chan string, lateCount)
	for _, conn := range kept {
		clients.Go(func() {
			sentAt := time.Now()
			id, isAnswered := request(s, conn, stopped, archivePrefix+"short")
			if !isAnswered && time.Since(sentAt) < archiveTimeout {
				unanswered <- id
			}
		})
	}
	clients.Wait()
	close(unanswered)
	var violations []string
	for id := range unanswered {
		// One that was not passed on, or at which a server was at work, is excused.
		if runs.hasArrived(id) && len(runs.of(id)) == 0 {
			violations = append(violations, fmt.Sprintf("LOST: %s was passed on, ran nowhere and got no answer", id))
		}
	}
	return violations, nil
}

// stop sends SIGTERM to a VM.
func (v *vm) stop(r *record) {
	r.add("%s gets SIGTERM", v.name)
	_ = v.process.Process.Signal(syscall.SIGTERM)
}

// archiveWork returns how long a server works on a request.
func archiveWork(target string) time.Duration {
	if strings.HasSuffix(target, "long") {
		return longWork
	}
	return shortWork
}

// keepConnections opens connections to a VM and sends a request for the order desk on each.
func keepConnections(s *site, v *vm, count int) ([]net.Conn, error) {
	var conns []net.Conn
	for range count {
		conn, err := net.Dial("tcp", v.front)
		if err != nil {
			return nil, err
		}
		if id, isAnswered := request(s, conn, v, stockPrefix+"short"); !isAnswered {
			return nil, fmt.Errorf("first request %s got no answer", id)
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// request sends a request on a connection, and returns its id and whether it got a whole answer, which may be a
// refusal.
func request(s *site, conn net.Conn, v *vm, target string) (id string, isAnswered bool) {
	id, got := ask(s, conn, v, target)
	return id, got.Err == nil
}

// ask sends a request on a connection and returns its id and the answer.
func ask(s *site, conn net.Conn, v *vm, target string) (id string, got answer) {
	id = newID()
	_ = conn.SetDeadline(time.Now().Add(archiveDeadline))
	s.record.add("%s: client sends GET %s to %s", id, target, v.name)
	sentAt := time.Now()
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		target, host, wire["requestID"], id, wire["deadline"], archiveDeadline.Milliseconds())
	if _, err := conn.Write([]byte(head)); err != nil {
		s.record.add("%s: client can't send it: %v", id, err)
		return id, answer{Err: err}
	}
	got = readAnswer(bufio.NewReader(conn), http.MethodGet)
	s.record.add("%s: client gets, after %v, %v", id, time.Since(sentAt).Round(time.Millisecond), got)
	return id, got
}
