package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// vm is one process of the deploy file on a VM.
type vm struct {
	name, zone                         string
	listen, ready, operators, exchange string
	dir                                string

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	isRunning bool
	// peak is the most memory that was seen, in MB, ownEnds when the platform ended the process
	// because of its memory.
	peak    int
	pauses  int
	ownEnds []time.Time
}

// vmHost returns the loopback address at which the VMs of this run listen. No connection is
// made from there, and no other run uses it.
func vmHost() string {
	const firstNet, nets, hosts = 64, 128, 250
	return fmt.Sprintf("127.%d.%d.1", firstNet+os.Getpid()%nets, os.Getpid()/nets%hosts)
}

// newVM reserves the addresses of a VM. release has to be called right before it starts.
func newVM(name, zone, dir string) (v *vm, release func(), err error) {
	v = &vm{name: name, zone: zone, dir: dir}
	var listeners []net.Listener
	for _, address := range []*string{&v.listen, &v.ready, &v.operators, &v.exchange} {
		listener, err := net.Listen("tcp", vmHost()+":0")
		if err != nil {
			return nil, nil, err
		}
		*address = listener.Addr().String()
		listeners = append(listeners, listener)
	}
	release = func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}
	return v, release, nil
}

// start writes the settings as the template of the deploy file does, and starts the process.
func (v *vm) start(binary, storeAddress string, seeds []string) error {
	settings := strings.Join([]string{
		"[vm]", "name = " + v.name, "zone = " + v.zone, "",
		"[entry]", "listen = " + v.listen, "ready = " + v.ready, "operators = " + v.operators,
		"exchange = " + v.exchange, "seeds = " + strings.Join(seeds, ","), "store = " + storeAddress,
		"heartbeat = 1.5s", "asks_per_second = 60", "retry_ratio = 0.2", "retry_slack = 56", "drain_bound = 2s",
		"config_bound = 2s", "cores = 0.32", "link_mbps = 1000.0", "memory_mb = 284", "stop_timeout = 6s", "",
	}, "\n")
	path := filepath.Join(v.dir, v.name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = exec.Command(binary, "run")
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.dir, "FIGFRONT_CONFIG=" + path}
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.exited, v.isRunning = exited, true
	process := v.process
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// ended returns a channel that is closed when the process has ended.
func (v *vm) ended() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.exited
}

// pid returns the id of the process; 0 if it has ended.
func (v *vm) pid() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return 0
	default:
		return v.process.Process.Pid
	}
}

// signal sends a signal to the process, unless it has ended.
func (v *vm) signal(sent syscall.Signal) { _ = v.process.Process.Signal(sent) }

// stop kills the process and waits for its end.
func (v *vm) stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isRunning {
		return
	}
	_ = v.process.Process.Kill()
	<-v.exited
	v.isRunning = false
}

// isReady asks the VM as the platform does.
func (v *vm) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func awaitReady(vms []*vm, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		isReady := true
		for _, v := range vms {
			isReady = isReady && v.isReady()
		}
		if isReady {
			return nil
		}
	}
	return fmt.Errorf("the VMs are not ready after %v", limit)
}
