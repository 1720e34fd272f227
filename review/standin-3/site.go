//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/figfront/figfront/internal/loopback"
	"github.com/figfront/figfront/platform/storetest"
)

// Names and times of the site, as the pages give them for Aso Crank.
const (
	host      = "jepu9.example"
	prefix    = "/lepu270/"
	service   = "pay-desk"
	zone      = "fukuoka-hall"
	heartbeat = 1500 * time.Millisecond
	// startTimeout limits the time until a VM is ready.
	startTimeout = 20 * time.Second
)

// site is a store, servers and VMs on loopback.
type site struct {
	record *record
	dir    string
	store  *storetest.Store
	// storeAddress is where the store serves.
	storeAddress string
	servers      []*server
	vms          []*vm
	done         chan struct{}
	// closeOnce guards closeAll.
	closeOnce sync.Once
	beats     sync.WaitGroup
}

// vm is a figfront-entry process.
type vm struct {
	name    string
	front   string
	ready   string
	process *exec.Cmd
	exited  chan struct{}
}

// newSite starts a store.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "figfront-review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, store: storetest.New(), storeAddress: listener.Addr().String(), done: make(chan struct{})}
	go func() { _ = http.Serve(listener, s.store.Handler()) }()
	return s, nil
}

// route is a route of the configuration.
type route struct {
	Prefix, Name, Type  string
	TimeoutS, Objective float64
	Priority, Attempts  int
	Service             string
}

// object is a JSON object.
type object = map[string]any

// encode returns the route as the platform writes it.
func (r route) encode() object {
	return object{
		"prefix": r.Prefix, "name": r.Name, wire["kind"]: r.Type, "timeoutS": r.TimeoutS, wire["objective"]: r.Objective,
		"priority": r.Priority, "attempts": r.Attempts, "service": r.Service,
	}
}

// configure writes a version of the configuration.
func (s *site) configure(version int, services []string, routes []route) error {
	var listed, paths []object
	for _, name := range services {
		listed = append(listed, object{"name": name, "healthPath": healthPath, wire["connections"]: 220})
	}
	for _, r := range routes {
		paths = append(paths, r.encode())
	}
	encoded, err := json.Marshal(object{
		"version": fmt.Sprintf("%08x", version), "services": listed,
		"limits":      object{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutS": 5, "idleTimeoutS": 15},
		wire["hosts"]: []object{{"hostname": host, "paths": paths}},
	})
	if err != nil {
		return err
	}
	s.store.Put("op", "config", encoded)
	s.record.add("configuration %08x is acknowledged", version)
	return nil
}

// settings is the deploy file's template, filled in as the platform does for a small deployment.
const settings = `[vm]
name = %s
zone = %s

[entry]
listen = %s
ready = %s
operators = %s
exchange = %s
seeds = %s
store = %s
heartbeat = 1.5s
asks_per_second = 60
retry_ratio = 0.2
retry_slack = 56
drain_bound = 2s
config_bound = 2s
cores = 0.32
link_mbps = 1000
memory_mb = 284
stop_timeout = 6s
`

// startVMs starts VMs at one IP and waits until each is ready.
func (s *site) startVMs(names ...string) error {
	ip := loopback.NextHost()
	seed := ""
	for _, name := range names {
		own, err := freeAddresses(ip, 4)
		if err != nil {
			return err
		}
		seed = cmp.Or(seed, own[3])
		path := filepath.Join(s.dir, name+".ini")
		filled := fmt.Sprintf(settings, name, zone, own[0], own[1], own[2], own[3], seed, s.storeAddress)
		if err := os.WriteFile(path, []byte(filled), 0o600); err != nil {
			return err
		}
		v := &vm{name: name, front: own[0], ready: own[1]}
		if err := s.start(v, path); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if err := v.awaitReady(); err != nil {
			return err
		}
		s.record.add("%s is ready", v.name)
	}
	return nil
}

// start starts the process of a VM with the command of the deploy file.
func (s *site) start(v *vm, settingsPath string) error {
	log, err := os.Create(filepath.Join(s.dir, v.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command("target/figfront-entry", "run")
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGFRONT_CONFIG=" + settingsPath}
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func() {
		_ = v.process.Wait()
		close(v.exited)
	}()
	return nil
}

// awaitReady waits until the VM answers 200 to the platform's question.
func (v *vm) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + v.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}

// freeAddresses returns addresses of a loopback IP at which nothing listens. They lie below the ports that the
// system chooses for outgoing connections.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		address, err := loopback.FreeAddress(ip)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// close ends all processes and servers, once.
func (s *site) close() {
	s.closeOnce.Do(s.closeAll)
}

func (s *site) closeAll() {
	close(s.done)
	for _, v := range s.vms {
		_ = v.process.Process.Signal(syscall.SIGCONT)
		_ = v.process.Process.Kill()
		<-v.exited
	}
	for _, server := range s.servers {
		server.close()
	}
	s.beats.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
