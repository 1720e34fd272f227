package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Traffic of the case. The rate and the deadline are those of the site's uploads, and the size is
// within theirs.
const (
	uploadInterval = time.Second * 100 / 313
	uploadTime     = 50 * time.Second
	// changeAfter is when the operator shortens the timeout of the uploads.
	changeAfter     = 10 * time.Second
	shorterTimeoutS = 1.5
	uploadDeadline  = 3 * time.Second
	uploadBytes     = 150_000
	// slowPieces is the number of pieces in which a client on a slow link sends its body, one
	// each slowPause: 2.25 s in all, which is past the shorter timeout and before the deadline.
	slowPieces = 45
	slowPause  = 50 * time.Millisecond
	// slowEvery makes each such upload slow.
	slowEvery = 2
)

// Allowed number of own failures that callers don't retry: a constant and a share of all requests.
const (
	deniedConstant = 5
	deniedShare    = 500
)

// slowBodyCase plays clients that upload rosters, half of them over slow links. The operator
// shortens the timeout of their route meanwhile, but not without trouble. The rule is broken if too
// many clients are told with a status of the 4xx kind that their request is wrong.
func slowBodyCase(s *setup, hasTrouble bool) (broken bool, err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served, denied := 0, 0, 0
	statuses := make(map[int]int)
	s.addUploads()
	end := time.Now().Add(uploadTime)
	if hasTrouble {
		time.AfterFunc(changeAfter, func() {
			s.store.put("op", "config", siteConfig(changedVersion, shorterTimeoutS))
			s.record.writef("operator writes version %d: uploads have a timeout of %.1f s", changedVersion, shorterTimeoutS)
		})
	}
	for next := time.Now(); next.Before(end); next = next.Add(uploadInterval) {
		time.Sleep(time.Until(next))
		sent++
		id := fmt.Sprintf("upload-%05d", sent)
		isSlow := sent%slowEvery == 0
		wg.Go(func() {
			a := s.upload(id, isSlow)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.isWhole {
				served++
			}
			if isOwnDenial(a) {
				denied++
			}
		})
	}
	wg.Wait()
	allowed := deniedConstant + sent/deniedShare
	s.record.resultf("%d uploads, %d served, statuses %v; %d denied with a 4xx of the entry's own, allowed %d", sent, served, statuses, denied, allowed)
	if served < sent/3 {
		return false, fmt.Errorf("only %d of %d uploads were served", served, sent)
	}
	return denied > allowed, nil
}

// addUploads adds the route for uploads and waits until it is in force.
func (s *setup) addUploads() {
	s.store.put("op", "config", siteConfig(uploadVersion, uploadTimeoutS))
	s.record.writef("operator writes version %d, which adds the route %s", uploadVersion, uploadPath)
	time.Sleep(configApplyTime)
}

// configApplyTime is how long the processes have to apply a version.
const configApplyTime = 2 * time.Second

// isOwnDenial reports whether an answer is a 4xx without a server's signature that promises
// nothing, after which clients don't retry.
func isOwnDenial(a answer) bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return !a.isSigned && a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError
}

// upload sends an upload on a new connection and waits for the answer until the deadline.
func (s *setup) upload(id string, isSlow bool) answer {
	c, err := dialClient(s.vm.front)
	if err != nil {
		s.record.writef("client can't connect for %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	s.record.writef("client sends %s, slow %v", id, isSlow)
	content := strings.Repeat("r", uploadBytes)
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(uploadDeadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		uploadPath+id, siteHost, id, uploadDeadline.Milliseconds(), len(content))
	go func() {
		if _, err := io.WriteString(c.conn, head); err != nil {
			return
		}
		writeBody(c, content, isSlow)
	}()
	a := c.receive(http.MethodPost, id, began)
	s.record.writef("client got for %s: %s", id, a)
	return a
}

// writeBody writes the body of a request, over a slow link in pieces.
func writeBody(c *clientConn, content string, isSlow bool) {
	if !isSlow {
		_, _ = io.WriteString(c.conn, content)
		return
	}
	size := (len(content) + slowPieces - 1) / slowPieces
	for len(content) > 0 {
		piece := content[:min(size, len(content))]
		content = content[len(piece):]
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return
		}
		time.Sleep(slowPause)
	}
}
