package decisionbench

import (
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/limit"
)

// Limits of the service on one VM, and of the connections from one VM to one
// upstream.
const (
	queueLimit       = 64
	concurrencyLimit = 256
	maxConnections   = 8
)

// lookupDeadline is the deadline of start-board's lookups, counted from their
// arrival.
const lookupDeadline = 800 * time.Millisecond

// limitedPolicy wraps a policy with figfront's limits: an adaptive limit for each
// upstream, and admission control whose capacity is the sum of these limits.
type limitedPolicy struct {
	Policy
	sim       *Simulation
	vm        int
	adaptive  []*limit.Adaptive
	admission *limit.Admission
	tickets   map[*Call]*limit.Ticket
	waiting   map[*limit.Ticket]queuedCall
}

// queuedCall is a call in the queue with the functions to call when it is
// admitted or refused.
type queuedCall struct {
	call   *Call
	admit  func()
	refuse func(reason string)
}

// className is the name of the only limit.Class in the simulation.
const className = "calls"

// withLimits returns a copy of the configuration with figfront's limits around
// its policy, and with hedges and retries.
func withLimits(config Config) Config {
	newPolicy := config.NewPolicy
	if newPolicy == nil {
		newPolicy = NewFigfront
	}
	config.NewPolicy = func(s *Simulation, vm int) Policy { return newLimitedPolicy(s, vm, newPolicy(s, vm)) }
	config.NewAdmission = func(*Simulation, int) Admission { return limitedAdmission{} }
	config.Retry = true
	config.Hedge = true
	return config
}

func newLimitedPolicy(s *Simulation, vm int, inner Policy) *limitedPolicy {
	l := &limitedPolicy{
		Policy: inner, sim: s, vm: vm,
		admission: limit.NewAdmission(rand.New(rand.NewPCG(s.Config.Seed, uint64(5000+vm)))),
		tickets:   make(map[*Call]*limit.Ticket),
		waiting:   make(map[*limit.Ticket]queuedCall),
	}
	l.admission.SetClasses(s.Now(), []limit.Class{
		{Name: className, Concurrency: concurrencyLimit, Queue: queueLimit},
	})
	for range s.Upstreams {
		l.adaptive = append(l.adaptive, limit.NewAdaptive(maxConnections))
	}
	l.updateCapacity()
	return l
}

