package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// Times of the faults.
const (
	minFaultPause = 100 * time.Millisecond
	maxFaultPause = 600 * time.Millisecond
	minFaultTime  = 200 * time.Millisecond
	maxFaultTime  = 2500 * time.Millisecond
	// fateRate is the chance with which servers fail requests meanwhile.
	fateRate = 0.3
)

// fault is one kind of fault; begin returns what ends it, which may be nil.
type fault struct {
	name  string
	begin func(run *Run, random *rand.Rand) (end func(), err error)
}

// faults are all kinds of faults that a run draws from.
var faults = []fault{
	{"vm killed", vmFault(func(v *VM) { v.Signal(syscall.SIGKILL) }, restart)},
	{"vm paused", vmFault(func(v *VM) { v.Signal(syscall.SIGSTOP) }, func(v *VM) { v.Signal(syscall.SIGCONT) })},
	{"vm stopped as planned", func(run *Run, random *rand.Rand) (func(), error) {
		v := run.vms[random.IntN(len(run.vms))]
		go func() {
			if !v.Stop() {
				run.breakTimed("planned stop", v.Name+" did not end in time")
			}
			run.keep(v.Start())
		}()
		return nil, nil
	}},
	{"settings changed", vmFault(func(v *VM) { v.Signal(syscall.SIGHUP) }, nil)},
	{"vm's store link slow", storeLink(Slow)},
	{"vm's store link cut towards the store", storeLink(CutRequests)},
	{"vm's store link cut from the store", storeLink(CutAnswers)},
	{"vm's store link silent", storeLink(Silent)},
	{"vm's store link reset", vmFault(func(v *VM) { v.store.Reset() }, nil)},
	{"server's link slow", serverLink(Slow)},
	{"server's link cut towards it", serverLink(CutRequests)},
	{"server's link cut from it", serverLink(CutAnswers)},
	{"server's link silent", serverLink(Silent)},
	{"server's link reset", serverFault(func(_ *Run, m *member) error { m.proxy.Reset(); return nil })},
	{"server leaves", serverFault(func(run *Run, m *member) error {
		if err := run.fleet.leave(m); err != nil {
			return err
		}
		return run.fleet.add()
	})},
	{"server crashes", serverFault(func(run *Run, m *member) error {
		run.fleet.crash(m)
		return run.fleet.add()
	})},
	{"servers shed", fateFault(sitetest.Shed)},
	{"servers reset", fateFault(sitetest.Reset)},
	{"servers lose answers", fateFault(sitetest.LoseResponse)},
	{"servers cut answers", fateFault(sitetest.CutResponse)},
	{"servers fail", fateFault(sitetest.Fail)},
	{"store refuses", storeFault(storetest.Faults{Status: http.StatusServiceUnavailable})},
	{"store resets", storeFault(storetest.Faults{Reset: true})},
	{"store silent", storeFault(storetest.Faults{Silent: true})},
	{"store slow", storeFault(storetest.Faults{Delay: 300 * time.Millisecond})},
	{"store loses writes", storeFault(storetest.Faults{LoseWrites: 5})},
	{"store forgets its history", func(run *Run, _ *rand.Rand) (func(), error) { run.store.DiscardHistory(); return nil, nil }},
	{"configuration changes", func(run *Run, _ *rand.Rand) (func(), error) { return nil, run.configs.writeNext(run) }},
}

func restart(v *VM) {
	// The start fails only when the machine is out of resources; the run then ends
	// with calls that nobody serves.
	_ = v.Start()
}

// vmFault harms a VM drawn at random.
func vmFault(begin, end func(v *VM)) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, random *rand.Rand) (func(), error) {
		v := run.vms[random.IntN(len(run.vms))]
		v.trouble()
		begin(v)
		if end == nil {
			return nil, nil
		}
		return func() { end(v); v.trouble() }, nil
	}
}

func storeLink(state LinkState) func(*Run, *rand.Rand) (func(), error) {
	return vmFault(func(v *VM) { v.store.Set(state) }, func(v *VM) { v.store.Set(Sound) })
}

// serverFault harms a server drawn at random.
func serverFault(begin func(run *Run, m *member) error) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		m := run.fleet.pick()
		if m == nil {
			return nil, nil
		}
		return nil, begin(run, m)
	}
}

func serverLink(state LinkState) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		m := run.fleet.pick()
		if m == nil {
			return nil, nil
		}
		m.proxy.Set(state)
		return func() { m.proxy.Set(Sound) }, nil
	}
}

func fateFault(fate sitetest.Behavior) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		run.fleet.setRate(fate, fateRate)
		return func() { run.fleet.setRate(fate, 0) }, nil
	}
}

// storeFault harms the store for all VMs.
func storeFault(f storetest.Faults) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		run.troubleAll()
		run.store.SetFaults(f)
		return func() {
			run.store.SetFaults(storetest.Faults{})
			run.troubleAll()
		}, nil
	}
}

func (run *Run) troubleAll() {
	for _, v := range run.vms {
		v.trouble()
	}
}

// leastKinds is the smallest number of kinds that a run draws from.
const leastKinds = 3

// drawKinds draws the kinds of a run: with few of them, what they do to each other
// shows more clearly, and promises that ask for quiet elsewhere are put to the test.
func drawKinds(random *rand.Rand) []fault {
	kinds := slices.Clone(faults)
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds[:leastKinds+random.IntN(len(kinds)-leastKinds+1)]
}

// between draws a time.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
