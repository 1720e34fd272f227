//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// pathWork is how long a server works on a request.
const pathWork = 20 * time.Millisecond

// sentPath is a request with a path that holds "|", which browsers send as it is, or letters in UTF-8, which
// command line clients do.
type sentPath struct {
	method, target string
	// service is the service of the longest prefix that begins the path.
	service string
}

// paths are the requests. The third one begins with the prefix of the route of pay-desk only: its %2F is no
// slash of the path.
var paths = []sentPath{
	{http.MethodGet, prefix + "kumamoto|2026/status", service},
	{http.MethodGet, prefix + "福岡/status", service},
	{http.MethodPost, prefix + "lists%2Friders|north", service},
	{http.MethodPost, prefix + "entry/7%2F12%3Bteam|a?confirm=1|2", service},
	{http.MethodGet, prefix + "lists/riders|north", otherService},
}

// escaper escapes the characters of paths that url.URL does not keep as they are.
var escaper = strings.NewReplacer("|", "%7C", "福岡", "%E7%A6%8F%E5%B2%A1")

// otherService is the service of the route below the prefix lists/.
const otherService = "start-board"

// playPaths sends requests with such paths, or with these characters escaped without the trouble. A server
// must get each path as it was sent.
func playPaths(s *site, hasTrouble bool) ([]string, error) {
	runs := &runLog{record: s.record, byID: make(map[string][]ran)}
	if err := startNested(s, runs, false); err != nil {
		return nil, err
	}
	var violations []string
	for _, sent := range paths {
		if !hasTrouble {
			sent.target = escaper.Replace(sent.target)
		}
		for _, v := range s.vms {
			violations = append(violations, runs.sendPath(s, v, sent)...)
		}
	}
	return violations, nil
}

// startNested starts a site with an unsafe route of pay-desk and, below its prefix, a safe one of
// start-board. With losesAnswers, three of the five servers of start-board reset
// two answers in five, for lossTime from then on.
func startNested(s *site, runs *runLog, losesAnswers bool) error {
	err := s.configure(12, []string{service, otherService}, []route{
		{Name: "confirm", Prefix: prefix, Type: "unsafe", TimeoutS: 1.5, Objective: 0.8, Priority: 1, Attempts: 2, Service: service},
		{Name: "lists", Prefix: prefix + "lists/", Type: "safe", TimeoutS: 1.5, Objective: 0.8, Priority: 1, Attempts: 2, Service: otherService},
	})
	if err != nil {
		return err
	}
	for range 3 {
		if _, err := s.addServer(service, workFor(pathWork), runs.add); err != nil {
			return err
		}
	}
	const boards, losers = 5, 3
	for i := range boards {
		board, err := s.addServer(otherService, workFor(pathWork), runs.add)
		if err != nil {
			return err
		}
		if losesAnswers && i < losers {
			board.losesAnswer = losesTwoInFive(time.Now().Add(lossTime))
		}
	}
	return s.startVMs("front-fukuoka-hall-1", "front-fukuoka-hall-2")
}

// lossTime is how long answers are lost, from the start of the servers on.
const lossTime = 4 * time.Second

// losesTwoInFive returns a function that reports, by the number of a request, whether its answer is lost: two in
// five and never more, until a time.
func losesTwoInFive(until time.Time) func(number int) bool {
	return func(number int) bool {
		return (number%5 == 3 || number%5 == 0) && time.Now().Before(until)
	}
}

// commitCount is the number of requests of playCommits, and commitPause the time between two.
const (
	commitCount = 60
	commitPause = 50 * time.Millisecond
)

// playCommits sends requests of an unsafe route while servers lose answers. None may run twice.
func playCommits(s *site, hasTrouble bool) ([]string, error) {
	runs := &runLog{record: s.record, byID: make(map[string][]ran)}
	if err := startNested(s, runs, hasTrouble); err != nil {
		return nil, err
	}
	var ids []string
	for i := range commitCount {
		id, target := newID(), prefix+"lists%2Friders|north"
		v := s.vms[i%len(s.vms)]
		s.record.add("%s: client sends POST %s to %s", id, target, v.name)
		s.record.add("%s: client gets %v", id, send(v.front, http.MethodPost, target, id, "entry 7"))
		ids = append(ids, id)
		time.Sleep(commitPause)
	}
	var violations []string
	for _, id := range ids {
		if found := runs.of(id); len(found) > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s of an unsafe route ran %d times", id, len(found)))
		}
	}
	return violations, nil
}

// sendPath sends a request to a VM and returns how its run breaks the rule.
func (l *runLog) sendPath(s *site, v *vm, sent sentPath) []string {
	id := newID()
	s.record.add("%s: client sends %s %s to %s", id, sent.method, sent.target, v.name)
	s.record.add("%s: client gets %v", id, send(v.front, sent.method, sent.target, id, ""))
	var violations []string
	for _, run := range l.of(id) {
		if run.Target != sent.target {
			violations = append(violations, fmt.Sprintf("UNASKED: %s was sent with %s and ran with %s", id, sent.target, run.Target))
		}
		if run.Service != sent.service {
			violations = append(violations, fmt.Sprintf("ROUTE: %s with %s belongs to %s and ran at %s", id, sent.target, sent.service, run.Service))
		}
	}
	return violations
}

// runLog holds what servers ran. It is safe for concurrent use.
type runLog struct {
	record *record

	mu   sync.Mutex
	byID map[string][]ran
	// arrived holds the ids of the requests that arrived at servers, where these tell it.
	arrived sync.Map
}

// arrive records that a request has arrived at a server.
func (l *runLog) arrive(id string) { l.arrived.Store(id, true) }

func (l *runLog) hasArrived(id string) bool {
	_, ok := l.arrived.Load(id)
	return ok
}

// add records that a server began to work on a request.
func (l *runLog) add(r ran) {
	l.record.add("%s: server %s of %s runs %s %s", r.ID, r.Server, r.Service, r.Method, r.Target)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[r.ID] = append(l.byID[r.ID], r)
}

// of returns the runs of a request.
func (l *runLog) of(id string) []ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}
