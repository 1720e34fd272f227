package decisionbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figfront/figfront/internal/loadbalancer"
)

// Policy chooses the upstreams for the calls of one VM. Upstreams go by their
// index.
type Policy interface {
	// Pick chooses an upstream that none of the sends went to.
	Pick(sends []*Send) (int, bool)
	Sent(upstream int)
	Done(upstream int, latency time.Duration, a answer)
	Cancelled(upstream int, latency time.Duration)
	Probed(upstream int, sent time.Time, a answer)
}

// figfront is the policy of the product.
type figfront struct {
	sim      *Simulation
	balancer *loadbalancer.Balancer
	byName   map[string]int
	choices  []loadbalancer.Choice
	exclude  []string
}

// NewFigfront returns the product's policy.
func NewFigfront(s *Simulation, vm int) Policy {
	options := loadbalancer.Options{
		Zone:       zoneName(vm % s.Config.Zones),
		VM:         fmt.Sprintf("vm%d", vm),
		SubsetSize: s.Config.SubsetSize,
	}
	random := rand.New(rand.NewPCG(s.Config.Seed, uint64(3000+vm)))
	f := &figfront{sim: s, balancer: loadbalancer.New(options, random), byName: make(map[string]int)}
	upstreams := make([]loadbalancer.Upstream, 0, len(s.Upstreams))
	for i, u := range s.Upstreams {
		upstreams = append(upstreams, loadbalancer.Upstream{
			Name: u.Name, Address: u.Name, Zone: zoneName(u.Zone), Slots: s.Config.Slots,
		})
		f.byName[u.Name] = i
		f.choices = append(f.choices, loadbalancer.Choice{Name: u.Name, Address: u.Name})
	}
	f.balancer.SetUpstreams(s.Now(), upstreams)
	f.scheduleShare()
	return f
}

func zoneName(zone int) string {
	return string(rune('a' + zone))
}

func (f *figfront) Pick(sends []*Send) (int, bool) {
	choice, ok := f.balancer.Pick(f.sim.Now(), loadbalancer.Request{Exclude: f.excluded(sends)})
	return f.byName[choice.Name], ok
}

func (f *figfront) Sent(upstream int) {
	f.balancer.Sent(f.sim.Now(), f.choices[upstream])
}

func (f *figfront) Done(upstream int, latency time.Duration, a answer) {
	f.balancer.Done(f.sim.Now(), f.choices[upstream], loadbalancer.Result{
		Latency: latency, Failed: a.failed, Shed: a.shed, Draining: a.draining,
		Report: a.report, HasReport: !a.lost,
	})
}

func (f *figfront) Cancelled(upstream int, elapsed time.Duration) {
	f.balancer.Cancelled(f.sim.Now(), f.choices[upstream], elapsed)
}

func (f *figfront) Probed(upstream int, sent time.Time, a answer) {
	f.balancer.Probed(f.sim.Now(), f.choices[upstream].Name, loadbalancer.ProbeResult{
		Sent: sent, Healthy: !a.draining && !a.failed, Report: a.report, HasReport: true,
	})
}

// Candidates returns the upstreams to ask for their load before a send.
func (f *figfront) Candidates(sends []*Send, count int) []int {
	var all []int
	request := loadbalancer.Request{Exclude: f.excluded(sends)}
	for _, c := range f.balancer.Candidates(f.sim.Now(), request, count) {
		all = append(all, f.byName[c.Name])
	}
	return all
}

func (f *figfront) excluded(sends []*Send) []string {
	f.exclude = f.exclude[:0]
	for _, sent := range sends {
		f.exclude = append(f.exclude, f.choices[sent.Upstream].Name)
	}
	return f.exclude
}

// shareInterval is the time between two messages of a VM about leaving
// upstreams, shareDelay the time until the other VMs have one.
const (
	shareInterval = 500 * time.Millisecond
	shareDelay    = 500 * time.Millisecond
)

// scheduleShare tells the other VMs which upstreams this one saw leaving.
func (f *figfront) scheduleShare() {
	f.sim.After(shareInterval, func() {
		for _, name := range f.balancer.Leaving(f.sim.Now()) {
			f.sim.After(shareDelay, func() { f.tellOthers(name) })
		}
		f.scheduleShare()
	})
}

func (f *figfront) tellOthers(name string) {
	for _, vm := range f.sim.VMs {
		if other, ok := vm.policy.(*figfront); ok && other != f {
			other.balancer.DrainSeen(f.sim.Now(), name)
		}
	}
}
