package dispatch_test

import (
	"context"
	"sync/atomic"
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
	"github.com/figfront/figfront/internal/telemetry"
)

// panickingNetwork is a coordinator whose placements, or whose receipt of messages, panic.
type panickingNetwork struct {
	*network
	counters                   *telemetry.Counters
	panicsInPlace, panicsInGet atomic.Bool
}

func newPanickingNetwork(f *fleet) *panickingNetwork {
	n := &panickingNetwork{network: &network{Network: pipenet.New()}, counters: telemetry.NewCounters()}
	n.coordinator = f.dispatcherWith("boss", 1, func(o *dispatch.Options) {
		o.IsResting = func(string) bool {
			if n.panicsInPlace.Load() {
				panic("placement")
			}
			return false
		}
	})
	n.server = dispatch.NewServer(func(string) (*dispatch.Dispatcher, bool) {
		if n.panicsInGet.Load() {
			panic("message")
		}
		return n.coordinator, true
	}, hclog.NewNullLogger(), n.counters)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	listener := n.Listen(coordinatorAddress)
	go func() {
		_ = exchange.ServeDispatch(ctx, listener, &api.DRPCExchangeUnimplementedServer{}, n.server)
	}()
	return n
}

// TestPanicOfAPlacementLeavesTheCallToItsOwnVM has a coordinator at which the placement of a call,
// or the receipt of its message, panics: the other VM places the call, and the coordinator serves
// the next ones.
func TestPanicOfAPlacementLeavesTheCallToItsOwnVM(t *testing.T) {
	for _, edge := range []string{"placement", "message"} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(pairServers, 2, 1)
			n := newPanickingNetwork(f)
			defer n.close()
			router := n.router()
			defer router.Close()
			local := f.dispatcher("own", 2)
			placeAtCoordinator(g, router, local).End(dispatch.End{IsCancelled: true})
			time.Sleep(time.Second)
			n.panicsInPlace.Store(edge == "placement")
			n.panicsInGet.Store(edge == "message")
			for range 5 {
				grant, err := router.Place(context.Background(), "s", local, patientRequest())
				g.Expect(err).NotTo(HaveOccurred(), edge)
				g.Expect(grant.PlacedBy).To(Equal("own"), edge)
				grant.End(dispatch.End{IsCancelled: true})
				time.Sleep(2500 * time.Millisecond)
			}
			g.Expect(n.counters.Get(telemetry.GroupPanics, edge)).To(BeNumerically(">=", 1))
			n.panicsInPlace.Store(false)
			n.panicsInGet.Store(false)
			time.Sleep(3 * time.Second)
			grants := make([]dispatch.Grant, 0, 2*pairServers.slots)
			for range cap(grants) {
				grants = append(grants, placeAtCoordinator(g, router, local))
			}
			for _, grant := range grants {
				grant.End(dispatch.End{IsCancelled: true})
			}
		})
	}
}

// TestPanicOfAProbeEndsNoCall has probes that panic.
func TestPanicOfAProbeEndsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(pairServers, 2, 1)
		counters := telemetry.NewCounters()
		d := f.dispatcherWith("vm", 1, func(o *dispatch.Options) {
			o.Counters = counters
			o.Probe = func(context.Context, string) (loadbalancer.ProbeResult, bool) { panic("probe") }
		})
		place, end := asCoordinator(d)
		for range 20 {
			grant, err := place(context.Background(), patientRequest())
			g.Expect(err).NotTo(HaveOccurred())
			grant.End(dispatch.End{IsCancelled: true})
			time.Sleep(100 * time.Millisecond)
		}
		end()
		g.Expect(counters.Get(telemetry.GroupPanics, "probe")).To(BeNumerically(">", 20))
		time.Sleep(time.Minute)
	})
}

// TestPanicWhileConnectingIsTriedAgain has a router whose choice of the coordinator panics.
func TestPanicWhileConnectingIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		counters := telemetry.NewCounters()
		calls := 0
		router := dispatch.NewRouter(func(string, func(string) bool) (dispatch.VM, bool) {
			calls++
			if calls <= 2 {
				panic("coordinator")
			}
			return dispatch.VM{}, false
		}, nil, hclog.NewNullLogger(), counters)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		g.Expect(router.KeepConnected(ctx, func() []string { return []string{"s"} })).To(Succeed())
		g.Expect(calls).To(BeNumerically(">", 5))
		g.Expect(counters.Get(telemetry.GroupPanics, "connection")).To(Equal(int64(2)))
	})
}
