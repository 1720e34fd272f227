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
	// settleTime is longer than any deadline, backoff and idle time.
	settleTime = 2 * time.Minute
)

// rig is the whole path of a booking in memory: callers, VMs, two upstreams and
// the platform.
type rig struct {
	network   *pipenet.Network
	platform  *platformstandin.Server
	upstreams []*upstreamstandin.Server
	servers   []*http.Server
	vms       []*vm
	clients   *http.Transport
	stop      context.CancelFunc
	stores    sync.WaitGroup

	mu sync.Mutex
	// ran holds the request ids of the calls that an upstream ran.
	ran map[string]bool
}

// rigOptions vary a rig.
type rigOptions struct {
	vms           int
	serviceTime   time.Duration
	flushInterval time.Duration
	// wrap stands between each VM and the table.
	wrap func(platform.Table) platform.Table
	// now is the VMs' wall clock.
	now func() time.Time
}

func newRig(options rigOptions) *rig {
	r := &rig{network: pipenet.New(), platform: platformstandin.New(nil), ran: make(map[string]bool)}
	r.serve(platformAddress, r.platform.Handler())
	settings := "[/teams/split/services/reservations]\nretry_share = 0.1\n" +
		"[/teams/split/services/reservations/traffic/booking]\ndeadline = " + bookingDeadline.String() + "\n"
	for i := range 2 {
		name := fmt.Sprintf("u%d", i)
		address := fmt.Sprintf("10.0.1.%d:80", i+1)
		upstream := upstreamstandin.New(name, 2, 16, upstreamstandin.Switches{ServiceTime: options.serviceTime})
		r.upstreams = append(r.upstreams, upstream)
		r.serve(address, r.recordRuns(upstream.Handler()))
		settings += fmt.Sprintf("[/teams/split/services/reservations/upstreams/%s]\naddress = %s\nzone = solin\n", name, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	for i := range options.vms {
		r.vms = append(r.vms, r.newVM(ctx, i, options, settings))
	}
	r.clients = &http.Transport{DialContext: r.network.Dial}
	return r
}

func (r *rig) serve(address string, handler http.Handler) *http.Server {
	server := r.network.Serve(address, handler)
	r.servers = append(r.servers, server)
	return server
}

// recordRuns notes which calls were answered by a run.
func (r *rig) recordRuns(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		next.ServeHTTP(&runWriter{ResponseWriter: w, onBody: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.ran[request.Header.Get(outcome.HeaderRequestID)] = true
		}}, request)
	})
}

// runWriter calls onBody at the first byte of a body, which the upstream
// stand-in writes only after a run.
type runWriter struct {
	http.ResponseWriter
	onBody func()
}

func (w *runWriter) Write(p []byte) (int, error) {
	w.onBody()
	return w.ResponseWriter.Write(p)
}

func (w *runWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (r *rig) hasRun(requestID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[requestID]
}

// runs counts the runs of a key at all upstreams.
func (r *rig) runs(key string) int {
	total := 0
	for _, upstream := range r.upstreams {
		total += upstream.Runs(key)
	}
	return total
}

func (r *rig) close() {
	r.stop()
	r.stores.Wait()
	for _, server := range r.servers {
		_ = server.Close()
	}
	r.clients.CloseIdleConnections()
	time.Sleep(settleTime)
}

// vm is one VM with a gateway. It can be frozen, killed and cut off at a step.
type vm struct {
	name     string
	address  string
	counters *telemetry.Counters
	store    *claim.Store
	gateway  *gateway.Gateway
	server   *http.Server

	mu     sync.Mutex
	isDead bool
	thawAt time.Time
	conns  []net.Conn
	trips  map[step]func(*vm)
	// deliverAfter delays the bytes of requests on their way, also when the VM
	// closes the connection meanwhile.
	deliverAfter time.Duration
}

// step is a point in a booking at which a test can interfere.
type step string

const (
	beforeClaim  step = "before the claim"
	afterClaim   step = "between claim and send"
	beforeSend   step = "before the first byte of the send"
	withinSend   step = "within the send"
	afterSend    step = "between send and answer"
	afterAnswer  step = "between answer and done"
	beforeFinish step = "before the end is written"
	afterFinish  step = "after the end is written"
)

var steps = []step{beforeClaim, afterClaim, beforeSend, withinSend, afterSend, afterAnswer, beforeFinish, afterFinish}

func (r *rig) newVM(ctx context.Context, number int, options rigOptions, settings string) *vm {
	v := &vm{
		name: fmt.Sprintf("vm%d", number), address: fmt.Sprintf("10.0.2.%d:80", number+1),
		counters: telemetry.NewCounters(), trips: make(map[step]func(*vm)),
	}
	client := platform.NewClient(platformAddress, &http.Transport{DialContext: r.network.Dial})
	var table platform.Table = vmTable{inner: client, vm: v}
	if options.wrap != nil {
		table = options.wrap(table)
	}
	store, err := claim.NewStore(claim.Options{
		Table: table, Counters: v.counters, VM: v.name, Now: options.now, FlushInterval: options.flushInterval,
	})
	Expect(err).NotTo(HaveOccurred())
	v.store = store
	r.stores.Go(func() { _ = store.Run(ctx) })
	v.gateway = gateway.New(gateway.Options{
		VM: v.name, Zone: "solin", Log: hclog.NewNullLogger(), Counters: v.counters, Seed: uint64(number),
		Claims: store, Now: options.now,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return v.dial(ctx, r.network, network, address)
		},
	})
	Expect(v.gateway.Apply(merge.Config{Team: "split", Revision: 1, Settings: settings})).To(BeTrue())
	v.server = r.serve(v.address, v.gateway)
	return v
}

