package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Traffic of the case. The rates are those of the site: all kinds of requests together, and its
// paid entries.
const (
	requestsPerSecond = 43
	commitInterval    = time.Second * 10 / 108
	fillTime          = 56 * time.Second
	checkTime         = 10 * time.Second
	lookupDeadline    = 2500 * time.Millisecond
	commitDeadline    = 3 * time.Second
	// answerMargin is how long after its route's timeout a request may have no answer yet.
	answerMargin = 500 * time.Millisecond
	// reuseShare is the part of the idle limit for which clients keep a connection that they
	// don't leave open.
	reuseShare = 0.8
)

// idleCase plays clients that each open a connection, send a lookup and leave the connection idle,
// longer than the configuration allows. It then sends paid entries on new connections. Without
// trouble the clients close their connections before the limit.
func idleCase(s *setup, hasTrouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var kept []*clientConn
	opened, served := 0, 0
	interval := time.Second / requestsPerSecond
	end := time.Now().Add(fillTime)
	for next := time.Now(); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		opened++
		id := fmt.Sprintf("lookup-%05d", opened)
		go func() {
			c, err := dialClient(s.vm.front)
			if err != nil {
				s.record.writef("client can't connect for %s: %v", id, err)
				return
			}
			a := c.send(http.MethodGet, lookupPath+id, id, "", lookupDeadline)
			s.record.writef("client sent %s on a new connection: %s", id, a)
			mu.Lock()
			defer mu.Unlock()
			if a.isWhole {
				served++
			}
			if hasTrouble {
				kept = append(kept, c)
				return
			}
			time.AfterFunc(time.Duration(reuseShare*idleTimeoutS*float64(time.Second)), func() { _ = c.conn.Close() })
		}()
	}
	defer func() {
		for _, c := range kept {
			_ = c.conn.Close()
		}
	}()
	mu.Lock()
	s.record.resultf("%d lookups on connections of their own in %.0f s, %d served; clients leave %d connections idle",
		opened, fillTime.Seconds(), served, len(kept))
	isPlayed := served >= opened/2
	mu.Unlock()
	if !isPlayed {
		return false, fmt.Errorf("only %d of %d lookups were served", served, opened)
	}
	return s.checkCommits(), nil
}

// checkCommits sends paid entries on new connections and reports whether the rule is broken: of
// those that are unanswered at their route's timeout, more than half have no answer half a second
// later, although the process is ready.
func (s *setup) checkCommits() bool {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, whole, late, unanswered := 0, 0, 0, 0
	end := time.Now().Add(checkTime)
	for next := time.Now(); next.Before(end); next = next.Add(commitInterval) {
		time.Sleep(time.Until(next))
		sent++
		id := fmt.Sprintf("commit-%05d", sent)
		wg.Go(func() {
			a := s.commitOnNewConnection(id)
			mu.Lock()
			defer mu.Unlock()
			timeout := time.Duration(commitTimeoutS * float64(time.Second))
			if a.isWhole {
				whole++
			}
			if a.took > timeout {
				late++
			}
			if a.took > timeout+answerMargin {
				unanswered++
			}
		})
	}
	isReady := s.vm.isReady()
	wg.Wait()
	isReady = isReady && s.vm.isReady()
	s.record.resultf("%d paid entries on new connections: %d served, %d unanswered at the route's timeout of %.1f s, %d of them %.1f s later; process ready: %v",
		sent, whole, late, commitTimeoutS, unanswered, answerMargin.Seconds(), isReady)
	return isReady && late >= 20 && 2*unanswered > late
}

// commitOnNewConnection sends a paid entry once.
func (s *setup) commitOnNewConnection(id string) answer {
	c, err := dialClient(s.vm.front)
	if err != nil {
		s.record.writef("client can't connect for %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	s.record.writef("client sends %s on a new connection", id)
	a := c.send(http.MethodPost, commitPath+id, id, "entry", commitDeadline)
	s.record.writef("client got for %s: %s", id, a)
	return a
}
