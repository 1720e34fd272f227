package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Slots and queue of each server, as in the site file.
const (
	serverSlots = 2
	serverQueue = 8
)

// server is a stand-in of a server of one service. It is safe for concurrent use.
type server struct {
	id, service, zone string
	work              time.Duration
	record            *record
	listener          net.Listener
	slots             chan struct{}
	mu                sync.Mutex
	running, waiting  int
	// isFaulty means that it spoils some answers.
	isFaulty atomic.Bool
	runs     *runs
}

// startServer starts a server on a free port of a loopback host.
func startServer(host, id, service, zone string, work time.Duration, r *record, counted *runs) (*server, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, work: work, record: r, listener: listener,
		slots: make(chan struct{}, serverSlots), runs: counted,
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// entry returns the server's entry in the store.
func (s *server) entry(sequence int) []byte {
	value, _ := json.Marshal(map[string]any{
		"address": s.listener.Addr().String(), "born": s.record.start.UnixMilli(),
		"info":   map[string]any{"service": s.service, "zone": s.zone, "version": "v1", "slots": serverSlots},
		"status": map[string]any{"state": "ready", "sequence": sequence, wire["warmup"]: 0},
	})
	return value
}

// heartbeat writes the entry to the store, as each server does.
func (s *server) heartbeat(st *store) {
	for sequence := 1; ; sequence++ {
		st.put("servers", s.id, s.entry(sequence))
		time.Sleep(1500 * time.Millisecond)
	}
}

// enter counts a request that waits for a slot. It returns false if the queue is full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= serverQueue {
		return false
	}
	s.waiting++
	return true
}

func (s *server) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, serverSlots)
}

// ServeHTTP serves health checks and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire["load"], s.load())
	if r.URL.Path == healthPath {
		w.Header().Set(wire["answeredBy"], s.id)
		return
	}
	id := r.Header.Get(wire["requestID"])
	w.Header().Set(wire["requestID"], id)
	switch expected := r.Header.Get(wire["instance"]); {
	case expected != "" && expected != s.id:
		w.Header().Set(wire["notExecuted"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !s.enter():
		w.Header().Set(wire["notExecuted"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.slots <- struct{}{}
	s.count(1, -1)
	defer func() { s.count(-1, 0); <-s.slots }()
	s.record.writef("server %s runs %s %s %s", s.id, id, r.Method, r.URL.Path)
	s.runs.add(id)
	time.Sleep(s.work)
	if s.spoil(w, id) {
		return
	}
	w.Header().Set(wire["signature"], "signed-"+id)
	_, _ = io.WriteString(w, body(id))
}

// body returns the body of the response to a request.
func body(id string) string {
	return strings.Repeat(id+".", 100)
}
