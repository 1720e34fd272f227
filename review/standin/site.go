package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the site.
var (
	zones    = []string{"fukuoka-hall", "kumamoto-hall", "kagoshima-hall"}
	services = []string{"start-board", "pay-desk", "waiver-vault"}
)

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1500 * time.Millisecond

// site is all that a case plays with.
type site struct {
	binary     string
	log        *record
	hasTrouble bool
	dir        string
	store      *store
	storeAddr  string
	vms        []*vm
	seeds      []string

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu      sync.Mutex
	servers []*server
	nextID  atomic.Int64
	// isBurst is set while many users come at once.
	isBurst  atomic.Bool
	nextName atomic.Int64
}

func newSite(binary string, log *record, hasTrouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &site{
		binary: binary, log: log, hasTrouble: hasTrouble, dir: dir, store: newStore(), storeAddr: listener.Addr().String(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go s.store.serve(listener)
	return s, nil
}

// close ends the clients and all processes.
func (s *site) close() {
	s.cancel()
	s.work.Wait()
	for _, v := range s.vms {
		v.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// addServer starts a server and registers it.
func (s *site) addServer(service, zone string, work time.Duration) (*server, error) {
	added, err := startServer(fmt.Sprintf("i-%08x", s.nextName.Add(1)), service, zone, work, s.log)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.servers = append(s.servers, added)
	s.mu.Unlock()
	s.store.put("servers", map[string][]byte{added.id: added.entry()})
	s.log.line("server %s of %s joins", added.id, service)
	return added, nil
}

// beat writes the entries of the servers that are there, as the servers do, while the store
// is up.
func (s *site) beat() {
	defer s.work.Done()
	for {
		select {
		case <-time.After(heartbeat):
		case <-s.ctx.Done():
			return
		}
		s.store.mu.Lock()
		isDown := s.store.isDown
		s.store.mu.Unlock()
		if isDown {
			continue
		}
		s.mu.Lock()
		entries := map[string][]byte{}
		for _, one := range s.servers {
			if one.removedAt.IsZero() {
				entries[one.id] = one.entry()
			}
		}
		s.store.put("servers", entries)
		s.mu.Unlock()
	}
}

// start starts the VMs, as many in each zone as given, and waits until they are ready.
func (s *site) start(perZone ...int) error {
	s.store.put("op", map[string][]byte{"config": configuration(12, services, 3)})
	s.work.Add(1)
	go s.beat()
	var releases []func()
	for z, zone := range zones {
		for i := range perZone[z] {
			v, release, err := newVM(fmt.Sprintf("front-%s-%d", zone, i+1), zone, s.dir)
			if err != nil {
				return err
			}
			s.vms = append(s.vms, v)
			releases = append(releases, release)
			if i == 0 {
				s.seeds = append(s.seeds, v.exchange)
			}
		}
	}
	for i, v := range s.vms {
		releases[i]()
		if err := v.start(s.binary, s.storeAddr, s.seeds); err != nil {
			return err
		}
	}
	return awaitReady(s.vms, 10*time.Second)
}

// traffic sends requests to a VM, each over a connection of its own, until the site closes.
func (s *site) traffic(v *vm, service, kind string, every time.Duration) {
	defer s.work.Done()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for {
		select {
		case <-time.After(every):
		case <-s.ctx.Done():
			return
		}
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			s.send(client, v, service, kind)
		}()
	}
}

// deadline is how long a client waits.
const deadline = 2500 * time.Millisecond

// send sends one request and records its answer.
func (s *site) send(client *http.Client, v *vm, service, kind string) {
	id := fmt.Sprintf("%016x", s.nextID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if kind != "safe" {
		method, body = http.MethodPost, bytes.NewReader([]byte(strings.Repeat("x", 1200)))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.listen+"/"+kind+"/2f", body)
	if err != nil {
		s.log.line("error %v", err)
		return
	}
	r.Host = host(service)
	r.Header.Set(wire["requestID"], id)
	r.Header.Set(wire["deadline"], fmt.Sprint(deadline.Milliseconds()))
	s.log.sent(request{id: id, vm: v.name, kind: kind, sent: time.Now()})
	response, err := client.Do(r)
	if err != nil {
		s.log.answered(id, 0, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		s.log.answered(id, 0, err)
		return
	}
	s.log.answered(id, response.StatusCode, nil)
}