// Pick chooses among the upstreams that are below their limit. If there is none,
// a first send goes to a full upstream, but a hedge or a retry is not sent.
func (l *limitedPolicy) Pick(sends []*Send) (int, bool) {
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

func (l *limitedPolicy) Sent(upstream int) {
	l.adaptive[upstream].Start()
	l.Policy.Sent(upstream)
}

func (l *limitedPolicy) Done(upstream int, latency time.Duration, resp response) {
	l.Policy.Done(upstream, latency, resp)
	l.sim.VMs[l.vm].budget.RecordResult(!resp.failed && !resp.shed)
	switch {
	case resp.shed:
		l.adaptive[upstream].Shed(l.sim.Now())
	case resp.failed:
		l.adaptive[upstream].Failed(l.sim.Now())
	default:
		l.adaptive[upstream].Answered(l.sim.Now(), latency, resp.report.Queued)
	}
	l.updateCapacity()
}

func (l *limitedPolicy) Cancelled(upstream int, latency time.Duration) {
	l.adaptive[upstream].Cancelled()
	l.Policy.Cancelled(upstream, latency)
}

// updateCapacity sets the capacity of the admission control to the sum of the
// adaptive limits.
func (l *limitedPolicy) updateCapacity() {
	capacity := 0.0
	for _, a := range l.adaptive {
		capacity += a.Limit()
	}
	l.resolve(l.admission.SetCapacity(l.sim.Now(), int(math.Ceil(capacity))))
}

// resolve admits or refuses the queued calls whose tickets were decided.
func (l *limitedPolicy) resolve(decided []*limit.Ticket) {
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

// limitedAdmission is the Admission of a VM with a limitedPolicy.
type limitedAdmission struct{}

func (limitedAdmission) Arrive(c *Call, admit func(), refuse func(reason string)) {
	l := c.VM.policy.(*limitedPolicy)
	ticket, err := l.admission.Arrive(l.sim.Now(), className, epoch.Add(c.Deadline()))
	if err != nil {
		refuse(err.Error())
		return
	}
	l.tickets[c] = ticket
	if ticket.IsRunning() {
		admit()
		return
	}
	l.waiting[ticket] = queuedCall{call: c, admit: admit, refuse: refuse}
	l.sim.After(c.Deadline()-l.sim.Elapsed(), func() {
		if l.admission.Cancel(ticket) {
			delete(l.waiting, ticket)
			refuse("queue_deadline")
		}
	})
}

func (limitedAdmission) Ended(c *Call) {
	l := c.VM.policy.(*limitedPolicy)
	ticket := l.tickets[c]
	delete(l.tickets, c)
	l.resolve(l.admission.Done(l.sim.Now(), ticket, true))
}

// overloadRun holds the Result of an overload scenario and additional counts.
type overloadRun struct {
	*Result
	// lateRefusals counts the calls that were refused or failed later than
	// maxRefusalDelay after their arrival.
	lateRefusals int
	// maxDeadlineOverrun is the longest time past its deadline at which a call
	// ended.
	maxDeadlineOverrun time.Duration
}

// maxRefusalDelay is the maximum time from the arrival of a call to its refusal.
const maxRefusalDelay = time.Millisecond

// runOverload runs a configuration once for each seed, in parallel.
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
		if isUnserved && c.Ended-c.Arrived > maxRefusalDelay {
			run.lateRefusals++
		}
		run.maxDeadlineOverrun = max(run.maxDeadlineOverrun, c.Ended-c.Deadline())
	}
	run.Result = Run(config)
	return run
}

// Parameters and targets of the overload scenarios. goodputTarget is a fraction
// of the capacity; roundTrip is the time by which a call may end past its
// deadline.
const (
	overloadFactor = 1.3
	goodputTarget  = 0.95
	roundTrip      = 3 * time.Millisecond
)

// checkOverload runs a configuration for all seeds and checks that the goodput
// reaches goodputTarget, that calls are refused within maxRefusalDelay, and that
// none times out or ends later than roundTrip after its deadline.
func checkOverload(t *testing.T, config Config) {
	t.Helper()
	var goodputs []float64
	for i, r := range runOverload(withLimits(config)) {
		goodputs = append(goodputs, r.Goodput/config.Capacity())
		t.Logf("seed %d: goodput %.3f of capacity, timed out %d, failed %d, refused %d of %d %v, p50 %.1f ms, p99 %.1f ms, sends/call %.3f",
			seeds[i], goodputs[i], r.TimedOut, r.Failed, r.Refused, r.Calls, r.Refusals,
			r.Lookups.QuantileMs(0.5), r.Lookups.QuantileMs(0.99), r.SendsPerCall())
		if r.lateRefusals > 0 {
			t.Errorf("seed %d: %d calls refused later than %s", seeds[i], r.lateRefusals, maxRefusalDelay)
		}
		if r.TimedOut > 0 || r.maxDeadlineOverrun > roundTrip {
			t.Errorf("seed %d: %d calls timed out, at most %s after their deadline", seeds[i], r.TimedOut, r.maxDeadlineOverrun)
		}
	}
	if goodput := median(goodputs); goodput < goodputTarget {
		t.Errorf("goodput is %.3f of the capacity, want at least %.2f", goodput, goodputTarget)
	}
}

// TestOverload offers start-board 1.3 times its capacity.
func TestOverload(t *testing.T) {
	config := StartBoard(overloadFactor)
	config.Deadline = lookupDeadline
	checkOverload(t, config)
}

// TestOverloadWithShortUpstreamQueues offers 1.3 times the capacity to upstreams
// that refuse calls while four are waiting.
func TestOverloadWithShortUpstreamQueues(t *testing.T) {
	config := StartBoard(overloadFactor)
	config.Deadline = lookupDeadline
	config.QueueLimit = 4
	checkOverload(t, config)
}
