package measure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/measure"
)

// tick is the time between two calls of Next.
const tick = 50 * time.Millisecond

// targets returns targets with the same need.
func targets(count int, need measure.Need) []measure.Target {
	list := make([]measure.Target, 0, count)
	for i := range count {
		list = append(list, measure.Target{Address: fmt.Sprintf("10.0.0.%d:80", i), Path: "/load", Need: need})
	}
	return list
}

// fleet holds the planners of all VMs and the probes that they sent.
type fleet struct {
	options  measure.Options
	random   *rand.Rand
	planners []*measure.Planner
	targets  []measure.Target
	cost     measure.Cost
	// sent holds the times of the probes to each upstream.
	sent map[string][]time.Time
	// perVM holds the times of the probes of each VM.
	perVM map[int][]time.Time
}

func newFleet(vms int, seed uint64, options measure.Options, probeTargets []measure.Target) *fleet {
	f := &fleet{
		options: options, targets: probeTargets, random: rand.New(rand.NewPCG(seed, 1)),
		planners: make([]*measure.Planner, vms),
		cost:     measure.Cost{Bytes: 300, UpstreamTime: 100 * time.Microsecond},
		sent:     make(map[string][]time.Time),
		perVM:    make(map[int][]time.Time),
	}
	f.restart(epoch)
	return f
}

// restart replaces the planners of all VMs at once.
func (f *fleet) restart(now time.Time) {
	for i := range f.planners {
		f.planners[i] = measure.NewPlanner(f.options, now, f.random)
		f.planners[i].SetTargets(now, f.targets)
	}
}

// run calls Next of every VM at each tick and returns the end of the run.
func (f *fleet) run(from time.Time, length time.Duration) time.Time {
	end := from.Add(length)
	for _, p := range f.planners {
		p.SetTargets(from, f.targets)
	}
	for now := from; now.Before(end); now = now.Add(tick) {
		for i, p := range f.planners {
			if target, verdict := p.Next(now); verdict == measure.Probe {
				f.sent[target.Address] = append(f.sent[target.Address], now)
				f.perVM[i] = append(f.perVM[i], now)
				p.Done(now, target, f.cost)
			}
		}
	}
	return end
}

// total returns the number of all probes.
func (f *fleet) total() int {
	n := 0
	for _, times := range f.sent {
		n += len(times)
	}
	return n
}

// maxInWindow returns the largest number of the given times that lie in one
// window, wherever the window starts.
func maxInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

const (
	vms    = 18
	window = 10 * time.Second
)

// TestRestartOfAllVMsKeepsTheBudget restarts all VMs repeatedly and checks the
// rate limits over every window.
func TestRestartOfAllVMsKeepsTheBudget(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		options := measure.Options{PerVM: 10, PerUpstream: 1}
		f := newFleet(vms, seed, options, targets(15, measure.Silent))
		now := f.run(epoch, 2*time.Minute)
		steady := f.total()
		for range 5 {
			f.restart(now)
			now = f.run(now, 30*time.Second)
		}
		f.run(now, 2*time.Minute)
		for address, times := range f.sent {
			// All VMs may probe an upstream at the same moment, each once
			// within its own interval of 18 s.
			if most := maxInWindow(times, vms*time.Second); most > vms {
				t.Errorf("seed %d: %s got %d probes within %d s", seed, address, most, vms)
			}
		}
		for vm, times := range f.perVM {
			if most := maxInWindow(times, window); most > 100 {
				t.Errorf("seed %d: VM %d sent %d probes within 10 s", seed, vm, most)
			}
		}
		t.Logf("seed %d: %.2f probes/s before the restarts, to %d upstreams", seed, float64(steady)/120, 15)
	}
}

