package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
)

const (
	// workStep is the time resolution of the simulated work.
	workStep = time.Millisecond
	// oneWayLatency is the time of a message between a VM and an upstream.
	oneWayLatency = time.Millisecond
)

// serverModel describes the upstreams of a simulated service.
type serverModel struct {
	// slots is the number of calls that an upstream runs at once.
	slots int
	// fullFactor is how much longer work takes while all slots are occupied.
	fullFactor float64
	// phaseLength is the time after which an upstream draws a new speed.
	// slowShare is the share of phases that are slower by slowFactor.
	phaseLength time.Duration
	slowShare   float64
	slowFactor  float64
	// isSpeedKept means that a call runs at the speed of its start to its end.
	isSpeedKept bool
	// reportsNothing means that answers carry no load report.
	reportsNothing bool
	// coldFor is the time after the start of an upstream during which it is slower
	// by coldFactor.
	coldFor    time.Duration
	coldFactor float64
}

// Models of the users' services.
var (
	// pairServers run two calls at once, whose speed changes while they run.
	pairServers = serverModel{slots: 2, fullFactor: 1.7, phaseLength: 500 * time.Millisecond, slowShare: 0.35, slowFactor: 7}
	// keptDesk and keptPair are servers of four and two slots at which a call
	// keeps the speed of its start.
	keptDesk = serverModel{slots: 4, fullFactor: 1.7, phaseLength: 400 * time.Millisecond, slowShare: 0.25, slowFactor: 4, isSpeedKept: true}
	keptPair = serverModel{slots: 2, fullFactor: 1.7, phaseLength: 500 * time.Millisecond, slowShare: 0.35, slowFactor: 7, isSpeedKept: true}
)

// stretch returns how much longer work takes while an upstream runs a number of
// calls.
func (m serverModel) stretch(calls int) float64 {
	if calls >= m.slots {
		return m.fullFactor
	}
	return 1
}

// bestConcurrency returns the number of calls at which an upstream does the most
// work.
func (m serverModel) bestConcurrency() int {
	if float64(m.slots)/m.fullFactor > float64(m.slots-1) {
		return m.slots
	}
	return m.slots - 1
}

// fleet simulates the upstreams of one service in virtual time.
type fleet struct {
	model     serverModel
	upstreams map[string]*simUpstream
	list      []loadbalancer.Upstream

	mu     sync.Mutex
	probes int
}

// simUpstream simulates one upstream. It queues the calls for which no slot is
// free.
type simUpstream struct {
	model serverModel
	seed  uint64
	began time.Time

	slowdownMu sync.Mutex
	// slowdowns holds the slowness of each phase so far.
	slowdowns []float64

	mu      sync.Mutex
	running int
	queue   []chan struct{}
	// maxQueued is the largest number of calls that were queued at once.
	maxQueued int
	// oracleSends is the number of sends of the oracle policy that have not
	// ended.
	oracleSends int
}

func newFleet(model serverModel, count int, seed uint64) *fleet {
	f := &fleet{model: model, upstreams: make(map[string]*simUpstream)}
	for i := range count {
		name := fmt.Sprintf("u%d", i)
		f.upstreams[name] = &simUpstream{model: model, seed: seed*1000 + uint64(i), began: time.Now()}
		f.list = append(f.list, loadbalancer.Upstream{
			Name: name, Address: name, Zone: string(rune('a' + i%4)), Slots: model.slots,
		})
	}
	return f
}

// slowness returns how much longer work takes at the given time.
func (s *simUpstream) slowness(now time.Time) float64 {
	phase := int(now.Sub(s.began) / s.model.phaseLength)
	s.slowdownMu.Lock()
	defer s.slowdownMu.Unlock()
	for len(s.slowdowns) <= phase {
		slowdown := 1.0
		if rand.New(rand.NewPCG(s.seed, uint64(len(s.slowdowns)))).Float64() < s.model.slowShare {
			slowdown = s.model.slowFactor
		}
		s.slowdowns = append(s.slowdowns, slowdown)
	}
	if now.Sub(s.began) < s.model.coldFor {
		return s.slowdowns[phase] * s.model.coldFactor
	}
	return s.slowdowns[phase]
}

// run serves a call. It returns false when ctx ends before the work is done.
func (s *simUpstream) run(ctx context.Context, work time.Duration) bool {
	if !s.acquireSlot(ctx) {
		return false
	}
	defer s.releaseSlot()
	if s.model.isSpeedKept {
		return sleep(ctx, time.Duration(float64(work)*s.slowdown()))
	}
	left := float64(work)
	for left > 0 && ctx.Err() == nil {
		time.Sleep(workStep)
		left -= float64(workStep) / s.slowdown()
	}
	return left <= 0
}

