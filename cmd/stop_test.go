package cmd_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// usedAddresses are the addresses that were given out.
var usedAddresses = map[string]bool{}

// freeAddress returns an address that nobody listens at and that was not given
// out before. It is on a loopback address of this test process alone: the source
// ports of connections, which are on 127.0.0.1, can't take it in the meantime.
func freeAddress(t *testing.T) string {
	t.Helper()
	host := fmt.Sprintf("127.77.%d.%d", os.Getpid()/250%250, os.Getpid()%250+1)
	for range 100 {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
	t.Fatal("no free address")
	return ""
}

// running is a process under test.
type running struct {
	command *exec.Cmd
	output  bytes.Buffer
}

// shownOutput is how much of a process's output is shown when its test failed,
// in bytes.
const shownOutput = 1000

// start starts a command; it is ended with the test.
func start(t *testing.T, name string, args ...string) *running {
	t.Helper()
	r := &running{command: exec.Command(filepath.Join(binDir, name), args...)}
	r.command.Stdout = &r.output
	r.command.Stderr = &r.output
	if err := r.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = r.command.Process.Kill()
		_ = r.command.Wait()
		if t.Failed() {
			text := r.output.Bytes()
			t.Logf("%s: %s", name, text[max(0, len(text)-shownOutput):])
		}
	})
	return r
}

// stop asks the process to stop and returns its exit code.
func (r *running) stop(t *testing.T) int {
	t.Helper()
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = r.command.Wait()
	return r.command.ProcessState.ExitCode()
}

// vmProcesses are the addresses and settings files of one VM.
type vmProcesses struct {
	gateway, gatewayOps  string
	agent, agentOps      string
	admin, adminOps      string
	gatewayFile          string
	agentFile, adminFile string
	gatewayRun, agentRun *running
	adminRun             *running
}

// token is the token of team t; tokenHash is its SHA-256.
const token = "stop-test"

func startVM(t *testing.T, name, platformAt string) *vmProcesses {
	t.Helper()
	v := &vmProcesses{
		gateway: freeAddress(t), gatewayOps: freeAddress(t), agent: freeAddress(t),
		agentOps: freeAddress(t), admin: freeAddress(t), adminOps: freeAddress(t),
	}
	hash := sha256.Sum256([]byte(token))
	vm := "[vm]\nname = " + name + "\nzone = a\n"
	v.gatewayFile = settingsFile(t, vm+fmt.Sprintf("[gateway]\nlisten = %s\noperators = %s\nagent = %s\nplatform = %s\nstop_lag = 500ms\n",
		v.gateway, v.gatewayOps, v.agent, platformAt))
	v.agentFile = settingsFile(t, vm+fmt.Sprintf("[agent]\nlisten = %s\noperators = %s\nplatform = %s\nfeed_interval = 100ms\n",
		v.agent, v.agentOps, platformAt))
	v.adminFile = settingsFile(t, vm+fmt.Sprintf("[admin]\nlisten = %s\noperators = %s\nagent = %s\nplatform = %s\n[tokens]\nt = %s\n",
		v.admin, v.adminOps, v.agent, platformAt, hex.EncodeToString(hash[:])))
	v.agentRun = start(t, "figfront-agent", "run", "--settings", v.agentFile)
	v.gatewayRun = start(t, "figfront-gateway", "run", "--settings", v.gatewayFile)
	v.adminRun = start(t, "figfront-admin", "run", "--settings", v.adminFile)
	return v
}

func settingsFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// isOK tells whether a GET is answered with 200.
func isOK(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitOK waits until a GET is answered with 200.
func waitOK(t *testing.T, url string) {
	t.Helper()
	for range 500 {
		if isOK(url) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no answer from ", url)
}

// balancer sends callers to gateways that were ready when it looked last, as
// the platform's does.
type balancer struct {
	vms   []*vmProcesses
	ready []atomic.Bool
	next  atomic.Int64
	done  chan struct{}
}

func newBalancer(vms ...*vmProcesses) *balancer {
	b := &balancer{vms: vms, ready: make([]atomic.Bool, len(vms)), done: make(chan struct{})}
	b.look()
	go func() {
		for {
			select {
			case <-time.After(50 * time.Millisecond):
				b.look()
			case <-b.done:
				return
			}
		}
	}()
	return b
}

func (b *balancer) look() {
	for i, v := range b.vms {
		b.ready[i].Store(isOK("http://" + v.gatewayOps + "/readyz"))
	}
}

func (b *balancer) pick() string {
	for {
		i := int(b.next.Add(1)) % len(b.vms)
		if b.ready[i].Load() {
			return "http://" + b.vms[i].gateway
		}
	}
}

// dripBody gives size bytes in ten steps over a time.
type dripBody struct {
	data []byte
	step int
	over time.Duration
}

func (d *dripBody) Read(p []byte) (int, error) {
	if len(d.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(d.over / 10)
	n := copy(p, d.data[:min(d.step, len(d.data))])
	d.data = d.data[n:]
	return n, nil
}

// received is what the upstream's stand-in says that it received.
type received struct {
	SHA256 string `json:"sha256"`
}

// callOnce makes a call and tells whether its whole answer came and names the
// bytes that were sent.
func callOnce(client *http.Client, method, url string, data []byte, body io.Reader) error {
	r, err := http.NewRequest(method, url, body)
	if err != nil {
		return err
	}
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var got received
	sum := sha256.Sum256(data)
	if err := json.Unmarshal(text, &got); err != nil || got.SHA256 != hex.EncodeToString(sum[:]) {
		return fmt.Errorf("%s: status %d: %s", method, response.StatusCode, text)
	}
	return nil
}

// load makes calls of all kinds until done is closed and counts them.
type load struct {
	balancer *balancer
	calls    atomic.Int64
	mu       sync.Mutex
	failures []error
}

func (l *load) call(client *http.Client, method, path string, data []byte, body io.Reader) {
	l.calls.Add(1)
	if err := callOnce(client, method, l.balancer.pick()+path, data, body); err != nil {
		l.mu.Lock()
		l.failures = append(l.failures, err)
		l.mu.Unlock()
	}
}

func (l *load) run(done <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
		l.call(client, http.MethodGet, "/t/s/x", nil, nil)
		l.call(client, http.MethodPost, "/t/s/x", []byte("booking"), bytes.NewReader([]byte("booking")))
	}
}

func (l *load) upload(over time.Duration) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	data := bytes.Repeat([]byte("0123456789"), 20_000)
	l.call(client, http.MethodPut, "/t/s/x", data, &dripBody{data: data, step: len(data) / 10, over: over})
}

const stopTestSettings = `
[/teams/t/services/s]
[/teams/t/services/s/traffic/lookup]
deadline = 10s
[/teams/t/services/s/traffic/booking]
deadline = 10s
methods = POST
[/teams/t/services/s/traffic/upload]
[/teams/t/services/s/upstreams/u1]
address = %s
zone = a
max_connections = 64
slots = 16
[/teams/t/services/s/upstreams/u2]
address = %s
zone = a
max_connections = 64
slots = 16
`

// TestPlannedStop stops one of two gateways under load, with uploads that are
// half sent. Callers that follow readiness see no failed call. Then the agent
// and the admin process of the other VM are restarted alone; its gateway serves
// on.
func TestPlannedStop(t *testing.T) {
	g := NewWithT(t)
	platformAt, upstream1, upstream2 := freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, "figfront-standin", "platform", "--listen", platformAt)
	for name, address := range map[string]string{"u1": upstream1, "u2": upstream2} {
		start(t, "figfront-standin", "upstream", "--listen", address, "--name", name, "--slots", "16", "--service-time", "2ms")
	}
	waitOK(t, "http://"+platformAt+"/healthz")
	first := startVM(t, "vm1", platformAt)
	second := startVM(t, "vm2", platformAt)
	waitOK(t, "http://"+second.adminOps+"/readyz")
	file := settingsFile(t, fmt.Sprintf(stopTestSettings, upstream1, upstream2))
	code, output := run(t, "figfrontctl", "--admin", "http://"+second.admin, "--team", "t", "--token", token,
		"--author", "test", "apply", file)
	g.Expect(code).To(Equal(exitOK), output)
	for _, v := range []*vmProcesses{first, second} {
		waitOK(t, "http://"+v.gatewayOps+"/readyz")
		waitOK(t, "http://"+v.gateway+"/t/s/x")
	}

	l := &load{balancer: newBalancer(first, second)}
	defer close(l.balancer.done)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() { l.run(done) })
	}
	for i := range 10 {
		callers.Go(func() { l.upload(time.Duration(1+i%3) * time.Second) })
	}
	time.Sleep(400 * time.Millisecond)
	g.Expect(first.gatewayRun.stop(t)).To(Equal(exitOK), first.gatewayRun.output.String())
	atStop := l.calls.Load()

	g.Expect(second.agentRun.stop(t)).To(Equal(exitOK))
	g.Expect(second.adminRun.stop(t)).To(Equal(exitOK))
	for l.calls.Load() < 2*atStop {
		time.Sleep(10 * time.Millisecond)
	}
	start(t, "figfront-agent", "run", "--settings", second.agentFile)
	start(t, "figfront-admin", "run", "--settings", second.adminFile)
	waitOK(t, "http://"+second.agentOps+"/readyz")
	waitOK(t, "http://"+second.adminOps+"/readyz")
	close(done)
	callers.Wait()
	t.Logf("%d calls, %d of them until the stop had ended; %d failed", l.calls.Load(), atStop, len(l.failures))
	g.Expect(l.failures).To(BeEmpty())
}
