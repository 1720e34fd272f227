package dispatch_test

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
)

// statusLoad returns a load of status lookups as in the Split deployment.
func statusLoad(perSecond float64, seed uint64) load {
	return load{
		perSecond: perSecond, duration: 12 * time.Second, work: 60 * time.Millisecond,
		objective: 200 * time.Millisecond, deadline: 800 * time.Millisecond, seed: seed,
	}
}

// deskLoad returns a load of lookups as in a deployment whose upstreams have four
// slots.
func deskLoad(perSecond float64, seed uint64) load {
	return load{
		perSecond: perSecond, duration: 12 * time.Second, work: 240 * time.Millisecond,
		objective: 600 * time.Millisecond, deadline: 2 * time.Second, seed: seed,
	}
}

// asCoordinator returns a function that places calls at a Dispatcher as if
// another VM had sent them, and the function that stops the Dispatcher's
// probes.
func asCoordinator(d *dispatch.Dispatcher) (func(context.Context, dispatch.Request) (dispatch.Grant, error), func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go d.RunProbes(ctx)
	return func(ctx context.Context, r dispatch.Request) (dispatch.Grant, error) {
		d.RecordRemoteCall(time.Now(), "other")
		return d.Place(ctx, r)
	}, cancel
}

// fleetSize is the number of upstreams of the service.
const fleetSize = 17

// withinObjective returns a function that reports whether a call was answered
// within the objective.
func withinObjective(l load) func(result) bool {
	return func(r result) bool { return r.isServed && r.took <= l.objective }
}

// TestUsualLoadIsAnsweredInTime runs a load of 0.4 times the capacity of the
// upstreams that are fast.
func TestUsualLoadIsAnsweredInTime(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(pairServers, fleetSize, seed)
			place, end := asCoordinator(f.dispatcher("vm", seed))
			l := statusLoad(90, seed)
			results := f.run(l, place)
			end()
			g.Expect(share(results, withinObjective(l))).To(BeNumerically(">=", 0.95), "seed %d", seed)
			g.Expect(share(results, func(r result) bool { return r.isRefused })).To(BeNumerically("<=", 0.01))
			time.Sleep(time.Minute)
		})
	}
}

// goodputTarget is the share of the capacity that has to be answered in time
// under overload.
const goodputTarget = 0.95

// capacity returns the calls a second that all upstreams together can answer in
// time: the slots of the upstreams that are fast at a given moment, less the
// calls during which an upstream becomes slow.
func (m serverModel) capacity(l load) float64 {
	calls := m.bestConcurrency()
	fastSlots := float64(fleetSize*calls) * (1 - m.slowShare)
	return fastSlots / (m.stretch(calls) * l.work.Seconds()) * (1 - m.slowTransitionShare(l))
}

// slowTransitionShare returns the share of the capacity that is lost because an
// upstream becomes slow during a call, or, if calls keep their speed, before a
// probe shows it. No placement can predict that.
func (m serverModel) slowTransitionShare(l load) float64 {
	if m.isSpeedKept {
		unseen := 0.5 / maxPeriodicProbesPerSecond / m.phaseLength.Seconds()
		return unseen * m.slowShare * m.slowFactor
	}
	return m.stretch(m.bestConcurrency()) * l.work.Seconds() / m.phaseLength.Seconds() * m.slowShare
}

// TestRush runs loads of 1.3 and 2.2 times the capacity. As many calls as there
// is capacity for have to be answered in time, the others have to be refused
// early, and no upstream may build up a queue.
func TestRush(t *testing.T) {
	t.Parallel()
	runRush(t, pairServers, statusLoad)
}

// TestRushAtServersWhoseCallsKeepTheirSpeed runs the loads of TestRush at upstreams
// at which a call that starts slowly occupies its slot for several times as long as
// the slow phase lasts.
func TestRushAtServersWhoseCallsKeepTheirSpeed(t *testing.T) {
	t.Parallel()
	runRush(t, keptDesk, deskLoad)
	runRush(t, keptPair, statusLoad)
}

