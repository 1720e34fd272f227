package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// The memory case: some VMs of a zone are killed at the same moment, and the clients of that
// zone come to the VM that is left. Organisers upload files in chunks, others confirm entries.
const (
	organisers = 9
	confirmers = 24
	// fileBytes is below the maxBodyBytes of the configuration.
	fileBytes = 24 << 20
	// fileTime is how long a client takes to send a file: all organisers together stay below
	// the 1,000 Mbit/s of a VM's link.
	fileTime = 2 * time.Second
	// fileThink is the time between two files of an organiser, which makes about three files a
	// second.
	fileThink = 600 * time.Millisecond
	// downTime is that of herd_kill in the site file.
	downTime = 2 * time.Second
	// rounds is how often the VMs are killed, every roundTime.
	memoryRounds = 2
	roundTime    = 14 * time.Second
)

// pacedFile is the body of an upload, sent at an even rate without a length.
type pacedFile struct {
	bytes, left int
	began       time.Time
}

func newPacedFile(bytes int) *pacedFile { return &pacedFile{bytes: bytes, left: bytes} }

// Read returns the next bytes when they are due.
func (f *pacedFile) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	if f.began.IsZero() {
		f.began = time.Now()
	}
	n := min(len(p), f.left, 16<<10)
	sent := f.bytes - f.left + n
	due := f.began.Add(time.Duration(float64(fileTime) * float64(sent) / float64(f.bytes)))
	time.Sleep(time.Until(due))
	f.left -= n
	return n, nil
}

// playMemory reports whether a VM that nobody disturbed closed kept connections without an
// answer after it had passed their requests on, more than three times.
func playMemory(s *site) (bool, error) {
	zones = zones[:2]
	for i := range 14 {
		if _, err := s.addServer("waiver-vault", zones[i%2], 260*time.Millisecond); err != nil {
			return false, err
		}
	}
	for i := range 9 {
		if _, err := s.addServer("pay-desk", zones[i%2], 290*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.start(3, 3); err != nil {
		return false, err
	}
	s.work.Add(len(s.vms))
	for _, v := range s.vms {
		go s.watchMemory(v)
	}
	time.Sleep(contact)
	zone := s.vms[:3]
	s.work.Add(organisers + confirmers)
	for i := range organisers {
		go s.callAgain(zone, i, "waiver-vault", "upload", fileBytes, fileThink)
	}
	for i := range confirmers {
		go s.callAgain(zone, i, "pay-desk", "unsafe", 1200, 200*time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	killed := zone[:2]
	for range memoryRounds {
		if s.hasTrouble {
			for _, v := range killed {
				s.log.line("disruption: %s is killed", v.name)
				v.stop()
			}
			time.Sleep(downTime)
			for _, v := range killed {
				s.log.line("disruption: %s starts again", v.name)
				s.restart(v)
			}
			time.Sleep(roundTime - downTime)
			continue
		}
		time.Sleep(roundTime)
	}
	s.cancel()
	s.work.Wait()
	return s.checkLost(zone[2:]), nil
}

// callAgain sends requests of a client one after the other over a kept connection. The
// platform leads a new connection to a VM of the zone by a hash of the client, and elsewhere
// if that one does not accept it.
func (s *site) callAgain(zone []*vm, client int, service, kind string, size int, think time.Duration) {
	defer s.work.Done()
	at := client % len(zone)
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	// The clients don't start at the same moment.
	time.Sleep(time.Duration(client) * 130 * time.Millisecond)
	for s.ctx.Err() == nil {
		if !s.call(transport, zone[at], service, kind, size) {
			at = (at + 1) % len(zone)
		}
		select {
		case <-time.After(think):
		case <-s.ctx.Done():
		}
	}
	transport.CloseIdleConnections()
}

// call sends one request. It returns false if the VM accepted no connection or broke it.
func (s *site) call(transport *http.Transport, v *vm, service, kind string, size int) bool {
	id := fmt.Sprintf("%016x", s.nextID.Add(1))
	const wait = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	isKept, isConnected := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		isKept, isConnected = info.Reused, true
	}})
	method, body := http.MethodPost, io.Reader(bytes.NewReader(make([]byte, size)))
	switch kind {
	case "upload":
		body = newPacedFile(size)
	case "safe":
		method, body = http.MethodGet, nil
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.listen+"/"+kind+"/2f", body)
	if err != nil {
		s.log.line("error %v", err)
		return false
	}
	r.Host = host(service)
	// The transport must not send a request again on its own.
	r.GetBody = nil
	r.Header.Set(wire["requestID"], id)
	r.Header.Set(wire["deadline"], fmt.Sprint(wait.Milliseconds()))
	q := request{id: id, vm: v.name, kind: kind, sent: time.Now()}
	s.log.sent(q)
	response, err := transport.RoundTrip(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err != nil {
		q.isCutOff, q.isKept = isConnected && ctx.Err() == nil, isKept
		s.log.update(q)
		s.log.answered(id, 0, err)
		return false
	}
	s.log.answered(id, response.StatusCode, nil)
	return true
}

// checkLost applies the rule to the VMs that nobody disturbed.
func (s *site) checkLost(calm []*vm) bool {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	isBroken := false
	for _, v := range s.vms {
		s.log.lineLocked("%s ended %d times by itself or for its memory; %d MB were seen in use, and %d pauses by the quota", v.name, len(v.ownEnds), v.peak, v.pauses)
	}
	for _, v := range calm {
		lost, other := 0, 0
		for _, q := range s.log.requests {
			switch {
			case q.vm != v.name || !q.isCutOff || s.log.runs[q.id] == 0:
			case !q.isKept:
				other++
			default:
				lost++
				s.log.lineLocked("LOST: request %s (%s), sent to %s at %.3f over a kept connection, ran and was not answered",
					q.id, q.kind, q.vm, s.log.since(q.sent))
			}
		}
		const allowed = 3
		s.log.lineLocked("%s: %d requests of kept connections that ran were cut off without an answer, and %d of new ones",
			v.name, lost, other)
		isBroken = isBroken || lost > allowed
	}
	s.log.lineLocked("%d requests, answers by status %v", len(s.log.requests), s.log.statuses)
	return isBroken
}
