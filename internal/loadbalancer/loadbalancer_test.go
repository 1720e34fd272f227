package loadbalancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/spectest"
)

func TestLoadbalancer(t *testing.T) {
	spectest.Run(t, "loadbalancer")
}

var start = time.Unix(1_700_000_000, 0)

// newBalancer returns a balancer with count upstreams in one zone.
func newBalancer(vm string, count, subset int) *loadbalancer.Balancer {
	options := loadbalancer.Options{VM: vm, Zone: "z", SubsetSize: subset}
	b := loadbalancer.New(options, rand.New(rand.NewPCG(1, 1)))
	b.SetUpstreams(start, upstreams(count))
	return b
}

func upstreams(count int) []loadbalancer.Upstream {
	all := make([]loadbalancer.Upstream, count)
	for i := range all {
		name := fmt.Sprintf("u-%d", i)
		all[i] = loadbalancer.Upstream{Name: name, Address: name, Zone: "z", Slots: 2}
	}
	return all
}

// serve picks an upstream for one call, ends the call at once with the result
// of respond and returns the name of the upstream.
func serve(b *loadbalancer.Balancer, now time.Time, respond func(name string) loadbalancer.Result) string {
	choice, ok := b.Pick(now, loadbalancer.Request{})
	if !ok {
		return ""
	}
	b.Sent(now, choice)
	result := respond(choice.Name)
	b.Done(now.Add(result.Latency), choice, result)
	return choice.Name
}

func fastResult(string) loadbalancer.Result {
	return loadbalancer.Result{Latency: 10 * time.Millisecond, HasReport: true, Report: callheader.Report{Running: 1}}
}

// countCalls makes a call every 20 ms for the given length of time and counts
// those that go to the named upstream.
func countCalls(b *loadbalancer.Balancer, from time.Time, length time.Duration, name string,
	respond func(name string) loadbalancer.Result,
) int {
	found := 0
	for at := time.Duration(0); at < length; at += 20 * time.Millisecond {
		if serve(b, from.Add(at), respond) == name {
			found++
		}
	}
	return found
}

