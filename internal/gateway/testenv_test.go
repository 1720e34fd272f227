package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// errNoListener is returned for an address where nothing listens.
var errNoListener = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// memoryNet connects the HTTP clients and servers of a synctest bubble by pipes.
type memoryNet struct {
	mu    sync.Mutex
	hosts map[string]*memoryListener
	conns map[string][]net.Conn
}

type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func newMemoryNet() *memoryNet {
	return &memoryNet{hosts: map[string]*memoryListener{}, conns: map[string][]net.Conn{}}
}

func (n *memoryNet) listen(address string) *memoryListener {
	l := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = l
	return l
}

func (n *memoryNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.hosts[address]
	n.mu.Unlock()
	if !ok {
		return nil, errNoListener
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, errNoListener
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = append(n.conns[address], near)
	return near, nil
}

// kill closes all connections to an address and refuses new ones.
func (n *memoryNet) kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l, ok := n.hosts[address]; ok {
		_ = l.Close()
	}
	for _, conn := range n.conns[address] {
		_ = conn.Close()
	}
	n.conns[address] = nil
}

// dials returns the number of connections opened to an address.
func (n *memoryNet) dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns[address])
}

func (n *memoryNet) serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	listener := n.listen(address)
	go func() { _ = server.Serve(listener) }()
	return server
}

// serveRaw handles each connection to an address with run.
func (n *memoryNet) serveRaw(address string, run func(conn net.Conn, in *bufio.Reader)) {
	listener := n.listen(address)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				run(conn, bufio.NewReader(conn))
			}()
		}
	}()
}

func (n *memoryNet) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.dial, DisableCompression: true}}
}

const (
	teamSettings = `
[/teams/t/services/s]
[/teams/t/services/s/traffic/lookup]
deadline = 900ms
[/teams/t/services/s/traffic/booking]
deadline = 2s
methods = POST
[/teams/t/services/s/traffic/upload]
deadline = 60s
max_body = 200000000
[/teams/t/services/s/upstreams/u1]
address = 10.0.0.1:1
zone = a
`
	secondUpstream = `
[/teams/t/services/s/upstreams/u2]
address = 10.0.0.2:1
zone = a
`
	upstream1       = "10.0.0.1:1"
	upstream2       = "10.0.0.2:1"
	platformAddress = "10.0.0.9:1"
)

// testEnv is a test environment in a synctest bubble: a platform stand-in,
// upstreams and VMs.
type testEnv struct {
	t              *testing.T
	net            *memoryNet
	platform       *platformstandin.Server
	servers        []*http.Server
	stopDeliverers []context.CancelFunc
}

// vm is the gateway of one VM.
type vm struct {
	gateway  *gateway.Gateway
	address  string
	counters *telemetry.Counters
	// stop stops the VM's deliverer.
	stop context.CancelFunc
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, net: newMemoryNet(), platform: platformstandin.New(nil)}
	env.serve(platformAddress, env.platform.Handler())
	return env
}

func (env *testEnv) serve(address string, handler http.Handler) {
	env.servers = append(env.servers, env.net.serve(address, handler))
}

// upstream starts an upstream stand-in.
func (env *testEnv) upstream(name, address string, switches upstreamstandin.Switches) *upstreamstandin.Server {
	s := upstreamstandin.New(name, 8, 64, switches)
	env.serve(address, s.Handler())
	return s
}

// vm starts a gateway without its deliverer.
func (env *testEnv) vm(name, settings string) *vm {
	client := platform.NewClient(platformAddress, &http.Transport{DialContext: env.net.dial})
	counters := telemetry.NewCounters()
	claims, err := claim.NewStore(claim.Options{Table: client, Counters: counters, VM: name})
	if err != nil {
		env.t.Fatal(err)
	}
	g := gateway.New(gateway.Options{
		VM: name, Zone: "a", Log: hclog.NewNullLogger(), Counters: counters,
		Dial: env.net.dial, Seed: 1, Table: client, Objects: client, Claims: claims,
	})
	if !g.Apply(merge.Config{Team: "t", Revision: 1, Settings: settings}) {
		env.t.Fatal("settings not applied")
	}
	v := &vm{gateway: g, address: name + ":1", counters: counters}
	env.serve(v.address, g)
	return v
}

// startDeliverer starts the VM's deliverer, which delivers stored uploads.
func (env *testEnv) startDeliverer(v *vm) {
	ctx, cancel := context.WithCancel(context.Background())
	env.stopDeliverers = append(env.stopDeliverers, cancel)
	v.stop = cancel
	go func() { _ = v.gateway.DeliverUploads(ctx) }()
}

// close stops all deliverers and servers. A synctest bubble must not leave
// goroutines behind, so it waits until handlers that sleep for an hour have ended.
func (env *testEnv) close() {
	for _, cancel := range env.stopDeliverers {
		cancel()
	}
	for _, server := range env.servers {
		_ = server.Close()
	}
	env.net.mu.Lock()
	hosts := env.net.hosts
	env.net.mu.Unlock()
	for address := range hosts {
		env.net.kill(address)
	}
	time.Sleep(2 * time.Hour)
	synctest.Wait()
}

// withTestEnv runs a test with a testEnv in a synctest bubble.
func withTestEnv(t *testing.T, run func(g *WithT, env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		defer env.close()
		run(NewWithT(t), env)
	})
}

// callResult is the complete response to a call, or an error.
type callResult struct {
	status  int
	header  http.Header
	body    []byte
	trailer http.Header
	err     error
}

// send makes a call on a new connection and returns its result.
func (env *testEnv) send(r *http.Request) callResult {
	client := env.net.client()
	defer client.CloseIdleConnections()
	return sendWith(client, r)
}

// sendWith makes a call with a client and returns its result.
func sendWith(client *http.Client, r *http.Request) callResult {
	response, err := client.Do(r)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, body, response.Trailer, err}
}

// request returns a request to a VM's gateway.
func request(method string, v *vm, path string, body io.Reader) *http.Request {
	r, err := http.NewRequest(method, "http://"+v.address+path, body)
	if err != nil {
		panic(err)
	}
	return r
}

// TestMain suppresses net/http's log messages about surplus bytes.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}