// slowdown returns how much longer work takes now.
func (s *simUpstream) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowness(time.Now()) * s.model.stretch(s.running)
}

// sleep waits for a duration. It returns false when ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireSlot waits in the queue for a slot. It returns false when ctx ends first.
func (s *simUpstream) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	if s.running < s.model.slots {
		s.running++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	s.maxQueued = max(s.maxQueued, len(s.queue))
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.queue {
		if other == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return false
		}
	}
	s.releaseSlotLocked()
	return false
}

func (s *simUpstream) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseSlotLocked()
}

func (s *simUpstream) releaseSlotLocked() {
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return
	}
	s.running--
}

func (s *simUpstream) report() callheader.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return callheader.Report{Running: s.running, Queued: len(s.queue), Slowness: s.slowness(time.Now())}
}

// probe answers a probe of an upstream.
func (f *fleet) probe(_ context.Context, address string) (loadbalancer.ProbeResult, bool) {
	f.mu.Lock()
	f.probes++
	f.mu.Unlock()
	time.Sleep(2 * oneWayLatency)
	if f.model.reportsNothing {
		return loadbalancer.ProbeResult{IsHealthy: true}, true
	}
	return loadbalancer.ProbeResult{IsHealthy: true, HasReport: true, Report: f.upstreams[address].report()}, true
}

// probeCount returns the number of probes so far.
func (f *fleet) probeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

// dispatcher returns a Dispatcher for the fleet.
func (f *fleet) dispatcher(vm string, seed uint64) *dispatch.Dispatcher {
	return f.dispatcherWith(vm, seed, func(*dispatch.Options) {})
}

// dispatcherWith returns a Dispatcher whose options are changed by configure.
func (f *fleet) dispatcherWith(vm string, seed uint64, configure func(*dispatch.Options)) *dispatch.Dispatcher {
	options := dispatch.Options{
		VM: vm, Zone: "a", Probe: f.probe, ProbesPerUpstream: probesPerSecond, RetryLimits: retry.Limits{Share: 0.1},
		Counters: telemetry.NewCounters(), Random: rand.New(rand.NewPCG(seed, 7)),
	}
	configure(&options)
	d := dispatch.NewDispatcher(options)
	d.SetUpstreams(f.list)
	d.SetLiveVMs(18)
	return d
}

// probesPerSecond is the limit on probes of one upstream, and
// maxPeriodicProbesPerSecond that on periodic ones.
const (
	probesPerSecond            = 60
	maxPeriodicProbesPerSecond = probesPerSecond / 2
)

// result is the outcome of one call.
type result struct {
	arrived time.Time
	took    time.Duration
	// placed is the time from the arrival until the call was sent.
	placed time.Duration
	// isServed means that the call was answered before its deadline.
	isServed  bool
	isRefused bool
}

// load describes calls that arrive at random with a mean rate.
type load struct {
	perSecond float64
	duration  time.Duration
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	// priority is the priority of every call.
	priority int
	// isBooking means that no call may be sent twice.
	isBooking bool
	seed      uint64
}

// run sends the load through place and returns the outcome of each call.
func (f *fleet) run(l load, place func(ctx context.Context, r dispatch.Request) (dispatch.Grant, error)) []result {
	random := rand.New(rand.NewPCG(l.seed, 11))
	var mu sync.Mutex
	var results []result
	var calls sync.WaitGroup
	end := time.Now().Add(l.duration)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
		work := time.Duration((0.7 + 0.6*random.Float64()) * float64(l.work))
		calls.Go(func() {
			r := f.serve(l, work, place)
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	calls.Wait()
	return results
}

// serve runs one call.
func (f *fleet) serve(
	l load, work time.Duration, place func(context.Context, dispatch.Request) (dispatch.Grant, error),
) result {
	arrived := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.deadline)
	defer cancel()
	grant, err := place(ctx, dispatch.Request{
		Zone: "a", Objective: arrived.Add(l.objective), Deadline: arrived.Add(l.deadline), Priority: l.priority, NoTrial: l.isBooking,
	})
	if err != nil {
		return result{arrived: arrived, took: time.Since(arrived), isRefused: true}
	}
	sent := time.Now()
	time.Sleep(oneWayLatency)
	isDone := f.upstreams[grant.Upstream].run(ctx, work)
	time.Sleep(oneWayLatency)
	end := dispatch.End{IsCancelled: !isDone}
	end.Latency = time.Since(sent)
	grant.End(end)
	return result{arrived: arrived, took: time.Since(arrived), placed: sent.Sub(arrived), isServed: isDone}
}

// share returns the share of results for which matches returns true.
func share(results []result, matches func(result) bool) float64 {
	count := 0
	for _, r := range results {
		if matches(r) {
			count++
		}
	}
	return float64(count) / float64(len(results))
}