var _ = Describe("a balancer", func() {
	It("uses a fixed subset that differs between VMs", func() {
		seen := make(map[string]bool)
		for vm := range 40 {
			b := newBalancer(fmt.Sprintf("vm-%d", vm), 100, 5)
			own := make(map[string]bool)
			for i := range 200 {
				own[serve(b, start.Add(time.Duration(i)*time.Second), fastResult)] = true
			}
			Expect(own).To(HaveLen(5))
			for name := range own {
				seen[name] = true
			}
		}
		Expect(len(seen)).To(BeNumerically(">", 80))
	})

	It("keeps the subset when an upstream outside it is removed", func() {
		b := newBalancer("vm", 100, 5)
		used := make(map[string]bool)
		for i := range 200 {
			used[serve(b, start.Add(time.Duration(i)*time.Second), fastResult)] = true
		}
		var fewer []loadbalancer.Upstream
		for _, u := range upstreams(100) {
			if used[u.Name] || len(fewer) < 50 {
				fewer = append(fewer, u)
			}
		}
		b.SetUpstreams(start.Add(time.Hour), fewer)
		for i := range 200 {
			Expect(used).To(HaveKey(serve(b, start.Add(2*time.Hour+time.Duration(i)*time.Second), fastResult)))
		}
	})

	It("replaces a leaving upstream in the subset and ignores early probes", func() {
		b := newBalancer("vm", 10, 1)
		leaving := serve(b, start, func(name string) loadbalancer.Result {
			r := fastResult(name)
			r.Draining = true
			return r
		})
		Expect(b.OwnDrainNotices(start)).To(ConsistOf(leaving))
		at := start.Add(30 * time.Second)
		b.Probed(at, leaving, loadbalancer.ProbeResult{Sent: at, IsHealthy: true})
		Expect(countCalls(b, at, 20*time.Second, leaving, fastResult)).To(BeZero())
		Expect(countCalls(b, at, 20*time.Second, "", fastResult)).To(BeZero(), "no upstream was chosen")
		at = start.Add(61 * time.Second)
		b.Probed(at, leaving, loadbalancer.ProbeResult{Sent: at, IsHealthy: true})
		Expect(countCalls(b, at, time.Minute, leaving, fastResult)).NotTo(BeZero())
	})

	It("uses a leaving upstream again after it was gone", func() {
		b := newBalancer("vm", 2, 0)
		b.AddDrainNotice(start, "u-1")
		Expect(b.OwnDrainNotices(start)).To(BeEmpty(), "a drain notice of another VM is not passed on")
		at := start.Add(5 * time.Second)
		b.Probed(at, "u-1", loadbalancer.ProbeResult{Sent: at})
		b.Probed(at, "u-1", loadbalancer.ProbeResult{Sent: at, IsHealthy: true})
		Expect(countCalls(b, at.Add(10*time.Second), 10*time.Second, "u-1", fastResult)).NotTo(BeZero())
	})

	It("warms up a new upstream", func() {
		b := newBalancer("vm", 4, 0)
		b.SetUpstreams(start.Add(time.Second), upstreams(5))
		from := start.Add(time.Second)
		Expect(countCalls(b, from, 2*time.Second, "u-4", fastResult)).To(BeNumerically("<=", 2))
		Expect(countCalls(b, from.Add(10*time.Second), 2*time.Second, "u-4", fastResult)).To(BeNumerically(">=", 10))
	})

	It("avoids an upstream that fails fast and reports no load", func() {
		b := newBalancer("vm", 5, 0)
		failing := func(name string) loadbalancer.Result {
			if name == "u-2" {
				return loadbalancer.Result{Latency: time.Millisecond, Failed: true, HasReport: true}
			}
			return fastResult(name)
		}
		Expect(countCalls(b, start, 10*time.Second, "u-2", failing)).To(BeNumerically("<=", 8))
	})

	It("sends a booking to a suspect only when there is no other upstream", func() {
		b := newBalancer("vm", 2, 0)
		failing := func(name string) loadbalancer.Result {
			r := fastResult(name)
			r.Failed = name == "u-0"
			return r
		}
		countCalls(b, start, 2*time.Second, "", failing)
		for i := range 100 {
			now := start.Add(time.Minute + time.Duration(i)*time.Second)
			choice, ok := b.Pick(now, loadbalancer.Request{NoTrial: true})
			Expect(ok).To(BeTrue())
			Expect(choice.Name).To(Equal("u-1"))
		}
		choice, ok := b.Pick(start.Add(time.Hour), loadbalancer.Request{NoTrial: true, Exclude: []string{"u-1"}})
		Expect(ok).To(BeTrue())
		Expect(choice.Name).To(Equal("u-0"))
	})

	It("does not count a long upload as slowness of the upstream", func() {
		b := newBalancer("vm", 2, 0)
		countCalls(b, start, time.Second, "", fastResult)
		upload, _ := b.Pick(start.Add(time.Second), loadbalancer.Request{Bulk: true})
		b.Sent(start.Add(time.Second), upload)
		later := start.Add(30 * time.Second)
		chosen := make(map[string]bool)
		for range 3 {
			choice, _ := b.Pick(later, loadbalancer.Request{})
			b.Sent(later, choice)
			chosen[choice.Name] = true
		}
		Expect(chosen).To(HaveKey(upload.Name))
	})
})

// flatRatio limits the work of a selection among 1,800 upstreams relative to
// that among 18.
const flatRatio = 2

// subsetSize is the number of upstreams of a large service that a VM uses.
const subsetSize = 18

// TestPickWorkIsFlat checks that the number of upstreams that a selection
// evaluates does not grow with the service.
func TestPickWorkIsFlat(t *testing.T) {
	work := func(upstreams int) uint64 {
		b := newBalancer("vm", upstreams, subsetSize)
		for i := range 1000 {
			serve(b, start.Add(time.Duration(i)*time.Millisecond), fastResult)
		}
		return b.Examined()
	}
	small, large := work(18), work(1800)
	if large > flatRatio*small {
		t.Errorf("%d upstreams evaluated among 1,800, %d among 18", large, small)
	}
}

// TestPickDoesNotAllocate checks Pick, Sent and Done together.
func TestPickDoesNotAllocate(t *testing.T) {
	b := newBalancer("vm", 18, 0)
	now := start
	exclude := []string{"u-3"}
	allocations := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		choice, _ := b.Pick(now, loadbalancer.Request{Exclude: exclude})
		b.Sent(now, choice)
		b.Done(now.Add(time.Millisecond), choice, fastResult(choice.Name))
	})
	if allocations != 0 {
		t.Errorf("%.1f allocations per selection", allocations)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{18, 1800} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			balancer := newBalancer("vm", size, subsetSize)
			for i := range 1000 {
				serve(balancer, start.Add(time.Duration(i)*time.Millisecond), fastResult)
			}
			now := start.Add(time.Second)
			b.ReportAllocs()
			for b.Loop() {
				balancer.Pick(now, loadbalancer.Request{})
			}
		})
	}
}

