package decisionbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figfront/figfront/internal/hedge"
	"github.com/figfront/figfront/internal/retry"
)

// maxSends is the number of sends that one call may take.
const maxSends = 3

// Admission limits the calls of one VM. Arrive calls exactly one of admit and
// refuse, at once or later; Ended follows each admit when the call ends.
type Admission interface {
	Arrive(c *Call, admit func(), refuse func(reason string))
	Ended(c *Call)
}

// VM drives figfront's decisions for the calls that reach it.
type VM struct {
	Name      string
	zone      int
	sim       *Simulation
	policy    Policy
	budget    *retry.Budget
	hedger    *hedge.Trigger
	admission Admission
	random    *rand.Rand
}

// Call is one call at a VM.
type Call struct {
	VM        *VM
	IsBooking bool
	Arrived   time.Duration
	// End tells how the call ended.
	End      End
	Ended    time.Duration
	deadline time.Duration
	sends    []*Send
	done     bool
	measured bool
}

// Deadline returns the time since the start until which an answer is of use.
func (c *Call) Deadline() time.Duration { return c.deadline }

// End is how a call ended.
type End int

// The ends of a call.
const (
	Pending End = iota
	OK
	Failed
	Late
	Refused
)

// Kind is why a send was made.
type Kind int

// The kinds of sends.
const (
	First Kind = iota
	Hedge
	Retry
)

// Send is one send of a call to an upstream.
type Send struct {
	Kind     Kind
	Upstream int

	call      *Call
	vm        *VM
	started   time.Duration
	cancelled bool
	ended     bool
	running   bool
}

func newVM(s *Simulation, index int) *VM {
	vm := &VM{
		Name:   fmt.Sprintf("vm%d", index),
		zone:   index % s.Config.Zones,
		sim:    s,
		budget: retry.NewBudget(s.Config.RetryShare),
		hedger: hedge.NewTrigger(hedge.Options{}),
		random: rand.New(rand.NewPCG(s.Config.Seed, uint64(2000+index))),
	}
	newPolicy := s.Config.NewPolicy
	if newPolicy == nil {
		newPolicy = NewFigfront
	}
	vm.policy = newPolicy(s, index)
	if s.Config.NewAdmission != nil {
		vm.admission = s.Config.NewAdmission(s, index)
	}
	vm.scheduleProbe()
	return vm
}

// arrive takes a new call.
func (vm *VM) arrive(isBooking bool) {
	now := vm.sim.Elapsed()
	c := &Call{
		VM: vm, IsBooking: isBooking, Arrived: now,
		deadline: now + vm.sim.Config.Deadline, measured: vm.sim.IsMeasured(),
	}
	if vm.admission == nil {
		vm.admit(c)
		return
	}
	vm.admission.Arrive(c, func() { vm.admit(c) }, func(reason string) {
		if c.measured {
			vm.sim.Result.Refusals[reason]++
		}
		vm.end(c, Refused)
	})
}

func (vm *VM) admit(c *Call) {
	vm.sim.After(c.deadline-vm.sim.Elapsed(), func() { vm.expire(c) })
	vm.budget.FirstSend(vm.sim.Now())
	if f, ok := vm.policy.(*figfront); ok && c.IsBooking && vm.sim.Config.BookingProbes > 0 {
		vm.probeFirst(f.Candidates(nil, vm.sim.Config.BookingProbes), func() { vm.start(c) })
		return
	}
	vm.start(c)
}

// probeFirst asks the candidates for their load and sends the call when all
// have answered, or after the timeout.
func (vm *VM) probeFirst(candidates []int, then func()) {
	left := len(candidates)
	started := false
	start := func() {
		if !started {
			started = true
			then()
		}
	}
	for _, i := range candidates {
		vm.probe(i, func() {
			if left--; left == 0 {
				start()
			}
		})
	}
	vm.sim.After(bookingProbeTimeout, start)
}

// bookingProbeTimeout is the time that a booking waits for its probes.
const bookingProbeTimeout = 4 * time.Millisecond

func (vm *VM) start(c *Call) {
	if !vm.send(c, First) {
		vm.end(c, Failed)
		return
	}
	vm.scheduleHedge(c)
}

// send sends a call to the upstream that the policy chooses. It returns false
// when there is none.
func (vm *VM) send(c *Call, kind Kind) bool {
	s := vm.sim
	upstream, ok := vm.policy.Pick(c.sends)
	if !ok {
		return false
	}
	sent := &Send{Kind: kind, Upstream: upstream, call: c, vm: vm, started: s.Elapsed()}
	c.sends = append(c.sends, sent)
	vm.policy.Sent(upstream)
	if s.Config.OnSend != nil {
		s.Config.OnSend(s, sent)
	}
	u := s.Upstreams[upstream]
	u.inbound++
	s.After(s.oneWay(vm.zone, u.Zone), func() { u.receive(sent) })
	return true
}

