package decisionbench

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/limit"
)

// limitedQueue and limitedConcurrency are the limits of one VM's service.
const (
	limitedQueue       = 64
	limitedConcurrency = 256
	maxConnections     = 8
)

// lookupDeadline is the deadline of start-board's lookups.
const lookupDeadline = 800 * time.Millisecond

// limited puts the limits of the product around a policy: an adaptive limit
// for each upstream and the admission that shares out their sum.
type limited struct {
	Policy
	sim      *Simulation
	vm       int
	adaptive []*limit.Adaptive
	admit    *limit.Admission
	tickets  map[*Call]*limit.Ticket
	waiting  map[*limit.Ticket]waitingCall
}

// waitingCall is a call in the queue with what its decision runs.
type waitingCall struct {
	call   *Call
	admit  func()
	refuse func(reason string)
}

// className is the only class of the bench.
const className = "calls"

// withLimits returns the configuration with the product's limits, hedges and
// retries around its policy.
func withLimits(config Config) Config {
	newPolicy := config.NewPolicy
	if newPolicy == nil {
		newPolicy = NewFigfront
	}
	config.NewPolicy = func(s *Simulation, vm int) Policy { return newLimited(s, vm, newPolicy(s, vm)) }
	config.NewAdmission = func(*Simulation, int) Admission { return limitedAdmission{} }
	config.Retry = true
	config.Hedge = true
	return config
}

func newLimited(s *Simulation, vm int, inner Policy) *limited {
	l := &limited{
		Policy: inner, sim: s, vm: vm,
		admit:   limit.NewAdmission(rand.New(rand.NewPCG(s.Config.Seed, uint64(5000+vm)))),
		tickets: make(map[*Call]*limit.Ticket),
		waiting: make(map[*limit.Ticket]waitingCall),
	}
	l.admit.SetClasses(s.Now(), []limit.Class{
		{Name: className, Concurrency: limitedConcurrency, Queue: limitedQueue},
	})
	for range s.Upstreams {
		l.adaptive = append(l.adaptive, limit.NewAdaptive(maxConnections))
	}
	l.changed()
	return l
}

// Pick chooses among the upstreams below their limit; a first send goes to a
// full one rather than nowhere.
func (l *limited) Pick(sends []*Send) (int, bool) {
	excluded := append([]*Send(nil), sends...)
	for i, a := range l.adaptive {
		if a.IsFull() {
			excluded = append(excluded, &Send{Upstream: i})
		}
	}
	upstream, ok := l.Policy.Pick(excluded)
	if ok || len(sends) > 0 {
		return upstream, ok
	}
	return l.Policy.Pick(sends)
}

func (l *limited) Sent(upstream int) {
	l.adaptive[upstream].Start()
	l.Policy.Sent(upstream)
}

func (l *limited) Done(upstream int, latency time.Duration, a answer) {
	l.Policy.Done(upstream, latency, a)
	l.sim.VMs[l.vm].budget.Answered(!a.failed && !a.shed)
	switch {
	case a.shed:
		l.adaptive[upstream].Shed(l.sim.Now())
	case a.failed:
		l.adaptive[upstream].Failed(l.sim.Now())
	default:
		l.adaptive[upstream].Answered(l.sim.Now(), latency, a.report.Queued)
	}
	l.changed()
}

func (l *limited) Cancelled(upstream int, latency time.Duration) {
	l.adaptive[upstream].Cancelled()
	l.Policy.Cancelled(upstream, latency)
}

// changed gives the sum of the limits to the admission.
func (l *limited) changed() {
	capacity := 0.0
	for _, a := range l.adaptive {
		capacity += a.Limit()
	}
	l.run(l.admit.SetCapacity(l.sim.Now(), int(math.Ceil(capacity))))
}

// run runs what waiting calls were decided to.
func (l *limited) run(decided []*limit.Ticket) {
	for _, ticket := range decided {
		w := l.waiting[ticket]
		delete(l.waiting, ticket)
		if ticket.IsRunning() {
			w.admit()
		} else {
			w.refuse("queue_deadline")
		}
	}
}

// limitedAdmission passes calls to the limits of their VM.
type limitedAdmission struct{}

