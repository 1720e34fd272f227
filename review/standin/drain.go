package main

import (
	"time"
)

// Bounds of the pages.
const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
)

// The drain case: in each round a server of each service leaves and the store is down right
// after that.
const (
	drainRounds = 14
	// outage is within the 4.5 s of the site file.
	outage = 2500 * time.Millisecond
	// outageDelay is the time from the acknowledged removal to the outage.
	outageDelay = 100 * time.Millisecond
	// watch is how long the calm after an outage is watched.
	watch = 4400 * time.Millisecond
	// stay is how long a server that left serves.
	stay = 7 * time.Second
	// slack covers delays of this stand-in.
	slack = 20 * time.Millisecond
)

// span is a time without disruption in which machines are in touch.
type span struct{ from, to time.Time }

// playDrain reports whether a request reached a server later than the drain bound after the
// store had acknowledged its removal, taken and sent on by machines in touch.
func playDrain(s *site) (bool, error) {
	const perService = 4
	current := map[string][]*server{}
	for _, service := range services {
		for i := range perService {
			added, err := s.addServer(service, zones[i%len(zones)], 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			current[service] = append(current[service], added)
		}
	}
	if err := s.start(3, 3, 3); err != nil {
		return false, err
	}
	for _, v := range s.vms {
		for _, service := range services {
			s.work.Add(1)
			go s.traffic(v, service, "safe", 60*time.Millisecond)
		}
	}
	time.Sleep(contact + 500*time.Millisecond)
	calmFrom := time.Now()
	var inTouch []span
	for range drainRounds {
		for _, service := range services {
			added, err := s.addServer(service, current[service][0].zone, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			current[service] = append(current[service], added)
		}
		for _, service := range services {
			s.leave(current[service][0])
			current[service] = current[service][1:]
		}
		time.Sleep(outageDelay)
		if s.hasTrouble {
			inTouch = append(inTouch, span{calmFrom, time.Now()})
			s.log.line("the store goes down")
			s.store.setDown(true)
		}
		time.Sleep(outage)
		if s.hasTrouble {
			s.store.setDown(false)
			s.log.line("the store is back")
			calmFrom = time.Now().Add(contact)
		}
		time.Sleep(watch)
	}
	inTouch = append(inTouch, span{calmFrom, time.Now()})
	return s.checkDrain(inTouch), nil
}

// leave removes a server's entry; the server goes on for a while and then ends.
func (s *site) leave(leaving *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.put("servers", map[string][]byte{leaving.id: nil})
	leaving.removedAt = time.Now()
	s.log.line("the store acknowledges that server %s of %s is gone", leaving.id, leaving.service)
	time.AfterFunc(stay, func() { _ = leaving.http.Close() })
}

// checkDrain applies the rule to all requests.
func (s *site) checkDrain(inTouch []span) bool {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	late := 0
	for _, a := range s.log.arrivals {
		removed := a.server.removedAt
		if removed.IsZero() || a.at.Sub(removed) <= drain+slack {
			continue
		}
		sent := s.log.requests[a.id].sent
		for _, calm := range inTouch {
			if sent.After(calm.from.Add(slack)) && a.at.Before(calm.to) {
				late++
				s.log.lineLocked("DRAIN broken: request %s, sent to %s at %.3f, reached server %s at %.3f, gone since %.3f, "+
					"machines in touch since %.3f", a.id, s.log.requests[a.id].vm, s.log.since(sent), a.server.id,
					s.log.since(a.at), s.log.since(removed), s.log.since(calm.from))
			}
		}
	}
	s.log.lineLocked("%d requests, answers by status %v, %d late requests at servers that left", len(s.log.requests), s.log.statuses, late)
	return late > 0
}
