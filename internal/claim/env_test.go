package claim_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

const (
	platformAddress = "10.0.0.1:80"
	bookingDeadline = 2 * time.Second
	// settleTime is longer than any deadline, backoff and idle timeout.
	settleTime = 2 * time.Minute
)

// testEnv is an in-memory setup of everything that a booking passes through:
// callers, VMs, two upstreams and the platform.
type testEnv struct {
	network   *pipenet.Network
	platform  *platformstandin.Server
	upstreams []*upstreamstandin.Server
	servers   []*http.Server
	vms       []*vm
	clients   *http.Transport
	stop      context.CancelFunc
	storeRuns sync.WaitGroup

	mu sync.Mutex
	// ranRequests contains the request IDs of the calls that an upstream ran.
	ranRequests map[string]bool
}

// envOptions configures a testEnv.
type envOptions struct {
	vms           int
	serviceTime   time.Duration
	flushInterval time.Duration
	// wrapTable wraps each VM's client of the table; may be nil.
	wrapTable func(platform.Table) platform.Table
	// now is the wall clock of all VMs; nil means time.Now.
	now func() time.Time
}

func newTestEnv(options envOptions) *testEnv {
	env := &testEnv{network: pipenet.New(), platform: platformstandin.New(nil), ranRequests: make(map[string]bool)}
	env.serve(platformAddress, env.platform.Handler())
	settings := "[/teams/split/services/reservations]\nretry_share = 0.1\n" +
		"[/teams/split/services/reservations/traffic/booking]\ndeadline = " + bookingDeadline.String() + "\n"
	for i := range 2 {
		name := fmt.Sprintf("u%d", i)
		address := fmt.Sprintf("10.0.1.%d:80", i+1)
		upstream := upstreamstandin.New(name, 2, 16, upstreamstandin.Switches{ServiceTime: options.serviceTime})
		env.upstreams = append(env.upstreams, upstream)
		env.serve(address, env.recordRuns(upstream.Handler()))
		settings += fmt.Sprintf("[/teams/split/services/reservations/upstreams/%s]\naddress = %s\nzone = solin\n", name, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	env.stop = cancel
	for i := range options.vms {
		env.vms = append(env.vms, env.newVM(ctx, i, options, settings))
	}
	env.clients = &http.Transport{DialContext: env.network.Dial}
	return env
}

func (env *testEnv) serve(address string, handler http.Handler) *http.Server {
	server := env.network.Serve(address, handler)
	env.servers = append(env.servers, server)
	return server
}

// recordRuns records the request IDs of the calls that ran.
func (env *testEnv) recordRuns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		next.ServeHTTP(&runWriter{ResponseWriter: w, onBody: func() {
			env.mu.Lock()
			defer env.mu.Unlock()
			env.ranRequests[request.Header.Get(outcome.HeaderRequestID)] = true
		}}, request)
	})
}

// runWriter calls onBody at each write of a response body. The upstream
// stand-in writes a body only after it ran the call.
type runWriter struct {
	http.ResponseWriter
	onBody func()
}

func (w *runWriter) Write(p []byte) (int, error) {
	w.onBody()
	return w.ResponseWriter.Write(p)
}

