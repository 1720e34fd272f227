package dispatch_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/dispatch"
)

// placeFunc places one call.
type placeFunc func(ctx context.Context, r dispatch.Request) (dispatch.Grant, error)

// vmCount is the number of VMs that receive calls.
const vmCount = 18

// localPlacement returns a placeFunc that spreads calls over vmCount VMs, each of
// which places its calls locally, as while the coordinator can't be reached.
func localPlacement(f *fleet, seed uint64) placeFunc {
	dispatchers := make([]*dispatch.Dispatcher, vmCount)
	for i := range dispatchers {
		dispatchers[i] = f.dispatcher("vm", seed*100+uint64(i))
	}
	random := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	return func(ctx context.Context, r dispatch.Request) (dispatch.Grant, error) {
		mu.Lock()
		d := dispatchers[random.IntN(vmCount)]
		mu.Unlock()
		return d.Place(ctx, r)
	}
}

// timelyShares simulates a load with each seed and returns, in ascending order,
// the shares of calls that are answered within the objective.
func timelyShares(t *testing.T, perSecond float64, placing func(f *fleet, seed uint64) (placeFunc, func())) []float64 {
	t.Helper()
	var shares []float64
	for seed := range uint64(5) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(pairServers, fleetSize, seed)
			place, end := placing(f, seed)
			l := statusLoad(perSecond, seed)
			shares = append(shares, share(f.run(l, place), withinObjective(l)))
			end()
			time.Sleep(time.Minute)
		})
	}
	slices.Sort(shares)
	return shares
}

// TestCoordinatorOutperformsLocalPlacement compares one coordinator with VMs
// that place their calls locally, at loads near and above the capacity. It
// compares the medians over five seeds.
func TestCoordinatorOutperformsLocalPlacement(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{180, 300} {
		g := NewWithT(t)
		coordinated := timelyShares(t, perSecond, func(f *fleet, seed uint64) (placeFunc, func()) {
			place, end := asCoordinator(f.dispatcher("vm", seed))
			return place, end
		})
		local := timelyShares(t, perSecond, func(f *fleet, seed uint64) (placeFunc, func()) {
			return localPlacement(f, seed), func() {}
		})
		t.Logf("%.0f calls a second: timely share %.3f with a coordinator, %.3f with local placement", perSecond, coordinated[2], local[2])
		g.Expect(coordinated[2]).To(BeNumerically(">", local[2]))
	}
}