func (limitedAdmission) Arrive(c *Call, admit func(), refuse func(reason string)) {
	l := c.VM.policy.(*limited)
	ticket, err := l.admit.Arrive(l.sim.Now(), className, epoch.Add(c.Deadline()))
	if err != nil {
		refuse(err.Error())
		return
	}
	l.tickets[c] = ticket
	if ticket.IsRunning() {
		admit()
		return
	}
	l.waiting[ticket] = waitingCall{call: c, admit: admit, refuse: refuse}
	l.sim.After(c.Deadline()-l.sim.Elapsed(), func() {
		if l.admit.Leave(ticket) {
			delete(l.waiting, ticket)
			refuse("queue_deadline")
		}
	})
}

func (limitedAdmission) Ended(c *Call) {
	l := c.VM.policy.(*limited)
	ticket := l.tickets[c]
	delete(l.tickets, c)
	l.run(l.admit.Done(l.sim.Now(), ticket, true))
}

// overloadRun is what an overload scenario counts beside the Result.
type overloadRun struct {
	*Result
	// lateRefusals counts the calls that were refused, by the VM or by the
	// upstreams, later than refusalLimit after their arrival.
	lateRefusals int
	// longestOver is the longest time past its deadline that a call ended.
	longestOver time.Duration
}

// refusalLimit is the time within which a call is refused.
const refusalLimit = time.Millisecond

// runOverload runs a configuration for each seed and counts late ends.
func runOverload(config Config) []*overloadRun {
	runs := make([]*overloadRun, len(seeds))
	var group sync.WaitGroup
	for i, seed := range seeds {
		group.Go(func() { runs[i] = runOverloadSeed(config, seed) })
	}
	group.Wait()
	return runs
}

func runOverloadSeed(config Config, seed uint64) *overloadRun {
	run := &overloadRun{}
	config.Seed = seed
	config.OnEnd = func(_ *Simulation, c *Call) {
		if !c.measured {
			return
		}
		isUnserved := c.End == Refused || c.End == Failed
		if isUnserved && c.Ended-c.Arrived > refusalLimit {
			run.lateRefusals++
		}
		run.longestOver = max(run.longestOver, c.Ended-c.Deadline())
	}
	run.Result = Run(config)
	return run
}

// Targets at 1.3 times the capacity.
const (
	overload      = 1.3
	goodputTarget = 0.95
	roundTrip     = 3 * time.Millisecond
)

// checkOverload runs a configuration at overload and checks the targets.
func checkOverload(t *testing.T, config Config) {
	t.Helper()
	var goodputs []float64
	for i, r := range runOverload(withLimits(config)) {
		goodputs = append(goodputs, r.Goodput/config.Capacity())
		t.Logf("seed %d: goodput %.3f of capacity, late %d, failed %d, refused %d of %d %v, p50 %.1f ms, p99 %.1f ms, sends/call %.3f",
			seeds[i], goodputs[i], r.Late, r.Failed, r.Refused, r.Calls, r.Refusals,
			r.Lookups.P(0.5), r.Lookups.P(0.99), r.SendsPerCall())
		if r.lateRefusals > 0 {
			t.Errorf("seed %d: %d calls refused later than %s", seeds[i], r.lateRefusals, refusalLimit)
		}
		if r.Late > 0 || r.longestOver > roundTrip {
			t.Errorf("seed %d: %d calls not answered by their deadline, one %s past it", seeds[i], r.Late, r.longestOver)
		}
	}
	if goodput := middle(goodputs); goodput < goodputTarget {
		t.Errorf("goodput is %.3f of the capacity, want %.2f", goodput, goodputTarget)
	}
}

func TestOverload(t *testing.T) {
	config := StartBoard(overload)
	config.Deadline = lookupDeadline
	checkOverload(t, config)
}

// TestOverloadWithShortUpstreamQueues has upstreams that refuse calls by
// themselves when four wait.
func TestOverloadWithShortUpstreamQueues(t *testing.T) {
	config := StartBoard(overload)
	config.Deadline = lookupDeadline
	config.QueueLimit = 4
	checkOverload(t, config)
}
