// Command standin2 plays a case of the review against the program of the deploy file: a store,
// servers and clients as the platform's pages describe them, on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// readyTimeout limits the time until the process is ready.
const readyTimeout = 20 * time.Second

// setup is what all cases share.
type setup struct {
	root, dir    string
	storeAddress string
	record       *record
	store        *store
	servers      []*server
	runs         runs
	// vm is the first process; vms are all of them.
	vm  *vm
	vms []*vm
}

// startVM starts a process and waits until it is ready.
func (s *setup) startVM(name string) (*vm, error) {
	v, err := startVM(s.root, s.dir, name, loopbackHost, "zone-a", s.storeAddress)
	if err != nil {
		return nil, err
	}
	s.vms = append(s.vms, v)
	if !v.awaitReady(readyTimeout) {
		return nil, fmt.Errorf("%s was not ready after %s", name, readyTimeout)
	}
	return v, nil
}

// stop ends all processes.
func (s *setup) stop() {
	for _, v := range s.vms {
		v.kill()
	}
}

// stopOnSignal ends all processes, and this one, when it is told to stop.
func (s *setup) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	for _, v := range s.vms {
		_ = v.command.Process.Kill()
	}
	os.Exit(exitNotRun)
}

// cases are the cases by name.
var cases = map[string]func(s *setup, hasTrouble bool) (broken bool, err error){
	"idle":    idleCase,
	"darkvm":  darkVMCase,
	"spoiled": spoiledCase,
}

func main() {
	root := flag.String("root", ".", "root of the repository")
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	hasTrouble := flag.Bool("trouble", true, "whether the disruption is played")
	flag.Parse()
	os.Exit(run(*root, *name, *path, *hasTrouble))
}

// run plays a case and returns the exit code.
func run(root, name, path string, hasTrouble bool) int {
	play, ok := cases[name]
	r, err := newRecord(path)
	if err != nil || !ok {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &setup{root: root, dir: dir, record: r, store: newStore()}
	defer s.stop()
	go s.stopOnSignal()
	if err := s.start(); err != nil {
		r.resultf("the case could not run: %v", err)
		return exitNotRun
	}
	broken, err := play(s, hasTrouble)
	switch {
	case err != nil:
		r.resultf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.resultf("the rule is broken")
		return exitBroken
	default:
		r.resultf("the rule held")
		return exitHeld
	}
}

// Versions of the configuration: the first one, and one with a route for uploads.
const (
	firstVersion   = 7
	uploadVersion  = 9
	uploadTimeoutS = 3.0
)

// Sizes of the stand-in's site.
const (
	lookupServers = 8
	commitServers = 4
	uploadServers = 2
	lookupWork    = 60 * time.Millisecond
	commitWork    = 60 * time.Millisecond
	uploadWork    = 260 * time.Millisecond
)

// workTimes holds how long the servers of each service work on a request.
var workTimes = map[string]time.Duration{lookupServer: lookupWork, commitServer: commitWork, uploadServer: uploadWork}

// loopbackHost is where everything listens.
const loopbackHost = "127.0.0.1"

// start starts the store, the servers and the first process, and waits until it is ready.
func (s *setup) start() error {
	listener, err := net.Listen("tcp", loopbackHost+":0")
	if err != nil {
		return err
	}
	s.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store.handler()) }()
	s.store.put("op", "config", siteConfig(firstVersion, 0))
	services := slices.Concat(
		slices.Repeat([]string{lookupServer}, lookupServers),
		slices.Repeat([]string{commitServer}, commitServers),
		slices.Repeat([]string{uploadServer}, uploadServers),
	)
	for i, service := range services {
		one, err := startServer(loopbackHost, fmt.Sprintf("i-%08x", i+1), service, "zone-a", workTimes[service], s.record, &s.runs)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, one)
		go one.heartbeat(s.store)
	}
	s.vm, err = s.startVM("front-1")
	return err
}