// runRush simulates loads of 1.3 and 2.2 times the capacity.
func runRush(t *testing.T, model serverModel, newLoad func(perSecond float64, seed uint64) load) {
	t.Helper()
	for _, overload := range []float64{1.3, 2.2} {
		var shares []float64
		for seed := range uint64(5) {
			l := newLoad(overload*model.capacity(newLoad(0, 0)), seed)
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(model, fleetSize, seed)
				place, end := asCoordinator(f.dispatcher("vm", seed))
				results := f.run(l, place)
				end()
				shares = append(shares, share(results, withinObjective(l)))
				checkRefusals(NewWithT(t), f, l, results)
				time.Sleep(time.Minute)
			})
		}
		slices.Sort(shares)
		t.Logf("load of %.1f times the capacity: %.3f of the capacity answered in time", overload, shares[2]*overload)
		NewWithT(t).Expect(shares[2]*overload).To(BeNumerically(">=", goodputTarget), "median of five seeds")
	}
}

// checkRefusals checks the calls that were not answered in time, and the queues
// of the upstreams.
func checkRefusals(g *WithT, f *fleet, l load, results []result) {
	isHeld := func(r result) bool { return r.isRefused && r.took > l.objective }
	g.Expect(share(results, isHeld)).To(BeZero(), "no call is refused after its objective")
	isLost := func(r result) bool { return !r.isServed && !r.isRefused }
	g.Expect(share(results, isLost)).To(BeNumerically("<=", 0.02), "a call that is sent gets an answer")
	for name, s := range f.upstreams {
		g.Expect(s.maxQueued).To(BeNumerically("<=", f.model.slots), name)
	}
}

// TestNoCallWaitsForProbesThatShowNothing runs a load of a third of the capacity at
// upstreams that report no load: after the first second no call waits for a probe,
// and upstreams are probed for their health alone.
func TestNoCallWaitsForProbesThatShowNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		model := keptDesk
		model.reportsNothing = true
		f := newFleet(model, fleetSize, 1)
		place, end := asCoordinator(f.dispatcher("vm", 1))
		warmUp := deskLoad(50, 1)
		warmUp.duration = time.Second
		f.run(warmUp, place)
		probes := f.probeCount()
		l := deskLoad(50, 2)
		results := f.run(l, place)
		end()
		g.Expect(share(results, func(r result) bool { return r.placed > 0 })).To(BeZero())
		probesPerUpstream := float64(f.probeCount()-probes) / l.duration.Seconds() / fleetSize
		g.Expect(probesPerUpstream).To(BeNumerically("<=", 0.05*probesPerSecond))
		time.Sleep(time.Minute)
	})
}

// TestProbeRateIsIndependentOfCallRate checks that the probe rate stays within its
// limit at 44 calls a second and at ten times that rate.
func TestProbeRateIsIndependentOfCallRate(t *testing.T) {
	probeRate := func(perSecond float64) float64 {
		var rate float64
		synctest.Test(t, func(*testing.T) {
			f := newFleet(pairServers, fleetSize, 1)
			place, end := asCoordinator(f.dispatcher("vm", 1))
			l := statusLoad(perSecond, 1)
			f.run(l, place)
			end()
			rate = float64(f.probeCount()) / l.duration.Seconds() / fleetSize
			time.Sleep(time.Minute)
		})
		return rate
	}
	g := NewWithT(t)
	usual, high := probeRate(44), probeRate(440)
	g.Expect(high).To(BeNumerically("<=", probesPerSecond))
	g.Expect(usual).To(BeNumerically("<=", probesPerSecond))
}

// network connects VMs that place calls for each other.
type network struct {
	*pipenet.Network
	cancel      context.CancelFunc
	server      *dispatch.Server
	coordinator *dispatch.Dispatcher
}

const coordinatorAddress = "10.0.0.1:1"

// newNetwork runs a coordinator for a fleet.
func newNetwork(f *fleet) *network {
	n := &network{Network: pipenet.New(), coordinator: f.dispatcher("boss", 1)}
	n.server = dispatch.NewServer(func(service string) (*dispatch.Dispatcher, bool) {
		return n.coordinator, service == "s"
	}, hclog.NewNullLogger(), telemetry.NewCounters())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	listener := n.Listen(coordinatorAddress)
	go func() {
		_ = exchange.ServeDispatch(ctx, listener, &api.DRPCExchangeUnimplementedServer{}, n.server)
	}()
	return n
}

// DialContext opens a connection within the network.
func (n *network) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	return n.Dial(ctx, kind, address)
}

