package measure_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/measure"
)

var _ = Describe("a probe budget", func() {
	const (
		perUpstream = 60.0
		upstreams   = 15
		vms         = 18
		seconds     = 20
	)
	// spend requests three probes for each call and returns how many probes a
	// second all VMs together were granted for each upstream.
	spend := func(callsPerSecond int, coordinators int) float64 {
		now := time.Unix(1000, 0)
		budgets := make([]*measure.ProbeBudget, vms)
		for i := range budgets {
			budgets[i] = measure.NewProbeBudget(perUpstream)
			budgets[i].SetUpstreams(now, upstreams)
			budgets[i].SetLiveVMs(now, vms)
			budgets[i].SetCoordinator(now, i < coordinators)
		}
		granted := 0
		for call := range callsPerSecond * seconds {
			now = now.Add(time.Second / time.Duration(callsPerSecond))
			granted += budgets[call%vms].Take(now, 3)
		}
		return float64(granted) / upstreams / seconds
	}

	It("limits all VMs together at any call rate", func() {
		Expect(spend(20000, 1)).To(BeNumerically("<=", perUpstream))
		Expect(spend(20000, 2)).To(BeNumerically("<=", perUpstream), "also while two VMs act as the coordinator")
	})

	It("does not grow with the call rate", func() {
		Expect(spend(100000, 1)).To(BeNumerically("~", spend(10000, 1), 1))
	})

	It("grants all probes at a low call rate", func() {
		Expect(spend(36, 0)).To(BeNumerically("~", 3*36.0/upstreams, 1.5))
	})

	It("grants everything without a limit", func() {
		Expect(measure.NewProbeBudget(0).Take(time.Unix(1, 0), 7)).To(Equal(7))
	})
})
