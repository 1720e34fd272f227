package dispatch_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/telemetry"
)

// Times of the calls of a VM that falls silent.
const (
	silentObjective = 800 * time.Millisecond
	silentDeadline  = 3 * time.Second
)

// silentSite is a coordinator of a service with one upstream, and another VM that asks it to place
// calls and then says nothing.
type silentSite struct {
	*network
	counters *telemetry.Counters
	vm       *dispatch.Client
	local    *dispatch.Dispatcher
	// gate holds up what the VM sends and receives, and coordinatorGate what the coordinator does.
	gate, coordinatorGate gate
}

// gate holds up those that pass it while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

// set shuts or opens the gate.
func (g *gate) set(isShut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case isShut && g.shut == nil:
		g.shut = make(chan struct{})
	case !isShut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

// pass waits until the gate is open.
func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

// gatedConn is a connection of a VM that may stand still.
type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	c.gate.pass()
	n, err := c.Conn.Read(p)
	c.gate.pass()
	return n, err
}

func (c gatedConn) Write(p []byte) (int, error) {
	c.gate.pass()
	return c.Conn.Write(p)
}

// DialContext opens a connection of the VM.
func (s *silentSite) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	conn, err := s.Dial(ctx, kind, address)
	return gatedConn{conn, &s.gate}, err
}

// gatedListener accepts the connections of a coordinator that may stand still.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return gatedConn{conn, l.gate}, err
}

// withSilentSite runs a test with a silentSite.
func withSilentSite(t *testing.T, run func(g *WithT, s *silentSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(pairServers, 1, 1)
		s := &silentSite{network: &network{Network: pipenet.New(), coordinator: f.dispatcher("boss", 1)}, counters: telemetry.NewCounters()}
		s.server = dispatch.NewServer(func(string) (*dispatch.Dispatcher, bool) { return s.coordinator, true }, hclog.NewNullLogger(), s.counters)
		ctx, cancel := context.WithCancel(context.Background())
		s.cancel = cancel
		listener := gatedListener{s.Listen(coordinatorAddress), &s.coordinatorGate}
		go func() {
			_ = exchange.ServeDispatch(ctx, listener, &api.DRPCExchangeUnimplementedServer{}, s.server)
		}()
		defer s.close()
		var err error
		s.vm, err = dispatch.Dial(context.Background(), dispatch.VM{Name: "boss", Address: coordinatorAddress}, s)
		g.Expect(err).NotTo(HaveOccurred())
		defer s.vm.Close()
		s.local = f.dispatcher("silent", 2)
		run(g, s)
	})
}

// silentRequest returns a request whose caller waits for silentDeadline.
func silentRequest() dispatch.Request {
	now := time.Now()
	return dispatch.Request{VM: "silent", Zone: "a", Objective: now.Add(silentObjective), Deadline: now.Add(silentDeadline)}
}

// placeAll has the silent VM's calls take all slots and returns their grants.
func (s *silentSite) placeAll(g *WithT) []dispatch.Grant {
	var grants []dispatch.Grant
	for range pairServers.slots {
		grant, err := s.vm.Place(context.Background(), "s", s.local, silentRequest())
		g.Expect(err).NotTo(HaveOccurred())
		grants = append(grants, grant)
	}
	return grants
}

// freeSlots returns the number of calls that the coordinator places at once, and ends them.
func (s *silentSite) freeSlots() int {
	var grants []dispatch.Grant
	for range 2 * pairServers.slots {
		request := silentRequest()
		request.Objective = time.Now().Add(30 * time.Millisecond)
		request.Deadline = request.Objective
		grant, err := s.coordinator.Place(context.Background(), request)
		if err != nil {
			break
		}
		grants = append(grants, grant)
	}
	for _, grant := range grants {
		grant.End(dispatch.End{IsCancelled: true, IsUnattributed: true})
	}
	return len(grants)
}

// inFlightOthers returns the number of calls of other VMs that the coordinator counts as in flight.
func (s *silentSite) inFlightOthers() int64 {
	return s.counters.Get(telemetry.GroupDispatch, "in_flight_others")
}

// TestSlotsOfAVMThatFallsSilentAreFreeAfterItsCallsDeadlines has a VM that asks for all slots and
// never tells the ends of its calls, while its stream stays open.
func TestSlotsOfAVMThatFallsSilentAreFreeAfterItsCallsDeadlines(t *testing.T) {
	withSilentSite(t, func(g *WithT, s *silentSite) {
		s.placeAll(g)
		g.Expect(s.inFlightOthers()).To(BeEquivalentTo(pairServers.slots))
		g.Expect(s.freeSlots()).To(BeZero())
		time.Sleep(silentDeadline - 100*time.Millisecond)
		g.Expect(s.freeSlots()).To(BeZero(), "the upstream may still run the calls")
		time.Sleep(dispatch.EndReportTime + 100*time.Millisecond)
		g.Expect(s.freeSlots()).To(Equal(pairServers.slots))
		g.Expect(s.inFlightOthers()).To(BeZero())
		g.Expect(s.counters.Get(telemetry.GroupDispatch, "expired")).To(BeEquivalentTo(pairServers.slots))
	})
}

