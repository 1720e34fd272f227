package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// stopTimeout is that of the processes' settings; stopMargin is how much longer a
// planned stop may take on a busy machine.
const (
	stopTimeout = 4 * time.Second
	stopMargin  = 4 * time.Second
)

// VM is one figfront-entry process, which is started again and again.
type VM struct {
	Name string
	Zone string
	// Front is where callers reach it.
	Front string

	options  vmOptions
	exchange string
	store    *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// life counts the starts.
	life int
	// troubledAt is when something was last done to the process or its links.
	troubledAt time.Time
}

// vmOptions are what all VMs share.
type vmOptions struct {
	binary string
	dir    string
	// host is the address of loopback that the processes listen at.
	host  string
	store string
	seeds string
}

// newVM returns a VM that is not started.
func newVM(name, zone, exchange string, options vmOptions) (*VM, error) {
	store, err := NewProxy(options.store)
	if err != nil {
		return nil, err
	}
	front, err := freeAddress(options.host)
	return &VM{Name: name, Zone: zone, Front: front, options: options, exchange: exchange, store: store}, err
}

// runs counts the runs of this process.
var runs atomic.Uint32

// newHost returns an address of loopback that this run has for itself: on 127.0.0.1
// an outgoing connection may take a port before its process listens there.
func newHost() string {
	const firstNet, nets, hosts = 64, 128, 250
	return fmt.Sprintf("127.%d.%d.%d", firstNet+os.Getpid()%nets, os.Getpid()/nets%hosts, runs.Add(1)%hosts+1)
}

// freeAddress returns an address on a host of loopback that nobody listens at.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Start starts the process unless it runs.
func (v *VM) Start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		return nil
	}
	path, err := v.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.options.dir, v.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(v.options.binary, "run")
	process.Env = append(os.Environ(), "FIGFRONT_CONFIG="+path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start "+v.Name)
	}
	v.process = process
	v.life++
	v.troubledAt = time.Now()
	ended := make(chan struct{})
	v.ended = ended
	go func() {
		_ = process.Wait()
		v.mu.Lock()
		defer v.mu.Unlock()
		v.process = nil
		close(ended)
	}()
	return nil
}

// writeSettings writes the process's settings file and returns its path.
func (v *VM) writeSettings() (string, error) {
	ready, err := freeAddress(v.options.host)
	if err != nil {
		return "", err
	}
	operators, err := freeAddress(v.options.host)
	if err != nil {
		return "", err
	}
	settings := fmt.Sprintf("[vm]\nname = %s\nzone = %s\n[entry]\nlisten = %s\nready = %s\noperators = %s\nexchange = %s\n"+
		"seeds = %s\nstore = %s\nheartbeat = %s\ndrain_bound = %s\nconfig_bound = %s\nstop_lag = 300ms\nstop_timeout = %s\n",
		v.Name, v.Zone, v.Front, ready, operators, v.exchange, v.options.seeds, v.store.Address(),
		heartbeat, drainBound, configBound, stopTimeout)
	path := filepath.Join(v.options.dir, v.Name+".ini")
	return path, os.WriteFile(path, []byte(settings), 0o600)
}

// Signal sends a signal to the process, if it runs.
func (v *VM) Signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.troubledAt = time.Now()
	if v.process != nil {
		_ = v.process.Process.Signal(signal)
	}
}

// Stop stops the process as planned. It returns false when it did not end in time
// and was killed.
func (v *VM) Stop() bool {
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGTERM)
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(stopTimeout + stopMargin):
		v.Signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// Life returns the number of the process's start.
func (v *VM) Life() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life
}

// trouble records that something is done to the VM's links.
func (v *VM) trouble() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.troubledAt = time.Now()
}

// isCalmSince tells whether nothing was done to the VM since a time.
func (v *VM) isCalmSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.troubledAt.Before(t)
}
