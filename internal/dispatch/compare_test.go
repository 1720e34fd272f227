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

// vms is the number of VMs that calls arrive at.
const vms = 18

// alone returns VMs that each place their own calls, as they do while the one in
// charge can't be reached.
func alone(f *fleet, seed uint64) placeFunc {
	dispatchers := make([]*dispatch.Dispatcher, vms)
	for i := range dispatchers {
		dispatchers[i] = f.dispatcher("vm", seed*100+uint64(i))
	}
	random := rand.New(rand.NewPCG(seed, 3))
	var mu sync.Mutex
	return func(ctx context.Context, r dispatch.Request) (dispatch.Grant, error) {
		mu.Lock()
		d := dispatchers[random.IntN(vms)]
		mu.Unlock()
		return d.Place(ctx, r)
	}
}

// timelyShares plays a load with each seed and returns the shares of calls that
// are answered within the objective, in order.
func timelyShares(t *testing.T, perSecond float64, placing func(f *fleet, seed uint64) (placeFunc, func())) []float64 {
	t.Helper()
	var shares []float64
	for seed := range uint64(5) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(fleetSize, seed)
			place, end := placing(f, seed)
			l := statusLoad(perSecond, seed)
			shares = append(shares, share(f.play(l, place), timely(l)))
			end()
			time.Sleep(time.Minute)
		})
	}
	slices.Sort(shares)
	return shares
}

// TestOneVMInChargeServesMoreThanManyAlone plays loads near and above the
// capacity and compares the medians over five seeds.
func TestOneVMInChargeServesMoreThanManyAlone(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{180, 300} {
		g := NewWithT(t)
		byOne := timelyShares(t, perSecond, func(f *fleet, seed uint64) (placeFunc, func()) {
			place, end := inCharge(f.dispatcher("vm", seed))
			return place, end
		})
		byMany := timelyShares(t, perSecond, func(f *fleet, seed uint64) (placeFunc, func()) {
			return alone(f, seed), func() {}
		})
		t.Logf("%.0f calls a second: %.3f by one, %.3f by many", perSecond, byOne[2], byMany[2])
		g.Expect(byOne[2]).To(BeNumerically(">", byMany[2]))
	}
}
