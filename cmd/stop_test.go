package cmd_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/figfront/figfront/internal/loopback"
)

// freeAddress returns an unused address that it has not returned before.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress(testHost)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// testHost is the host of the processes under test.
var testHost = loopback.NextHost()

// testProcess is a running process under test.
type testProcess struct {
	command *exec.Cmd
	output  bytes.Buffer
}

// maxLoggedOutput is the number of bytes at the end of a process's output that are
// logged if its test fails.
const maxLoggedOutput = 1000

// start starts a command, which is killed when the test ends.
func start(t *testing.T, name string, args ...string) *testProcess {
	t.Helper()
	r := &testProcess{command: exec.Command(filepath.Join(binDir, name), args...)}
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
			t.Logf("%s: %s", name, text[max(0, len(text)-maxLoggedOutput):])
		}
	})
	return r
}

// stop sends SIGTERM to the process, waits until it exits and returns its exit code.
func (r *testProcess) stop(t *testing.T) int {
	t.Helper()
	if err := r.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = r.command.Wait()
	return r.command.ProcessState.ExitCode()
}

// stopTwice is stop with a second SIGTERM a while after the first.
func (r *testProcess) stopTwice(t *testing.T) int {
	t.Helper()
	time.AfterFunc(secondSignal, func() { _ = r.command.Process.Signal(syscall.SIGTERM) })
	return r.stop(t)
}

// secondSignal is the time between two signals to a process. It is shorter than the lag of its stop.
const secondSignal = 100 * time.Millisecond

// vmProcesses holds the processes of one VM, their addresses and settings files.
type vmProcesses struct {
	gateway, gatewayOps  string
	agent, agentOps      string
	admin, adminOps      string
	gatewayFile          string
	agentFile, adminFile string
	gatewayRun, agentRun *testProcess
	adminRun             *testProcess
}

// token is the bearer token of team t.
const token = "stop-test"

// startVM starts an agent, a gateway and an admin process.
func startVM(t *testing.T, name, platformAddress string) *vmProcesses {
	t.Helper()
	v := &vmProcesses{
		gateway: freeAddress(t), gatewayOps: freeAddress(t), agent: freeAddress(t),
		agentOps: freeAddress(t), admin: freeAddress(t), adminOps: freeAddress(t),
	}
	hash := sha256.Sum256([]byte(token))
	vm := "[vm]\nname = " + name + "\nzone = a\n"
	v.gatewayFile = settingsFile(t, vm+fmt.Sprintf("[gateway]\nlisten = %s\noperators = %s\nagent = %s\nplatform = %s\nstop_lag = 500ms\n",
		v.gateway, v.gatewayOps, v.agent, platformAddress))
	v.agentFile = settingsFile(t, vm+fmt.Sprintf("[agent]\nlisten = %s\noperators = %s\nplatform = %s\nfeed_interval = 100ms\n",
		v.agent, v.agentOps, platformAddress))
	v.adminFile = settingsFile(t, vm+fmt.Sprintf("[admin]\nlisten = %s\noperators = %s\nagent = %s\nplatform = %s\n[tokens]\nt = %s\n",
		v.admin, v.adminOps, v.agent, platformAddress, hex.EncodeToString(hash[:])))
	v.agentRun = start(t, "figfront-agent", "run", "--settings", v.agentFile)
	v.gatewayRun = start(t, "figfront-gateway", "run", "--settings", v.gatewayFile)
	v.adminRun = start(t, "figfront-admin", "run", "--settings", v.adminFile)
	return v
}

