package decisionbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figfront/figfront/internal/hedge"
	"github.com/figfront/figfront/internal/retry"
)

// maxSends is the maximum number of sends of one call.
const maxSends = 3

// Admission is the admission control of one VM. Arrive calls exactly one of admit
// and refuse, immediately or later. Ended is called when an admitted call ends.
type Admission interface {
	Arrive(c *Call, admit func(), refuse func(reason string))
	Ended(c *Call)
}

// VM models one VM: it applies figfront's decisions to the calls that arrive
// there.
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

// Call is the state of one call at a VM.
type Call struct {
	VM        *VM
	IsBooking bool
	Arrived   time.Duration
	// End states how the call ended.
	End      EndState
	Ended    time.Duration
	deadline time.Duration
	sends    []*Send
	done     bool
	measured bool
}

// Deadline returns the deadline of the call, as time since the start of the
// simulation.
func (c *Call) Deadline() time.Duration { return c.deadline }

// EndState states how a call ended.
type EndState int

// The end states of a call; Pending means that it has not ended.
const (
	Pending EndState = iota
	OK
	Failed
	TimedOut
	Refused
)

// SendKind states why a send was made.
type SendKind int

// The kinds of sends.
const (
	First SendKind = iota
	Hedge
	Retry
)

// Send is one send of a call to an upstream.
type Send struct {
	Kind     SendKind
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

// arrive handles the arrival of a call.
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
		vm.finish(c, Refused)
	})
}

func (vm *VM) admit(c *Call) {
	vm.sim.After(c.deadline-vm.sim.Elapsed(), func() { vm.expire(c) })
	vm.budget.FirstSend(vm.sim.Now())
	if f, ok := vm.policy.(*figfront); ok && c.IsBooking && vm.sim.Config.BookingProbes > 0 {
		vm.probeThen(f.Candidates(nil, vm.sim.Config.BookingProbes), func() { vm.start(c) })
		return
	}
	vm.start(c)
}

// probeThen probes the candidates and calls then when all have responded, or
// after bookingProbeTimeout.
func (vm *VM) probeThen(candidates []int, then func()) {
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

// bookingProbeTimeout is the maximum time that a booking or a hedge waits for its
// probes.
const bookingProbeTimeout = 4 * time.Millisecond

func (vm *VM) start(c *Call) {
	if !vm.send(c, First) {
		vm.finish(c, Failed)
		return
	}
	vm.scheduleHedge(c)
}

// send sends a call to the upstream that the policy chooses. It returns false if
// the policy finds none.
func (vm *VM) send(c *Call, kind SendKind) bool {
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

// scheduleHedge schedules a hedge for a lookup whose response does not come
// within the hedging delay.
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

// hedge sends a call a second time if the budget allows it, after
// Config.HedgeProbes probes.
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
	vm.probeThen(f.Candidates(c.sends, vm.sim.Config.HedgeProbes), send)
}

// handleResponse handles the response of an upstream to a send.
func (vm *VM) handleResponse(sent *Send, resp response) {
	if sent.ended {
		return
	}
	sent.ended = true
	latency := vm.sim.Elapsed() - sent.started
	vm.policy.Done(sent.Upstream, latency, resp)
	if sent.Kind == First && !resp.failed && !resp.shed {
		vm.hedger.Observe(latency)
	}
	c := sent.call
	if c.done {
		return
	}
	if !resp.failed && !resp.shed {
		if sent.Kind == Hedge && c.measured {
			vm.sim.Result.HedgeWins++
		}
		vm.finish(c, OK)
		return
	}
	if vm.retry(c, resp) {
		return
	}
	for _, other := range c.sends {
		if !other.ended {
			return
		}
	}
	vm.finish(c, Failed)
}

// retry sends a call again if that is safe and the budget allows it. It reports
// whether the call was sent.
func (vm *VM) retry(c *Call, resp response) bool {
	isSafe := resp.shed || !c.IsBooking
	if !vm.sim.Config.Retry || !isSafe || len(c.sends) >= maxSends {
		return false
	}
	return vm.budget.Take(vm.sim.Now()) && vm.send(c, Retry)
}

// expire ends a call at its deadline and cancels its sends.
func (vm *VM) expire(c *Call) {
	if c.done {
		return
	}
	for _, sent := range c.sends {
		if !sent.ended {
			sent.ended = true
			vm.policy.Done(sent.Upstream, vm.sim.Elapsed()-sent.started, response{failed: true, timedOut: true})
			vm.cancel(sent)
		}
	}
	vm.finish(c, TimedOut)
}

// finish ends a call and cancels the sends that are still in flight.
func (vm *VM) finish(c *Call, end EndState) {
	c.done = true
	c.End = end
	c.Ended = vm.sim.Elapsed()
	for _, sent := range c.sends {
		if !sent.ended {
			vm.abandon(sent)
		}
	}
	if vm.admission != nil && end != Refused {
		vm.admission.Ended(c)
	}
	if vm.sim.Config.OnEnd != nil {
		vm.sim.Config.OnEnd(vm.sim, c)
	}
	if c.measured {
		vm.recordCall(c)
	}
}

// abandon cancels a send that lost against another send of the same call.
func (vm *VM) abandon(sent *Send) {
	sent.ended = true
	if sent.Kind == First {
		vm.hedger.Observe(vm.sim.Elapsed() - sent.started)
	}
	vm.policy.Cancelled(sent.Upstream, vm.sim.Elapsed()-sent.started)
	vm.cancel(sent)
}

// cancel sends the cancellation of a send to the upstream.
func (vm *VM) cancel(sent *Send) {
	sent.cancelled = true
	u := vm.sim.Upstreams[sent.Upstream]
	vm.sim.After(vm.sim.oneWay(vm.zone, u.Zone), func() { u.cancel(sent) })
}

func (vm *VM) recordCall(c *Call) {
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
	case TimedOut:
		r.TimedOut++
	case Refused:
		r.Refused++
	}
}

// scheduleProbe sends periodic probes at Config.ProbeRate, each to a random
// upstream.
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

// probe probes one upstream, passes the response to the policy and calls done.
// done is not called if the upstream is silent.
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
		resp := u.probeResponse()
		s.After(oneWay, func() {
			vm.policy.Probed(upstream, sent, resp)
			done()
		})
	})
}