// scheduleHedge sends a lookup a second time when its answer is late.
func (vm *VM) scheduleHedge(c *Call) {
	if !vm.sim.Config.Hedge || c.IsBooking {
		return
	}
	delay, ok := vm.hedger.Delay()
	if !ok {
		return
	}
	vm.sim.After(delay, func() {
		if !c.done && len(c.sends) == 1 {
			vm.hedge(c)
		}
	})
}

// hedge pays for a second send, asks an upstream for its load if so configured,
// and sends.
func (vm *VM) hedge(c *Call) {
	if !vm.budget.Take(vm.sim.Now()) {
		return
	}
	send := func() {
		if !c.done && len(c.sends) == 1 {
			vm.send(c, Hedge)
		}
	}
	f, ok := vm.policy.(*figfront)
	if !ok || vm.sim.Config.HedgeProbes == 0 {
		send()
		return
	}
	vm.probeFirst(f.Candidates(c.sends, vm.sim.Config.HedgeProbes), send)
}

// answered handles an upstream's answer.
func (vm *VM) answered(sent *Send, a answer) {
	if sent.ended {
		return
	}
	sent.ended = true
	latency := vm.sim.Elapsed() - sent.started
	vm.policy.Done(sent.Upstream, latency, a)
	if sent.Kind == First && !a.failed && !a.shed {
		vm.hedger.Observe(latency)
	}
	c := sent.call
	if c.done {
		return
	}
	if !a.failed && !a.shed {
		if sent.Kind == Hedge && c.measured {
			vm.sim.Result.HedgeWins++
		}
		vm.end(c, OK)
		return
	}
	if vm.retry(c, a) {
		return
	}
	for _, other := range c.sends {
		if !other.ended {
			return
		}
	}
	vm.end(c, Failed)
}

// retry sends a call again when that is safe and the budget allows.
func (vm *VM) retry(c *Call, a answer) bool {
	isSafe := a.shed || !c.IsBooking
	if !vm.sim.Config.Retry || !isSafe || len(c.sends) >= maxSends {
		return false
	}
	return vm.budget.Take(vm.sim.Now()) && vm.send(c, Retry)
}

// expire ends a call at its deadline.
func (vm *VM) expire(c *Call) {
	if c.done {
		return
	}
	for _, sent := range c.sends {
		if !sent.ended {
			sent.ended = true
			vm.policy.Done(sent.Upstream, vm.sim.Elapsed()-sent.started, answer{failed: true, lost: true})
			vm.cancel(sent)
		}
	}
	vm.end(c, Late)
}

// end ends a call and cancels its other sends.
func (vm *VM) end(c *Call, end End) {
	c.done = true
	c.End = end
	c.Ended = vm.sim.Elapsed()
	for _, sent := range c.sends {
		if !sent.ended {
			vm.giveUp(sent)
		}
	}
	if vm.admission != nil && end != Refused {
		vm.admission.Ended(c)
	}
	if vm.sim.Config.OnEnd != nil {
		vm.sim.Config.OnEnd(vm.sim, c)
	}
	if c.measured {
		vm.measure(c)
	}
}

// giveUp cancels the loser of a hedge.
func (vm *VM) giveUp(sent *Send) {
	sent.ended = true
	if sent.Kind == First {
		vm.hedger.Observe(vm.sim.Elapsed() - sent.started)
	}
	vm.policy.Cancelled(sent.Upstream, vm.sim.Elapsed()-sent.started)
	vm.cancel(sent)
}

// cancel tells the upstream that a send is given up.
func (vm *VM) cancel(sent *Send) {
	sent.cancelled = true
	u := vm.sim.Upstreams[sent.Upstream]
	vm.sim.After(vm.sim.oneWay(vm.zone, u.Zone), func() { u.cancel(sent) })
}

func (vm *VM) measure(c *Call) {
	r := vm.sim.Result
	r.Calls++
	for _, sent := range c.sends {
		r.countSend(sent)
	}
	switch c.End {
	case OK:
		r.OK++
		latencies := r.Lookups
		if c.IsBooking {
			latencies = r.Bookings
		}
		latencies.record(c.Ended - c.Arrived)
	case Failed:
		r.Failed++
	case Late:
		r.Late++
	case Refused:
		r.Refused++
	}
}

// scheduleProbe sends probes at the configured rate, each to a random upstream.
func (vm *VM) scheduleProbe() {
	s := vm.sim
	if s.Config.ProbeRate <= 0 {
		return
	}
	s.After(time.Duration(float64(time.Second)/s.Config.ProbeRate), func() {
		vm.probe(vm.random.IntN(s.Config.Upstreams), func() {})
		vm.scheduleProbe()
	})
}

// probe asks one upstream for its load and tells the policy.
func (vm *VM) probe(upstream int, done func()) {
	s := vm.sim
	if s.IsMeasured() {
		s.Result.Probes++
	}
	u := s.Upstreams[upstream]
	oneWay := s.oneWay(vm.zone, u.Zone)
	sent := s.Now()
	s.After(oneWay, func() {
		if u.Behaviour.Silent {
			return
		}
		a := u.probeView()
		s.After(oneWay, func() {
			vm.policy.Probed(upstream, sent, a)
			done()
		})
	})
}
