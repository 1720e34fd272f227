package main

import (
	"fmt"
	"time"
)

// playDenied reports whether proper uploads are ended with a 4xx of figfront's own after the
// operator has lowered the time-out of their route.
func playDenied(s *site) (bool, error) {
	zones = zones[:2]
	for i := range 12 {
		if _, err := s.addServer("waiver-vault", zones[i%2], 260*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.start(2); err != nil {
		return false, err
	}
	time.Sleep(contact)
	for i := range 8 {
		s.work.Add(1)
		go s.callAgain(s.vms, i, "waiver-vault", "upload", 360_000, 300*time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	changed := time.Now()
	if s.hasTrouble {
		s.store.put("op", map[string][]byte{"config": configuration(13, services, 1.5)})
		s.log.line("the configuration 0000000d is acknowledged")
	}
	time.Sleep(15 * time.Second)
	s.cancel()
	s.work.Wait()
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	denied := s.log.statuses[400]
	s.log.lineLocked("%d requests, answers by status %v, change at %.3f", len(s.log.requests), s.log.statuses, s.log.since(changed))
	fmt.Println(s.log.statuses)
	return float64(denied) > 5+float64(len(s.log.requests))/500, nil
}