// at sets what happens when the VM next comes to a step.
func (v *vm) at(s step, do func(*vm)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.trips[s] = do
}

// hasReached tells whether the VM came to all steps that were set.
func (v *vm) hasReached() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.trips) == 0
}

// reach runs what was set for a step, once, and waits while the VM is frozen.
func (v *vm) reach(s step) error {
	v.mu.Lock()
	do := v.trips[s]
	delete(v.trips, s)
	v.mu.Unlock()
	if do != nil {
		do(v)
	}
	return v.alive()
}

var errDead = errors.New("the VM is dead")

// alive waits while the VM is frozen and returns an error when it is dead.
func (v *vm) alive() error {
	v.mu.Lock()
	frozen := time.Until(v.thawAt)
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

// kill ends the VM: nothing leaves or reaches it any more.
func (v *vm) kill() {
	v.mu.Lock()
	v.isDead = true
	v.mu.Unlock()
	v.cut()
	_ = v.server.Close()
}

// cut closes the VM's connections to the upstreams.
func (v *vm) cut() {
	v.mu.Lock()
	conns := v.conns
	v.conns = nil
	v.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func freezeFor(d time.Duration) func(*vm) {
	return func(v *vm) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.thawAt = time.Now().Add(d)
	}
}

func (v *vm) wasKilled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isDead
}

func (v *vm) dial(ctx context.Context, n *pipenet.Network, network, address string) (net.Conn, error) {
	if err := v.alive(); err != nil {
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
	// writes counts the delayed writes, to keep their order.
	writes int
}

// Close closes the connection behind the bytes that are on their way.
func (c *vmConn) Close() error {
	if c.vm.deliverAfter > 0 {
		time.AfterFunc(c.vm.deliverAfter+time.Second, func() { _ = c.Conn.Close() })
		return nil
	}
	return c.Conn.Close()
}

// SetWriteDeadline does not reach the bytes that are on their way.
func (c *vmConn) SetWriteDeadline(t time.Time) error {
	if c.vm.deliverAfter > 0 {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write sends a request in two halves with a step between and one behind.
func (c *vmConn) Write(p []byte) (int, error) {
	if c.vm.deliverAfter > 0 {
		late := bytes.Clone(p)
		c.writes++
		order := time.Duration(c.writes) * time.Microsecond
		time.AfterFunc(c.vm.deliverAfter+order, func() { _, _ = c.Conn.Write(late) })
		return len(p), nil
	}
	if err := c.vm.reach(beforeSend); err != nil {
		return 0, err
	}
	half := len(p) / 2
	n, err := c.Conn.Write(p[:half])
	if err != nil {
		return n, err
	}
	if err := c.vm.reach(withinSend); err != nil {
		return n, err
	}
	m, err := c.Conn.Write(p[half:])
	if err != nil {
		return n + m, err
	}
	return n + m, c.vm.reach(afterSend)
}

func (c *vmConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	if err := c.vm.reach(afterAnswer); err != nil {
		return 0, err
	}
	return n, nil
}

// vmTable is the table as a VM reaches it.
type vmTable struct {
	inner platform.Table
	vm    *vm
}

func (t vmTable) Commit(ctx context.Context, tx platform.Transaction) error {
	before, after := beforeFinish, afterFinish
	if writesState(tx, claim.RowStarted) {
		before, after = beforeClaim, afterClaim
	}
	if t.vm.reach(before) != nil {
		return platform.ErrUncertain
	}
	err := t.inner.Commit(ctx, tx)
	if t.vm.reach(after) != nil {
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
	if t.vm.alive() != nil {
		return platform.Row{}, platform.ErrUncertain
	}
	return t.inner.Get(ctx, key)
}

func (t vmTable) List(ctx context.Context, page platform.Page) ([]platform.Row, error) {
	return t.inner.List(ctx, page)
}

// told is what a caller was told about its call.
type told struct {
	requestID string
	// outcome is empty when the connection was cut.
	outcome outcome.Outcome
	reason  outcome.Reason
	status  int
	body    string
	header  http.Header
}

// book calls a VM as a caller would.
func (r *rig) book(v *vm, key, body string) told {
	request, err := http.NewRequest(http.MethodPost, "http://"+v.address+"/split/reservations/book", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	// The caller's client does not send again by itself either.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader([]byte(body)))
	result := told{requestID: uuid.NewString()}
	request.Header.Set(outcome.HeaderRequestID, result.requestID)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := r.clients.RoundTrip(request)
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

// bookAtOnce calls the first two VMs at the same moment.
func (r *rig) bookAtOnce(key string) []told {
	results := make([]told, 2)
	var callers sync.WaitGroup
	for i := range results {
		callers.Go(func() { results[i] = r.book(r.vms[i], key, "{}") })
	}
	callers.Wait()
	return results
}