func (w *runWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (env *testEnv) requestRan(requestID string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.ranRequests[requestID]
}

// runCount returns how often the call with a key ran, summed over all upstreams.
func (env *testEnv) runCount(key string) int {
	total := 0
	for _, upstream := range env.upstreams {
		total += upstream.Runs(key)
	}
	return total
}

func (env *testEnv) close() {
	env.stop()
	env.storeRuns.Wait()
	for _, server := range env.servers {
		_ = server.Close()
	}
	env.clients.CloseIdleConnections()
	time.Sleep(settleTime)
}

// vm is a VM with a gateway. It can be frozen, killed or disconnected from the
// upstreams at any step.
type vm struct {
	name     string
	address  string
	counters *telemetry.Counters
	store    *claim.Store
	gateway  *gateway.Gateway
	server   *http.Server

	mu          sync.Mutex
	isDead      bool
	frozenUntil time.Time
	conns       []net.Conn
	hooks       map[step]func(*vm)
	// writeDelay delays the bytes sent to upstreams. They arrive even if the VM
	// closes the connection in the meantime.
	writeDelay time.Duration
}

// step is a point in a booking at which a test can inject a fault.
type step string

const (
	beforeClaim      step = "before the claim"
	afterClaim       step = "between claim and send"
	beforeSend       step = "before the first byte of the send"
	withinSend       step = "within the send"
	afterSend        step = "between send and response"
	afterResponse    step = "between response and done"
	beforeFinalWrite step = "before the final state is written"
	afterFinalWrite  step = "after the final state is written"
)

var steps = []step{beforeClaim, afterClaim, beforeSend, withinSend, afterSend, afterResponse, beforeFinalWrite, afterFinalWrite}

func (env *testEnv) newVM(ctx context.Context, number int, options envOptions, settings string) *vm {
	v := &vm{
		name: fmt.Sprintf("vm%d", number), address: fmt.Sprintf("10.0.2.%d:80", number+1),
		counters: telemetry.NewCounters(), hooks: make(map[step]func(*vm)),
	}
	client := platform.NewClient(platformAddress, &http.Transport{DialContext: env.network.Dial})
	var table platform.Table = vmTable{inner: client, vm: v}
	if options.wrapTable != nil {
		table = options.wrapTable(table)
	}
	store, err := claim.NewStore(claim.Options{
		Table: table, Counters: v.counters, VM: v.name, Now: options.now, FlushInterval: options.flushInterval,
	})
	Expect(err).NotTo(HaveOccurred())
	v.store = store
	env.storeRuns.Go(func() { _ = store.Run(ctx) })
	v.gateway = gateway.New(gateway.Options{
		VM: v.name, Zone: "solin", Log: hclog.NewNullLogger(), Counters: v.counters, Seed: uint64(number),
		Claims: store, Now: options.now,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return v.dial(ctx, env.network, network, address)
		},
	})
	Expect(v.gateway.Apply(merge.Config{Team: "split", Revision: 1, Settings: settings})).To(BeTrue())
	v.server = env.serve(v.address, v.gateway)
	return v
}

// setHook sets a function to call when the VM next reaches a step.
func (v *vm) setHook(s step, do func(*vm)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hooks[s] = do
}

// allHooksRan reports whether all hooks that were set have run.
func (v *vm) allHooksRan() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.hooks) == 0
}

// runHook runs and removes the hook of a step, waits while the VM is frozen and
// returns errDead if the VM was killed.
func (v *vm) runHook(s step) error {
	v.mu.Lock()
	do := v.hooks[s]
	delete(v.hooks, s)
	v.mu.Unlock()
	if do != nil {
		do(v)
	}
	return v.checkAlive()
}

var errDead = errors.New("the VM was killed")

// checkAlive waits while the VM is frozen and returns errDead if it was killed.
func (v *vm) checkAlive() error {
	v.mu.Lock()
	frozen := time.Until(v.frozenUntil)
	v.mu.Unlock()
	if frozen > 0 {
		time.Sleep(frozen)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isDead {
		return errDead
	}
	return nil
}

// kill stops the VM: from now on it sends and receives nothing.
func (v *vm) kill() {
	v.mu.Lock()
	v.isDead = true
	v.mu.Unlock()
	v.closeConns()
	_ = v.server.Close()
}

// closeConns closes the VM's connections to the upstreams.
func (v *vm) closeConns() {
	v.mu.Lock()
	conns := v.conns
	v.conns = nil
	v.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// freezeFor returns a fault that freezes a VM for a duration.
func freezeFor(d time.Duration) func(*vm) {
	return func(v *vm) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.frozenUntil = time.Now().Add(d)
	}
}

func (v *vm) wasKilled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isDead
}

func (v *vm) dial(ctx context.Context, n *pipenet.Network, network, address string) (net.Conn, error) {
	if err := v.checkAlive(); err != nil {
		return nil, err
	}
	conn, err := n.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conns = append(v.conns, conn)
	return &vmConn{Conn: conn, vm: v}, nil
}