// router returns a Router for which the VM at coordinatorAddress is the
// coordinator.
func (n *network) router() *dispatch.Router {
	coordinator := func(_ string, isAvoided func(string) bool) (dispatch.VM, bool) {
		return dispatch.VM{Name: "boss", Address: coordinatorAddress}, !isAvoided("boss")
	}
	return dispatch.NewRouter(coordinator, n, hclog.NewNullLogger(), telemetry.NewCounters())
}

func (n *network) close() {
	n.cancel()
	time.Sleep(time.Minute)
}

// withNetwork runs a test with a coordinator, a Router on another VM, and local,
// the Dispatcher of that VM. The fleet has one upstream of the model pairServers.
func withNetwork(t *testing.T, run func(g *WithT, f *fleet, n *network, router *dispatch.Router, local *dispatch.Dispatcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(pairServers, 1, 1)
		n := newNetwork(f)
		defer n.close()
		router := n.router()
		defer router.Close()
		run(NewWithT(t), f, n, router, f.dispatcher("own", 2))
	})
}

// patientRequest returns a request with a minute to its objective and deadline.
func patientRequest() dispatch.Request {
	now := time.Now()
	return dispatch.Request{Zone: "a", Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
}

// placeAtCoordinator places calls until the coordinator places one, which it
// does once the stream is open, and returns that call's grant.
func placeAtCoordinator(g *WithT, router *dispatch.Router, local *dispatch.Dispatcher) dispatch.Grant {
	for range 100 {
		grant, err := router.Place(context.Background(), "s", local, patientRequest())
		g.Expect(err).NotTo(HaveOccurred())
		if grant.PlacedBy == "boss" {
			return grant
		}
		grant.End(dispatch.End{IsCancelled: true})
		time.Sleep(10 * time.Millisecond)
	}
	g.Expect("the coordinator").To(Equal("reached"))
	return dispatch.Grant{}
}

func TestCoordinatorPlacesCalls(t *testing.T) {
	withNetwork(t, func(g *WithT, _ *fleet, _ *network, router *dispatch.Router, local *dispatch.Dispatcher) {
		grant := placeAtCoordinator(g, router, local)
		g.Expect(grant.Upstream).To(Equal("u0"))
		grant.End(dispatch.End{})
	})
}

// TestEndedStreamFreesItsCalls checks that the slots of a VM that dies with
// calls in flight become free for others.
func TestEndedStreamFreesItsCalls(t *testing.T) {
	withNetwork(t, func(g *WithT, _ *fleet, n *network, router *dispatch.Router, local *dispatch.Dispatcher) {
		placeAtCoordinator(g, router, local)
		placeAtCoordinator(g, router, local)
		request := patientRequest()
		request.Objective = time.Now().Add(30 * time.Millisecond)
		request.Deadline = request.Objective
		_, err := n.coordinator.Place(context.Background(), request)
		g.Expect(err).To(HaveOccurred(), "both slots are occupied")
		router.Close()
		time.Sleep(100 * time.Millisecond)
		_, err = n.coordinator.Place(context.Background(), patientRequest())
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// TestCancelledCallStopsWaiting checks that a call that waits at the
// coordinator stops waiting when its caller leaves: it must not take a slot that
// becomes free later.
func TestCancelledCallStopsWaiting(t *testing.T) {
	withNetwork(t, func(g *WithT, _ *fleet, _ *network, router *dispatch.Router, local *dispatch.Dispatcher) {
		first, second := placeAtCoordinator(g, router, local), placeAtCoordinator(g, router, local)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := router.Place(ctx, "s", local, patientRequest())
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		first.End(dispatch.End{})
		second.End(dispatch.End{})
		time.Sleep(50 * time.Millisecond)
		placeAtCoordinator(g, router, local)
		placeAtCoordinator(g, router, local)
	})
}

// TestUnresponsiveCoordinatorDelaysNoCalls has a coordinator that accepts calls and
// never replies. Calls have to be placed locally after a short wait, and later
// ones at once.
func TestUnresponsiveCoordinatorDelaysNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(pairServers, fleetSize, 1)
		n := &network{Network: pipenet.New(), cancel: func() {}}
		listener := n.Listen(coordinatorAddress)
		go acceptAndDiscard(listener)
		defer func() { _ = listener.Close() }()
		router, local := n.router(), f.dispatcher("own", 2)
		for range 30 {
			start := time.Now()
			grant, err := router.Place(context.Background(), "s", local, patientRequest())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.PlacedBy).To(Equal("own"))
			g.Expect(time.Since(start)).To(BeNumerically("<", 60*time.Millisecond))
			grant.End(dispatch.End{})
			time.Sleep(20 * time.Millisecond)
		}
		router.Close()
		time.Sleep(time.Minute)
	})
}

