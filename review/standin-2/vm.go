package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// vm is one process of the deploy file.
type vm struct {
	name    string
	front   string
	ready   string
	command *exec.Cmd
	log     *os.File
}

// freePort returns a free port of a loopback host.
func freePort(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startVM starts the program of the deploy file with settings that are made from the project's own
// template. The files are in dir.
func startVM(root, dir, name, host, zone, storeAddress string) (*vm, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freePort(host)
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	template, err := os.ReadFile(filepath.Join(root, "platform", "entry.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	_, operatorsPort, _ := net.SplitHostPort(addresses[2])
	settings := strings.NewReplacer(
		"{{nodeName}}", name, "{{zone}}", zone, "{{listen.front}}", addresses[0], "{{listen.ready}}", addresses[1],
		"{{ip}}", host, "{{internalPorts.0}}", operatorsPort, "{{listen.control}}", addresses[3], "{{seeds}}", addresses[3],
		"{{provider.address}}", storeAddress, "{{heartbeatS}}", "1.5", "{{bounds.probesPerS}}", "60",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetSlack}}", "56", "{{bounds.drainS}}", "2",
		"{{bounds.configApplyS}}", "2", "{{limits.cpuShare}}", "0.32", "{{limits.linkMbps}}", "1000.0",
		"{{limits.memoryMb}}", "284", "{{bounds.graceS}}", "6",
	).Replace(string(template))
	if strings.Contains(settings, "{{") {
		return nil, fmt.Errorf("the template has a placeholder that is not known: %s", settings)
	}
	path := filepath.Join(dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, front: addresses[0], ready: addresses[1], log: log}
	v.command = exec.Command("target/figfront-entry", "run")
	v.command.Dir = root
	v.command.Env = append(os.Environ(), "FIGFRONT_CONFIG="+path)
	v.command.Stdout, v.command.Stderr = log, log
	return v, v.command.Start()
}

// isReady asks the process, as the platform does, whether it takes new connections.
func (v *vm) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (v *vm) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return true
		}
	}
	return false
}

// kill ends the process.
func (v *vm) kill() {
	_ = v.command.Process.Kill() // Ends a stopped process, too.
	_ = v.command.Wait()
	_ = v.log.Close()
}