var _ = Describe("Planner", func() {
	options := measure.Options{PerVM: 10, PerUpstream: 1}

	It("sends no probes without targets", func() {
		p := measure.NewPlanner(options, epoch, rand.New(rand.NewPCG(1, 1)))
		_, verdict := p.Next(epoch.Add(time.Hour))
		Expect(verdict).To(Equal(measure.NoNeed))
	})

	It("limits the rate of one upstream over all VMs", func() {
		f := newFleet(vms, 1, options, targets(15, measure.Silent))
		f.run(epoch, 5*time.Minute)
		for _, times := range f.sent {
			Expect(len(times)).To(BeNumerically("<=", 300))
			Expect(len(times)).To(BeNumerically(">=", 240))
		}
	})

	It("limits the rate of one VM", func() {
		f := newFleet(1, 1, measure.Options{PerVM: 2, PerUpstream: 18}, targets(100, measure.Silent))
		f.run(epoch, time.Minute)
		Expect(f.total()).To(BeNumerically("<=", 120))
		Expect(f.total()).To(BeNumerically(">=", 110))
	})

	It("limits the bytes of one VM", func() {
		f := newFleet(1, 1, measure.Options{PerVM: 100, PerUpstream: 1800, BytesPerSecond: 1000}, targets(100, measure.Silent))
		f.cost.Bytes = 500
		f.run(epoch, time.Minute)
		Expect(f.total()).To(BeNumerically("~", 120, 5))
	})

	It("limits the upstream's time over all VMs", func() {
		f := newFleet(vms, 1, measure.Options{PerVM: 100, PerUpstream: 100, UpstreamTimeShare: 0.005}, targets(1, measure.Silent))
		f.cost.UpstreamTime = 10 * time.Millisecond
		f.run(epoch, 5*time.Minute)
		spent := time.Duration(f.total()) * f.cost.UpstreamTime
		Expect(spent).To(BeNumerically("<=", 1500*time.Millisecond+vms*f.cost.UpstreamTime))
	})

	It("does not raise the rate while each VM sees itself as the only one", func() {
		f := newFleet(vms, 1, options, nil)
		for _, p := range f.planners {
			p.SetLiveVMs(epoch, 1)
			p.SetLiveVMs(epoch.Add(time.Hour), 1)
		}
		f.targets = targets(3, measure.Silent)
		f.run(epoch.Add(time.Hour), 3*vms*time.Second)
		for _, times := range f.sent {
			Expect(len(times)).To(BeNumerically("<=", 3*vms), "each VM probes once in 18 s")
			Expect(maxInWindow(times, time.Second)).To(BeNumerically("<=", 6), "not all at once")
		}
	})

	It("applies an increase in VMs at once and a decrease after a minute", func() {
		p := measure.NewPlanner(options, epoch, rand.New(rand.NewPCG(1, 1)))
		p.SetLiveVMs(epoch, 100)
		p.SetLiveVMs(epoch.Add(time.Second), 20)
		p.SetTargets(epoch.Add(2*time.Second), targets(1, measure.Silent))
		_, verdict := p.Next(epoch.Add(90 * time.Second))
		Expect(verdict).To(Equal(measure.OverBudget), "one of 100 VMs probes every 100 s")
		p.SetLiveVMs(epoch.Add(62*time.Second), 30)
		_, verdict = p.Next(epoch.Add(210 * time.Second))
		Expect(verdict).To(Equal(measure.Probe))
		_, verdict = p.Next(epoch.Add(239 * time.Second))
		Expect(verdict).To(Equal(measure.OverBudget))
		_, verdict = p.Next(epoch.Add(241 * time.Second))
		Expect(verdict).To(Equal(measure.Probe), "one of 30 VMs probes every 30 s")
	})

	It("probes a draining upstream first, then a returning one", func() {
		p := measure.NewPlanner(options, epoch, rand.New(rand.NewPCG(1, 1)))
		list := []measure.Target{
			{Address: "a", Need: measure.Silent}, {Address: "b", Need: measure.Draining}, {Address: "c", Need: measure.Returning},
		}
		p.SetTargets(epoch, list)
		var probed []string
		for i := range 3 {
			target, verdict := p.Next(epoch.Add(time.Minute + time.Duration(i)*time.Second))
			Expect(verdict).To(Equal(measure.Probe))
			probed = append(probed, target.Address)
		}
		Expect(probed).To(Equal([]string{"b", "c", "a"}))
	})

	It("does not raise the rate of an upstream that leaves the targets and returns", func() {
		f := newFleet(vms, 1, options, targets(1, measure.Silent))
		now := epoch
		for range 300 {
			f.targets = targets(1, measure.Silent)
			now = f.run(now, 500*time.Millisecond)
			f.targets = nil
			now = f.run(now, 500*time.Millisecond)
		}
		Expect(f.total()).To(BeNumerically("<=", 300))
	})
})
