package decisionbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figfront/figfront/internal/loadbalancer"
)

// Policy chooses the upstreams for the calls of one VM. Upstreams are identified
// by their index.
type Policy interface {
	// Pick chooses an upstream to which none of the sends went. It returns false
	// if there is none.
	Pick(sends []*Send) (int, bool)
	Sent(upstream int)
	Done(upstream int, latency time.Duration, resp response)
	Cancelled(upstream int, latency time.Duration)
	Probed(upstream int, sent time.Time, resp response)
}

// figfront is the policy of the product, based on package loadbalancer.
type figfront struct {
	sim      *Simulation
	balancer *loadbalancer.Balancer
	byName   map[string]int
	choices  []loadbalancer.Choice
	exclude  []string
}

// NewFigfront returns figfront's policy for one VM.
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
	f.scheduleDrainNotices()
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

func (f *figfront) Done(upstream int, latency time.Duration, resp response) {
	f.balancer.Done(f.sim.Now(), f.choices[upstream], loadbalancer.Result{
		Latency: latency, Failed: resp.failed, Shed: resp.shed, Draining: resp.draining,
		Report: resp.report, HasReport: !resp.timedOut,
	})
}

func (f *figfront) Cancelled(upstream int, elapsed time.Duration) {
	f.balancer.Cancelled(f.sim.Now(), f.choices[upstream], elapsed)
}

func (f *figfront) Probed(upstream int, sent time.Time, resp response) {
	f.balancer.Probed(f.sim.Now(), f.choices[upstream].Name, loadbalancer.ProbeResult{
		Sent: sent, IsHealthy: !resp.draining && !resp.failed, Report: resp.report, HasReport: true,
	})
}

// Candidates returns up to count upstreams to probe before a send.
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

// drainNoticeInterval is the interval at which a VM sends drain notices to the
// other VMs, drainNoticeDelay the time until they arrive.
const (
	drainNoticeInterval = 500 * time.Millisecond
	drainNoticeDelay    = 500 * time.Millisecond
)

// scheduleDrainNotices periodically notifies the other VMs of the upstreams that
// this VM knows to be leaving.
func (f *figfront) scheduleDrainNotices() {
	f.sim.After(drainNoticeInterval, func() {
		for _, name := range f.balancer.OwnDrainNotices(f.sim.Now()) {
			f.sim.After(drainNoticeDelay, func() { f.notifyOthers(name) })
		}
		f.scheduleDrainNotices()
	})
}

func (f *figfront) notifyOthers(name string) {
	for _, vm := range f.sim.VMs {
		if other, ok := vm.policy.(*figfront); ok && other != f {
			other.balancer.AddDrainNotice(f.sim.Now(), name)
		}
	}
}