var _ = Describe("a balancer whose upstreams are all suspects", func() {
	const deliveryInterval = 30 * time.Second
	failed := loadbalancer.Result{Failed: true, Latency: time.Millisecond}
	upload := loadbalancer.Request{NoTrial: true, Bulk: true}

	// deliver sends one upload and returns the upstream that got it.
	deliver := func(b *loadbalancer.Balancer, now time.Time, respond func(name string) loadbalancer.Result) string {
		choice, ok := b.Pick(now, upload)
		Expect(ok).To(BeTrue())
		b.Sent(now, choice)
		b.Done(now.Add(time.Millisecond), choice, respond(choice.Name))
		return choice.Name
	}

	It("tries the one with fewer failures in a row, and stays with it once it responds", func() {
		for seed := range uint64(20) {
			b := loadbalancer.New(loadbalancer.Options{VM: "vm", Zone: "z"}, rand.New(rand.NewPCG(seed, 1)))
			b.SetUpstreams(start, upstreams(2))
			now := start
			for range 8 {
				now = now.Add(deliveryInterval)
				deliver(b, now, func(string) loadbalancer.Result { return failed })
			}
			recovers := func(name string) loadbalancer.Result {
				if name == "u-0" {
					return failed
				}
				return loadbalancer.Result{Latency: time.Millisecond}
			}
			first := deliver(b, now.Add(deliveryInterval), recovers)
			second := deliver(b, now.Add(2*deliveryInterval), recovers)
			Expect([]string{first, second}).To(ContainElement("u-1"))
			for i := range 10 {
				at := now.Add(time.Duration(3+i) * deliveryInterval)
				Expect(deliver(b, at, recovers)).To(Equal("u-1"), "seed %d", seed)
			}
		}
	})
})

var _ = Describe("a balancer without probes", func() {
	drains := func(name string) loadbalancer.Result {
		r := fastResult(name)
		r.Draining = name == "u-0"
		return r
	}

	It("tries a leaving upstream again two minutes after its drain notice", func() {
		b := newBalancer("vm", 2, 0)
		countCalls(b, start, time.Second, "u-0", drains)
		Expect(countCalls(b, start.Add(time.Second), time.Minute, "u-0", fastResult)).To(BeZero())
		Expect(countCalls(b, start.Add(4*time.Minute), time.Minute, "u-0", fastResult)).To(BeNumerically(">", 100))
	})

	It("sends one call in two minutes to one that is still leaving", func() {
		b := newBalancer("vm", 2, 0)
		countCalls(b, start, time.Second, "u-0", drains)
		Expect(countCalls(b, start.Add(time.Second), 20*time.Minute, "u-0", drains)).To(BeNumerically("<=", 10))
	})

	It("does not use it while probes find it unhealthy", func() {
		b := newBalancer("vm", 2, 0)
		countCalls(b, start, time.Second, "u-0", drains)
		for minute := range 10 {
			now := start.Add(time.Duration(minute) * time.Minute)
			b.Probed(now, "u-0", loadbalancer.ProbeResult{Sent: now, IsHealthy: false})
			Expect(countCalls(b, now, time.Minute, "u-0", fastResult)).To(BeZero())
		}
	})

	It("does not use one that tells its start until it has started again", func() {
		b := newBalancer("vm", 2, 0)
		listed := upstreams(2)
		listed[0].Started = start
		b.SetUpstreams(start, listed)
		Expect(countCalls(b, start, 30*time.Second, "u-0", drains)).To(BeNumerically(">", 0))
		for minute := range 10 {
			now := start.Add(time.Duration(minute+1) * time.Minute)
			b.Probed(now, "u-0", loadbalancer.ProbeResult{Sent: now, IsHealthy: minute%2 == 0})
			Expect(countCalls(b, now, time.Minute, "u-0", fastResult)).To(BeZero())
		}
		listed[0].Started = start.Add(time.Hour)
		b.SetUpstreams(start.Add(time.Hour), listed)
		Expect(countCalls(b, start.Add(time.Hour), time.Minute, "u-0", fastResult)).To(BeNumerically(">", 100))
	})
})
