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
	"github.com/figfront/figfront/internal/telemetry"
)

// Behaviour of the upstreams of a fleet, after the users' services.
const (
	fleetSlots = 2
	// phaseTime is the time after which an upstream draws its speed anew;
	// slowShare of the phases are slowFactor times slower.
	phaseTime  = 500 * time.Millisecond
	slowShare  = 0.35
	slowFactor = 7.0
	// pairFactor is how much longer work takes while both slots are busy.
	pairFactor = 1.7
	// step is the resolution of work.
	step = time.Millisecond
	// oneWay is the time of a message between a VM and an upstream.
	oneWay = time.Millisecond
)

// fleet is the upstreams of one service on virtual time.
type fleet struct {
	upstreams map[string]*server
	list      []loadbalancer.Upstream

	mu   sync.Mutex
	asks int
}

// server is one upstream: it works on fleetSlots calls at once and lets others
// wait.
type server struct {
	seed  uint64
	began time.Time

	paceMu sync.Mutex
	// paces holds the slowness of each phase so far.
	paces []float64

	mu      sync.Mutex
	running int
	queue   []chan struct{}
	// most is the largest number of calls that waited.
	most int
	// coming counts the calls that the all-knowing baseline has sent and that have
	// not been answered.
	coming int
}

func newFleet(count int, seed uint64) *fleet {
	f := &fleet{upstreams: make(map[string]*server)}
	for i := range count {
		name := fmt.Sprintf("u%d", i)
		f.upstreams[name] = &server{seed: seed*1000 + uint64(i), began: time.Now()}
		f.list = append(f.list, loadbalancer.Upstream{
			Name: name, Address: name, Zone: string(rune('a' + i%4)), Slots: fleetSlots,
		})
	}
	return f
}

// slowness returns how much longer work takes at a server now.
func (s *server) slowness(now time.Time) float64 {
	phase := int(now.Sub(s.began) / phaseTime)
	s.paceMu.Lock()
	defer s.paceMu.Unlock()
	for len(s.paces) <= phase {
		pace := 1.0
		if rand.New(rand.NewPCG(s.seed, uint64(len(s.paces)))).Float64() < slowShare {
			pace = slowFactor
		}
		s.paces = append(s.paces, pace)
	}
	return s.paces[phase]
}

// run works on a call until it is done or ctx ends. It returns whether it was
// done.
func (s *server) run(ctx context.Context, work time.Duration) bool {
	if !s.enter(ctx) {
		return false
	}
	defer s.leave()
	left := float64(work)
	for left > 0 && ctx.Err() == nil {
		time.Sleep(step)
		s.mu.Lock()
		pace := s.slowness(time.Now())
		if s.running > 1 {
			pace *= pairFactor
		}
		s.mu.Unlock()
		left -= float64(step) / pace
	}
	return left <= 0
}

func (s *server) enter(ctx context.Context) bool {
	s.mu.Lock()
	if s.running < fleetSlots {
		s.running++
		s.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	s.most = max(s.most, len(s.queue))
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
	s.leaveLocked()
	return false
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveLocked()
}

func (s *server) leaveLocked() {
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return
	}
	s.running--
}

func (s *server) report() callheader.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return callheader.Report{Running: s.running, Queued: len(s.queue), Slowness: s.slowness(time.Now())}
}

// ask is a question to an upstream.
func (f *fleet) ask(_ context.Context, address string) (loadbalancer.ProbeResult, bool) {
	f.mu.Lock()
	f.asks++
	f.mu.Unlock()
	time.Sleep(2 * oneWay)
	return loadbalancer.ProbeResult{Healthy: true, HasReport: true, Report: f.upstreams[address].report()}, true
}

// asked returns the number of questions so far.
func (f *fleet) asked() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asks
}

// dispatcher returns a Dispatcher for the fleet.
func (f *fleet) dispatcher(vm string, seed uint64) *dispatch.Dispatcher {
	d := dispatch.NewDispatcher(dispatch.Options{
		VM: vm, Zone: "a", Ask: f.ask, AsksPerSecond: asksPerSecond, RetryShare: 0.1,
		Counters: telemetry.NewCounters(), Random: rand.New(rand.NewPCG(seed, 7)),
	})
	d.SetUpstreams(f.list)
	d.SetVMs(18)
	return d
}

// asksPerSecond is the limit on questions to one upstream.
const asksPerSecond = 60

// result is what became of one call.
type result struct {
	arrived time.Time
	took    time.Duration
	// isServed means that the call was answered before its deadline.
	isServed  bool
	isRefused bool
}

// load is calls that arrive at random at a rate.
type load struct {
	perSecond float64
	lasts     time.Duration
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	// priority is that of every call.
	priority int
	seed     uint64
}

// play sends the load through place and returns what became of each call.
func (f *fleet) play(l load, place func(ctx context.Context, r dispatch.Request) (dispatch.Grant, error)) []result {
	random := rand.New(rand.NewPCG(l.seed, 11))
	var mu sync.Mutex
	var results []result
	var calls sync.WaitGroup
	end := time.Now().Add(l.lasts)
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
		Zone: "a", Objective: arrived.Add(l.objective), Deadline: arrived.Add(l.deadline), Priority: l.priority,
	})
	if err != nil {
		return result{arrived: arrived, took: time.Since(arrived), isRefused: true}
	}
	sent := time.Now()
	time.Sleep(oneWay)
	isDone := f.upstreams[grant.Upstream].run(ctx, work)
	time.Sleep(oneWay)
	end := dispatch.End{IsCancelled: !isDone}
	end.Latency = time.Since(sent)
	grant.End(end)
	return result{arrived: arrived, took: time.Since(arrived), isServed: isDone}
}

// share returns the share of results for which is holds.
func share(results []result, is func(result) bool) float64 {
	count := 0
	for _, r := range results {
		if is(r) {
			count++
		}
	}
	return float64(count) / float64(len(results))
}