// acceptAndDiscard accepts connections and discards what it reads from them.
func acceptAndDiscard(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			buffer := make([]byte, 1024)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
			}
		}()
	}
}

// TestStoppedCoordinatorHandsOver checks that calls are placed locally at once after a
// graceful shutdown of the coordinator.
func TestStoppedCoordinatorHandsOver(t *testing.T) {
	withNetwork(t, func(g *WithT, _ *fleet, n *network, router *dispatch.Router, local *dispatch.Dispatcher) {
		placeAtCoordinator(g, router, local).End(dispatch.End{})
		n.server.Close()
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		grant, err := router.Place(context.Background(), "s", local, patientRequest())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.PlacedBy).To(Equal("own"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 30*time.Millisecond))
	})
}

// TestRefusalReachesTheCaller checks that the reason and the basis of the
// coordinator's refusal reach the VM that sent the call.
func TestRefusalReachesTheCaller(t *testing.T) {
	withNetwork(t, func(g *WithT, _ *fleet, _ *network, router *dispatch.Router, local *dispatch.Dispatcher) {
		placeAtCoordinator(g, router, local)
		placeAtCoordinator(g, router, local)
		request := patientRequest()
		request.Extra = true
		_, err := router.Place(context.Background(), "s", local, request)
		var refusal dispatch.Refusal
		g.Expect(errors.As(err, &refusal)).To(BeTrue())
		g.Expect(refusal.Reason).To(Equal(outcome.NoUpstream), "a hedge does not wait")
		g.Expect(refusal.PlacedBy).To(Equal("boss"))
		g.Expect(refusal.Basis.Upstreams).To(Equal(1))
		g.Expect(refusal.Basis.Free).To(BeZero())
	})
}

// TestFirstCallUsesOpenStream checks that KeepConnected opens the stream before
// the first call.
func TestFirstCallUsesOpenStream(t *testing.T) {
	withNetwork(t, func(g *WithT, _ *fleet, _ *network, router *dispatch.Router, local *dispatch.Dispatcher) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = router.KeepConnected(ctx, func() []string { return []string{"s"} }) }()
		time.Sleep(100 * time.Millisecond)
		grant, err := router.Place(context.Background(), "s", local, patientRequest())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.PlacedBy).To(Equal("boss"))
		grant.End(dispatch.End{})
		cancel()
		time.Sleep(time.Second)
	})
}

// TestServiceWithoutUpstreamsRefusesAtOnce covers a service whose upstreams
// have all left.
func TestServiceWithoutUpstreamsRefusesAtOnce(t *testing.T) {
	withNetwork(t, func(g *WithT, _ *fleet, _ *network, _ *dispatch.Router, local *dispatch.Dispatcher) {
		local.SetUpstreams(nil)
		start := time.Now()
		_, err := local.Place(context.Background(), patientRequest())
		var refusal dispatch.Refusal
		g.Expect(errors.As(err, &refusal)).To(BeTrue())
		g.Expect(refusal.Reason).To(Equal(outcome.NoUpstream))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// TestUnansweredProbeIsNotRepeated checks that upstreams that accept probes and
// never answer get one periodic probe at a time.
func TestUnansweredProbeIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(pairServers, 3, 1)
		var open, most atomic.Int32
		probe := func(ctx context.Context, _ string) (loadbalancer.ProbeResult, bool) {
			most.Store(max(most.Load(), open.Add(1)))
			<-ctx.Done()
			open.Add(-1)
			return loadbalancer.ProbeResult{}, false
		}
		d := dispatch.NewDispatcher(dispatch.Options{
			VM: "vm", Zone: "a", Probe: probe, ProbesPerUpstream: probesPerSecond,
			Counters: telemetry.NewCounters(), Random: rand.New(rand.NewPCG(1, 1)),
		})
		d.SetUpstreams(f.list)
		ctx, cancel := context.WithCancel(context.Background())
		go d.RunProbes(ctx)
		for range 100 {
			d.RecordRemoteCall(time.Now(), "other")
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		g.Expect(most.Load()).To(Equal(int32(len(f.list))))
		time.Sleep(time.Minute)
	})
}
