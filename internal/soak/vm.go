package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/loopback"
)

// stopTimeout is the setting stop_timeout of the processes; stopMargin is how much longer a
// planned stop may take on a busy machine.
const (
	stopTimeout = 4 * time.Second
	stopMargin  = 4 * time.Second
)

// VM is one figfront-entry process, which may be restarted. It is safe for concurrent use.
type VM struct {
	Name string
	Zone string
	// ListenAddress is the host:port at which callers reach it.
	ListenAddress string

	options vmOptions
	// exchangeAddress is the host:port at which the other VMs reach it.
	exchangeAddress string
	// store is the proxy through which the process reaches the store, and peers the one
	// through which the other VMs reach the process.
	store, peers *Proxy
	// source is the loopback host from which the process connects to servers.
	source string

	// hasLostLinks is set while the process has no links to servers, and linksRestoredAt is
	// when a loss last ended, in nanoseconds of Unix time.
	hasLostLinks    atomic.Bool
	linksRestoredAt atomic.Int64

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// mayEnd is set once the process has got a signal that ends it; ownEnds holds how processes
	// ended that had not.
	mayEnd  bool
	ownEnds []string
	// starts counts the starts of the process.
	starts int
	// lastFaultAt is when a fault of the process, its store link or the store last began
	// or ended, or when the process was last started or signalled.
	lastFaultAt time.Time
	// faultTimes holds all such times.
	faultTimes []time.Time
}

// vmOptions are the options that all VMs of a run share.
type vmOptions struct {
	binary string
	dir    string
	// host is the loopback address at which the processes listen.
	host string
	// store is the address of the store, seeds the setting of the same name.
	store string
	seeds string
}

// newVM returns a VM that is not yet started. exchangeAddress is the host:port at which
// the other VMs reach it.
func newVM(name, zone, exchangeAddress string, options vmOptions) (*VM, error) {
	store, err := NewProxy(options.store)
	if err != nil {
		return nil, err
	}
	peers, err := NewProxy(exchangeAddress)
	if err != nil {
		return nil, err
	}
	listenAddress, err := loopback.FreeAddress(options.host)
	return &VM{
		Name: name, Zone: zone, ListenAddress: listenAddress, options: options, exchangeAddress: exchangeAddress,
		store: store, peers: peers, source: loopback.NextHost(),
	}, err
}

// Start starts the process unless it is already running.
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
	v.mayEnd = false
	v.starts++
	v.recordFaultLocked()
	exited := make(chan struct{})
	v.exited = exited
	go func() {
		_ = process.Wait()
		v.mu.Lock()
		defer v.mu.Unlock()
		v.process = nil
		if !v.mayEnd {
			v.ownEnds = append(v.ownEnds, process.ProcessState.String())
		}
		close(exited)
	}()
	return nil
}

// writeSettings writes the process's settings file and returns its path.
func (v *VM) writeSettings() (string, error) {
	ready, err := loopback.FreeAddress(v.options.host)
	if err != nil {
		return "", err
	}
	operators, err := loopback.FreeAddress(v.options.host)
	if err != nil {
		return "", err
	}
	settings := fmt.Sprintf("[vm]\nname = %s\nzone = %s\n[entry]\nlisten = %s\nready = %s\noperators = %s\nexchange = %s\n"+
		"advertised = %s\nsource = %s\nseeds = %s\nstore = %s\nheartbeat = %s\ndrain_bound = %s\nconfig_bound = %s\nstop_lag = 300ms\nstop_timeout = %s\n",
		v.Name, v.Zone, v.ListenAddress, ready, operators, v.exchangeAddress, v.peers.Address(), v.source, v.options.seeds, v.store.Address(),
		heartbeatInterval, drainBound, configBound, stopTimeout)
	path := filepath.Join(v.options.dir, v.Name+".ini")
	return path, os.WriteFile(path, []byte(settings), 0o600)
}

// Signal sends a signal to the process if it is running, and counts as a fault.
func (v *VM) Signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordFaultLocked()
	v.mayEnd = v.mayEnd || signal == syscall.SIGKILL || signal == syscall.SIGTERM
	if v.process != nil {
		_ = v.process.Process.Signal(signal)
	}
}

// OwnEnds returns how processes ended that had got no signal that ends them.
func (v *VM) OwnEnds() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.ownEnds)
}

// Stop resumes the process if it is paused and stops it gracefully with SIGTERM. It
// returns false if the process did not exit within stopTimeout and stopMargin and was
// killed.
func (v *VM) Stop() bool {
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGTERM)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(stopTimeout + stopMargin):
		v.Signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// Starts returns how often the process was started.
func (v *VM) Starts() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// recordFault records that a fault of the VM or its links begins or ends now.
func (v *VM) recordFault() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordFaultLocked()
}

func (v *VM) recordFaultLocked() {
	v.lastFaultAt = time.Now()
	v.faultTimes = append(v.faultTimes, v.lastFaultAt)
}

// isFaultFree reports whether no fault of the VM began or ended between two times.
func (v *VM) isFaultFree(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !slices.ContainsFunc(v.faultTimes, func(t time.Time) bool { return t.After(from) && t.Before(to) })
}

// isFaultFreeSince reports whether no fault of the VM began or ended since t.
func (v *VM) isFaultFreeSince(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastFaultAt.Before(t)
}