// vmConn is a connection from a VM to an upstream.
type vmConn struct {
	net.Conn
	vm *vm
	// delayedWrites is the number of delayed writes so far. Each is delayed by
	// a microsecond more than the one before, to keep their order.
	delayedWrites int
}

// Close closes the connection after all delayed bytes have been delivered.
func (c *vmConn) Close() error {
	if c.vm.writeDelay > 0 {
		time.AfterFunc(c.vm.writeDelay+time.Second, func() { _ = c.Conn.Close() })
		return nil
	}
	return c.Conn.Close()
}

// SetWriteDeadline has no effect on delayed writes.
func (c *vmConn) SetWriteDeadline(t time.Time) error {
	if c.vm.writeDelay > 0 {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write sends a request in two halves, with a step before, between and after
// them.
func (c *vmConn) Write(p []byte) (int, error) {
	if c.vm.writeDelay > 0 {
		data := bytes.Clone(p)
		c.delayedWrites++
		order := time.Duration(c.delayedWrites) * time.Microsecond
		time.AfterFunc(c.vm.writeDelay+order, func() { _, _ = c.Conn.Write(data) })
		return len(p), nil
	}
	if err := c.vm.runHook(beforeSend); err != nil {
		return 0, err
	}
	half := len(p) / 2
	n, err := c.Conn.Write(p[:half])
	if err != nil {
		return n, err
	}
	if err := c.vm.runHook(withinSend); err != nil {
		return n, err
	}
	m, err := c.Conn.Write(p[half:])
	if err != nil {
		return n + m, err
	}
	return n + m, c.vm.runHook(afterSend)
}

func (c *vmConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	if err := c.vm.runHook(afterResponse); err != nil {
		return 0, err
	}
	return n, nil
}

// vmTable is a VM's client of the table, with steps before and after each
// commit.
type vmTable struct {
	inner platform.Table
	vm    *vm
}

func (t vmTable) Commit(ctx context.Context, tx platform.Transaction) error {
	before, after := beforeFinalWrite, afterFinalWrite
	if writesState(tx, claim.RowStarted) {
		before, after = beforeClaim, afterClaim
	}
	if t.vm.runHook(before) != nil {
		return platform.ErrUncertain
	}
	err := t.inner.Commit(ctx, tx)
	if t.vm.runHook(after) != nil {
		return platform.ErrUncertain
	}
	return err
}

func writesState(tx platform.Transaction, state claim.RowState) bool {
	for _, write := range tx.Writes {
		record, err := claim.Decode(write.Value)
		if err == nil && record.State == state {
			return true
		}
	}
	return false
}

func (t vmTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if t.vm.checkAlive() != nil {
		return platform.Row{}, platform.ErrUncertain
	}
	return t.inner.Get(ctx, key)
}

func (t vmTable) List(ctx context.Context, page platform.Page) ([]platform.Row, error) {
	return t.inner.List(ctx, page)
}

// callResult is the response that a caller received for its call.
type callResult struct {
	requestID string
	// outcome is empty if the connection was closed before a response.
	outcome outcome.Outcome
	reason  outcome.Reason
	status  int
	body    string
	header  http.Header
}

// book sends a booking to a VM as a caller would.
func (env *testEnv) book(v *vm, key, body string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+v.address+"/split/reservations/book", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	// Without GetBody the HTTP client cannot resend the request on its own.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader([]byte(body)))
	result := callResult{requestID: uuid.NewString()}
	request.Header.Set(outcome.HeaderRequestID, result.requestID)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := env.clients.RoundTrip(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return result
	}
	result.status = response.StatusCode
	result.outcome = outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))
	result.reason = outcome.Reason(response.Header.Get(outcome.HeaderReason))
	result.body = string(content)
	result.header = response.Header
	return result
}

// bookAtOnce books on the first two VMs concurrently.
func (env *testEnv) bookAtOnce(key string) []callResult {
	results := make([]callResult, 2)
	var callers sync.WaitGroup
	for i := range results {
		callers.Go(func() { results[i] = env.book(env.vms[i], key, "{}") })
	}
	callers.Wait()
	return results
}