// TestCallsThatWaitForASilentVMTakeNoSlots has a VM stand still, with twice as many calls as there
// are slots, of which half wait. Its messages are not read either.
func TestCallsThatWaitForASilentVMTakeNoSlots(t *testing.T) {
	withSilentSite(t, func(g *WithT, s *silentSite) {
		s.placeAll(g)
		for range pairServers.slots {
			go func() { _, _ = s.vm.Place(context.Background(), "s", s.local, silentRequest()) }()
		}
		time.Sleep(10 * time.Millisecond)
		s.gate.set(true)
		defer s.gate.set(false)
		time.Sleep(silentDeadline + dispatch.EndReportTime)
		g.Expect(s.freeSlots()).To(Equal(pairServers.slots))
		g.Expect(s.inFlightOthers()).To(BeZero())
	})
}

// TestSlotOfAVMThatGoesOnIsFreedOnce has a VM that reports the ends of its calls after they have
// expired and other calls have their slots.
func TestSlotOfAVMThatGoesOnIsFreedOnce(t *testing.T) {
	withSilentSite(t, func(g *WithT, s *silentSite) {
		late := s.placeAll(g)
		s.gate.set(true)
		time.Sleep(silentDeadline + dispatch.EndReportTime)
		for range pairServers.slots {
			_, err := s.coordinator.Place(context.Background(), silentRequest())
			g.Expect(err).NotTo(HaveOccurred())
		}
		s.gate.set(false)
		for _, grant := range late {
			grant.End(dispatch.End{IsCancelled: true})
		}
		time.Sleep(time.Second)
		g.Expect(s.freeSlots()).To(BeZero())
		g.Expect(s.inFlightOthers()).To(BeZero())
	})
}

// TestEndInTimeFreesTheSlotOnce has a VM that reports the ends of its calls and then has others in
// flight when the first ones would have expired.
func TestEndInTimeFreesTheSlotOnce(t *testing.T) {
	withSilentSite(t, func(g *WithT, s *silentSite) {
		for _, grant := range s.placeAll(g) {
			grant.End(dispatch.End{IsCancelled: true})
		}
		time.Sleep(silentDeadline - time.Second)
		s.placeAll(g)
		time.Sleep(time.Second + 2*dispatch.EndReportTime)
		g.Expect(s.freeSlots()).To(BeZero())
		g.Expect(s.inFlightOthers()).To(BeEquivalentTo(pairServers.slots))
	})
}

// TestCopiesOfARequestWaitNoLongerThanForASilentVM has a VM stand still while it sends a request
// under which an upstream has ended, so that its copies wait for the result.
func TestCopiesOfARequestWaitNoLongerThanForASilentVM(t *testing.T) {
	withSilentSite(t, func(g *WithT, s *silentSite) {
		request := func() dispatch.Request {
			r := silentRequest()
			r.ID = quarantine.NewHasher(quarantine.Head{Method: "GET", Path: "/suspect", Caller: "10.1.1.1"}).Identity()
			return r
		}
		grant, err := s.vm.Place(context.Background(), "s", s.local, request())
		g.Expect(err).NotTo(HaveOccurred())
		grant.End(dispatch.End{Run: quarantine.ResultEnded, Result: loadbalancer.Result{Failed: true}})
		time.Sleep(time.Second)
		_, err = s.vm.Place(context.Background(), "s", s.local, request())
		g.Expect(err).NotTo(HaveOccurred())
		grant, err = s.coordinator.Place(context.Background(), request())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Waited).To(BeNumerically(">", 100*time.Millisecond), "a copy is in flight")
		grant.End(dispatch.End{IsCancelled: true})
		time.Sleep(silentDeadline + dispatch.EndReportTime)
		grant, err = s.coordinator.Place(context.Background(), request())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Waited).To(BeNumerically("<", 10*time.Millisecond))
		grant.End(dispatch.End{IsCancelled: true})
	})
}

// TestCallThatWaitsAtASilentCoordinatorIsPlacedByItsOwnVM has the coordinator stand still after it
// has told that a call waits. Nothing that is sent to it is read.
func TestCallThatWaitsAtASilentCoordinatorIsPlacedByItsOwnVM(t *testing.T) {
	withSilentSite(t, func(g *WithT, s *silentSite) {
		s.placeAll(g)
		time.AfterFunc(20*time.Millisecond, func() { s.coordinatorGate.set(true) })
		defer s.coordinatorGate.set(false)
		began := time.Now()
		_, err := s.vm.Place(context.Background(), "s", s.local, silentRequest())
		g.Expect(err).To(MatchError(dispatch.ErrUnavailable))
		g.Expect(time.Since(began)).To(BeNumerically("<=", dispatch.MaxDecisionTime(silentObjective)+dispatch.SendTimeout))
	})
}

// TestCallWaitsForNoCoordinatorThatReadsNothing has the coordinator stand still, so that no byte of a
// message leaves.
func TestCallWaitsForNoCoordinatorThatReadsNothing(t *testing.T) {
	withSilentSite(t, func(g *WithT, s *silentSite) {
		synctest.Wait()
		s.coordinatorGate.set(true)
		defer s.coordinatorGate.set(false)
		began := time.Now()
		for range 2 {
			_, err := s.vm.Place(context.Background(), "s", s.local, silentRequest())
			g.Expect(err).To(MatchError(dispatch.ErrUnavailable))
		}
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*dispatch.SendTimeout))
	})
}
