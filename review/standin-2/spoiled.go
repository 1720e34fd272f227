package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Traffic and disruption of the case. The rate is that of the site's paid entries. Half of the
// servers spoil a twentieth of their answers, in spells.
const (
	commitTime   = 60 * time.Second
	spoiledShare = 0.05
	// spellTime is how long answers are spoiled at a time, and then are not.
	spellTime = 5 * time.Second
)

// spoiledAnswer returns the answer of a faulty server to a request that it ran: its own failure, which
// breaks off after the request's ID, and then bytes that are no response. They are what its buffer
// still holds of an earlier refusal, whose ID is among what was overwritten.
func spoiledAnswer(id string) string {
	return "HTTP/1.1 500 Internal Server Error\r\n" + wire["requestID"] + ": " + id + "\r\n" +
		wire["notExecuted"] + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// spoil answers a request that ran with a spoiled answer, and closes the connection. It returns
// false if the answer is not to be spoiled.
func (s *server) spoil(w http.ResponseWriter, id string) bool {
	if !s.isFaulty.Load() || rand.Float64() >= spoiledShare {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	s.record.writef("server %s spoils its answer to %s", s.id, id)
	_, _ = io.WriteString(conn, spoiledAnswer(id))
	return true
}

// runs counts how often each request ran.
type runs struct {
	mu   sync.Mutex
	byID map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int)
	}
	r.byID[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// spoilInSpells makes every other server of the service spoil answers in one spell after the other.
func (s *setup) spoilInSpells() {
	for isSpell := true; ; isSpell = !isSpell {
		isFaulty := false
		for _, one := range s.servers {
			if one.service == commitServer {
				isFaulty = !isFaulty
				one.isFaulty.Store(isFaulty && isSpell)
			}
		}
		s.record.writef("half of the servers spoil answers: %v", isSpell)
		time.Sleep(spellTime)
	}
}

// spoiledCase plays paid entries while half of the servers of their service spoil some answers. The
// rule is broken if one of them runs twice.
func spoiledCase(s *setup, hasTrouble bool) (broken bool, err error) {
	if hasTrouble {
		go s.spoilInSpells()
	}
	var wg sync.WaitGroup
	var all tally
	var refused tally
	sent := 0
	end := time.Now().Add(commitTime)
	for next := time.Now(); next.Before(end); next = next.Add(commitInterval) {
		time.Sleep(time.Until(next))
		sent++
		id := fmt.Sprintf("commit-%05d", sent)
		wg.Go(func() {
			a := s.post(s.vm, commitPath, id, commitBytes)
			all.add(a)
			if a.status == http.StatusServiceUnavailable && s.runs.of(id) > 0 {
				refused.add(a)
			}
		})
	}
	wg.Wait()
	twice := 0
	for i := range sent {
		if id := fmt.Sprintf("commit-%05d", i+1); s.runs.of(id) > 1 {
			twice++
			s.record.writef("%s ran %d times", id, s.runs.of(id))
		}
	}
	s.record.resultf("%d paid entries, %d served, statuses %v; %d ran twice, %d were answered 503 and had run",
		all.sent, all.served, all.statuses, twice, refused.sent)
	if 2*all.served < all.sent {
		return false, fmt.Errorf("only %d of %d paid entries were served", all.served, all.sent)
	}
	return twice > 0, nil
}
