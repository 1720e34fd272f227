//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Times of the case of a tunnel.
const (
	// cutTime is how long the path of a VM to the servers is cut, and calmTime the time from then to the first
	// SIGTERM, which is longer than contactS.
	cutTime  = 5 * time.Second
	calmTime = 4 * time.Second
	// rollGap is the time between the SIGTERMs of two VMs.
	rollGap = 2 * time.Second
	// longAfter is when the long requests come after the last SIGTERM.
	longAfter = 300 * time.Millisecond
	// tunnelTimeout is the route's timeout.
	tunnelTimeout = 5 * time.Second
	// warmTime is the time of requests before the cut.
	warmTime = time.Second
)

// tunnelClients is the number of clients, each of which sends one request after the other.
const tunnelClients = 4

// playTunnel cuts the path of one VM of three to the servers for a while, so that it uses tunnels through the
// others. Later, in calm, all are stopped in turn, that one last. A request at which a server is at work must not
// be broken off before the end of the stop of the VM that took it.
func playTunnel(s *site, hasTrouble bool) ([]string, error) {
	runs := &runLog{record: s.record, byID: make(map[string][]ran)}
	err := s.configure(12, []string{"shipment-archive"}, []route{{
		Name: "archive", Prefix: archivePrefix, Type: "unsafe", TimeoutS: tunnelTimeout.Seconds(), Objective: 1.5, Priority: 2, Attempts: 2,
		Service: "shipment-archive",
	}})
	if err != nil {
		return nil, err
	}
	for range archiveServers {
		if _, err := s.addServer("shipment-archive", archiveWork, runs.add); err != nil {
			return nil, err
		}
	}
	ip := func(number int) string { return fmt.Sprintf("127.0.%d.1", 11+number) }
	if err := s.startVMsAt(ip, ownSource, "front-fi-south-a-1", "front-fi-south-a-2", "front-fi-south-a-3"); err != nil {
		return nil, err
	}
	taking, others := s.vms[0], s.vms[1:]
	clients := &busyClients{site: s, vm: taking}
	clients.start()
	time.Sleep(warmTime)
	if hasTrouble {
		s.record.add("the path from %s to the servers is cut", taking.name)
		s.cut.begin(ip(0))
	}
	time.Sleep(cutTime)
	s.cut.end()
	s.record.add("the path is whole")
	time.Sleep(calmTime)
	for _, v := range others {
		if hasTrouble {
			v.stop(s.record)
		}
		time.Sleep(rollGap)
	}
	if hasTrouble {
		taking.stop(s.record)
	}
	time.Sleep(longAfter)
	clients.sendLong()
	clients.wait()
	return clients.violations(runs), nil
}

// busyClients are clients of one VM that send one short request after the other, and at last a long one.
type busyClients struct {
	site *site
	vm   *vm

	running sync.WaitGroup
	mu      sync.Mutex
	isLong  bool
	// long holds the ends of the long requests by their ids.
	long map[string]longEnd
}

// longEnd is the answer to a long request and the time until it came.
type longEnd struct {
	answer answer
	after  time.Duration
}

func (c *busyClients) start() {
	c.long = make(map[string]longEnd)
	for range tunnelClients {
		c.running.Go(c.run)
	}
}

// sendLong makes the next request of each client its last one, which is long.
func (c *busyClients) sendLong() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLong = true
}

func (c *busyClients) wait() { c.running.Wait() }

// run sends requests on kept connections; it opens another one where the VM has closed the last.
func (c *busyClients) run() {
	var conn net.Conn
	for {
		c.mu.Lock()
		isLong := c.isLong
		c.mu.Unlock()
		if conn == nil {
			opened, err := net.Dial("tcp", c.vm.front)
			if err != nil {
				return
			}
			conn = opened
		}
		target := archivePrefix + "short"
		if isLong {
			target = archivePrefix + "long"
		}
		sentAt := time.Now()
		id, got := ask(c.site, conn, c.vm, target)
		if isLong {
			c.mu.Lock()
			c.long[id] = longEnd{answer: got, after: time.Since(sentAt)}
			c.mu.Unlock()
			_ = conn.Close()
			return
		}
		if got.Err != nil || got.IsLast {
			_ = conn.Close()
			conn = nil
		}
	}
}

// violations returns the long requests that ran and whose end, before the route's timeout, was no answer or one
// of the VM's own.
func (c *busyClients) violations(runs *runLog) []string {
	var found []string
	for id, end := range c.long {
		isServed := end.answer.Err == nil && end.answer.Header.Get(wire["signature"]) != ""
		if len(runs.of(id)) > 0 && !isServed && end.after < tunnelTimeout {
			found = append(found, fmt.Sprintf("LOST: %s was given up after %v while its server was at work: %v",
				id, end.after.Round(time.Millisecond), end.answer))
		}
	}
	return found
}