// settingsFile writes a settings file and returns its path.
func settingsFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// isOK reports whether a GET gets status 200.
func isOK(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitOK waits until a GET gets status 200 and fails the test after 500 attempts,
// which is 10 s or more.
func waitOK(t *testing.T, url string) {
	t.Helper()
	for range 500 {
		if isOK(url) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no status 200 from ", url)
}

// balancer sends calls in turn to the gateways that were ready at its last check, as
// the platform's balancer does.
type balancer struct {
	vms   []*vmProcesses
	ready []atomic.Bool
	next  atomic.Int64
	done  chan struct{}
}

func newBalancer(vms ...*vmProcesses) *balancer {
	b := &balancer{vms: vms, ready: make([]atomic.Bool, len(vms)), done: make(chan struct{})}
	b.refresh()
	go func() {
		for {
			select {
			case <-time.After(50 * time.Millisecond):
				b.refresh()
			case <-b.done:
				return
			}
		}
	}()
	return b
}

// refresh checks the readiness of all gateways.
func (b *balancer) refresh() {
	for i, v := range b.vms {
		b.ready[i].Store(isOK("http://" + v.gatewayOps + "/readyz"))
	}
}

// pick returns the URL of the next ready gateway. It blocks while there is none.
func (b *balancer) pick() string {
	for {
		i := int(b.next.Add(1)) % len(b.vms)
		if b.ready[i].Load() {
			return "http://" + b.vms[i].gateway
		}
	}
}

// slowBody is a request body that is delivered in steps of step bytes, each of which
// takes a tenth of duration.
type slowBody struct {
	data     []byte
	step     int
	duration time.Duration
}

func (d *slowBody) Read(p []byte) (int, error) {
	if len(d.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(d.duration / 10)
	n := copy(p, d.data[:min(d.step, len(d.data))])
	d.data = d.data[n:]
	return n, nil
}

// standinResponse is the response of the upstream's stand-in, which describes the
// request.
type standinResponse struct {
	SHA256 string `json:"sha256"`
}

// callAndVerify makes a call and returns an error unless the complete response arrives
// and has the hash of the bytes that were sent.
func callAndVerify(client *http.Client, method, url string, data []byte, body io.Reader) error {
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
	var got standinResponse
	sum := sha256.Sum256(data)
	if err := json.Unmarshal(text, &got); err != nil || got.SHA256 != hex.EncodeToString(sum[:]) {
		return fmt.Errorf("%s: status %d: %s", method, response.StatusCode, text)
	}
	return nil
}

// load makes calls of all kinds and counts the calls and their failures.
type load struct {
	balancer *balancer
	calls    atomic.Int64
	mu       sync.Mutex
	failures []error
}

// call makes one call and records it.
func (l *load) call(client *http.Client, method, path string, data []byte, body io.Reader) {
	l.calls.Add(1)
	if err := callAndVerify(client, method, l.balancer.pick()+path, data, body); err != nil {
		l.mu.Lock()
		l.failures = append(l.failures, err)
		l.mu.Unlock()
	}
}

// run makes lookups and bookings until done is closed.
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

// upload makes one upload of 200 kB whose body takes duration to arrive.
func (l *load) upload(duration time.Duration) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	data := bytes.Repeat([]byte("0123456789"), 20_000)
	l.call(client, http.MethodPut, "/t/s/x", data, &slowBody{data: data, step: len(data) / 10, duration: duration})
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

// TestGracefulShutdown checks that no call fails when one of two gateways shuts down
// gracefully, though it gets a second SIGTERM, under load with half-sent uploads, given a balancer that follows
// readiness, nor when the agent and the admin process of the other VM are restarted
// while its gateway keeps serving.
func TestGracefulShutdown(t *testing.T) {
	g := NewWithT(t)
	platformAddress, upstream1, upstream2 := freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, "figfront-standin", "platform", "--listen", platformAddress)
	for name, address := range map[string]string{"u1": upstream1, "u2": upstream2} {
		start(t, "figfront-standin", "upstream", "--listen", address, "--name", name, "--slots", "16", "--service-time", "2ms")
	}
	waitOK(t, "http://"+platformAddress+"/healthz")
	first := startVM(t, "vm1", platformAddress)
	second := startVM(t, "vm2", platformAddress)
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
	g.Expect(first.gatewayRun.stopTwice(t)).To(Equal(exitOK), first.gatewayRun.output.String())
	callsAtStop := l.calls.Load()

	g.Expect(second.agentRun.stop(t)).To(Equal(exitOK))
	g.Expect(second.adminRun.stop(t)).To(Equal(exitOK))
	for l.calls.Load() < 2*callsAtStop {
		time.Sleep(10 * time.Millisecond)
	}
	start(t, "figfront-agent", "run", "--settings", second.agentFile)
	start(t, "figfront-admin", "run", "--settings", second.adminFile)
	waitOK(t, "http://"+second.agentOps+"/readyz")
	waitOK(t, "http://"+second.adminOps+"/readyz")
	close(done)
	callers.Wait()
	t.Logf("%d calls, %d of them before the first gateway had stopped; %d failed", l.calls.Load(), callsAtStop, len(l.failures))
	g.Expect(l.failures).To(BeEmpty())
}
