package decisionbench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// Upstream models one upstream: a FIFO queue and a number of slots.
type Upstream struct {
	Behaviour Behaviour
	Name      string
	Zone      int

	sim     *Simulation
	random  *rand.Rand
	running int
	queue   []*Send
	// inbound is the number of sends in transit to the upstream.
	inbound int
	// slowStarts holds the start times of the slow phases generated so far, in
	// order.
	slowStarts []time.Duration
	// drainSince is the time at which Draining was set.
	drainSince time.Duration
	// Ran counts the sends that ran to completion.
	Ran int
	// ProbesSeen counts the received probes.
	ProbesSeen int
}

func newUpstream(s *Simulation, index int) *Upstream {
	return &Upstream{
		Name:   fmt.Sprintf("u%d", index),
		Zone:   index % s.Config.Zones,
		sim:    s,
		random: rand.New(rand.NewPCG(s.Config.Seed, uint64(1000+index))),
	}
}

// slowPhase reports whether the upstream is in a slow phase at the given time,
// and returns the time until which that does not change.
func (u *Upstream) slowPhase(at time.Duration) (bool, time.Duration) {
	c := u.sim.Config
	if c.SlowEvery == 0 {
		return false, 1 << 62
	}
	for len(u.slowStarts) == 0 || u.slowStarts[len(u.slowStarts)-1] <= at {
		last := -c.SlowLength
		if len(u.slowStarts) > 0 {
			last = u.slowStarts[len(u.slowStarts)-1]
		}
		gap := float64(c.SlowEvery-c.SlowLength) * u.random.ExpFloat64()
		u.slowStarts = append(u.slowStarts, last+c.SlowLength+time.Duration(gap))
	}
	next := sort.Search(len(u.slowStarts), func(i int) bool { return u.slowStarts[i] > at })
	if next > 0 && at < u.slowStarts[next-1]+c.SlowLength {
		return true, u.slowStarts[next-1] + c.SlowLength
	}
	return false, u.slowStarts[next]
}

// serviceTimeFactor returns the factor of the service time of a call that starts
// now.
func (u *Upstream) serviceTimeFactor() float64 {
	b := u.Behaviour
	factor := max(b.Factor, 1)
	if slow, _ := u.slowPhase(u.sim.Elapsed()); slow {
		factor *= u.sim.Config.SlowFactor
	}
	if left := b.ColdUntil - u.sim.Elapsed(); left > 0 && b.ColdLength > 0 {
		factor *= 1 + (b.ColdFactor-1)*min(1, float64(left)/float64(b.ColdLength))
	}
	return factor
}

// drawServiceTime draws the service time of a call that starts now.
func (u *Upstream) drawServiceTime() time.Duration {
	c := u.sim.Config
	fixed := c.FixedShare * float64(c.MeanService)
	rest := (1 - c.FixedShare) * float64(c.MeanService) * u.random.ExpFloat64()
	return time.Duration((fixed + rest) * u.serviceTimeFactor())
}

// receive handles the arrival of a send.
func (u *Upstream) receive(sent *Send) {
	u.inbound--
	b := u.Behaviour
	switch {
	case sent.cancelled:
		return
	case b.Silent:
		return
	case b.FailFast:
		u.respond(sent, response{failed: true})
		return
	case b.Shed || b.Draining && b.SheddingDrain || len(u.queue) >= u.sim.Config.QueueLimit:
		u.respond(sent, response{shed: true})
		return
	}
	u.queue = append(u.queue, sent)
	u.startNext()
}

// startNext starts queued sends while slots are free. Sends whose deadline has
// passed are shed instead.
func (u *Upstream) startNext() {
	for u.running < u.sim.Config.Slots && len(u.queue) > 0 {
		sent := u.queue[0]
		u.queue = u.queue[1:]
		if u.sim.Elapsed() > sent.call.deadline {
			u.respond(sent, response{shed: true})
			continue
		}
		u.running++
		sent.running = true
		u.sim.After(u.drawServiceTime(), func() { u.finish(sent) })
	}
}

func (u *Upstream) finish(sent *Send) {
	if !sent.running {
		return
	}
	u.Ran++
	u.respond(sent, response{})
	sent.running = false
	u.running--
	u.startNext()
}

// cancel handles the arrival of a cancellation: it stops the send or removes it
// from the queue.
func (u *Upstream) cancel(sent *Send) {
	if sent.running {
		sent.running = false
		u.running--
		u.startNext()
		return
	}
	if i := slices.Index(u.queue, sent); i >= 0 {
		u.queue = slices.Delete(u.queue, i, i+1)
	}
}

// report returns the current load report. A call whose response is being sent
// still counts as running.
func (u *Upstream) report() callheader.Report {
	if u.Behaviour.ReportIdle {
		return callheader.Report{}
	}
	return callheader.Report{Running: u.running, Queued: len(u.queue)}
}

// respond sends a response with the current load report to the VM.
func (u *Upstream) respond(sent *Send, resp response) {
	resp.report = u.report()
	resp.draining = u.Behaviour.Draining
	u.sim.After(u.sim.oneWay(sent.vm.zone, u.Zone), func() { sent.vm.handleResponse(sent, resp) })
}

// outstanding returns the number of sends that are in transit, wait or run.
func (u *Upstream) outstanding() int {
	return u.inbound + u.running + len(u.queue)
}

// probeResponse returns the response to a probe: the current load, a failure if
// FailFast is set, and Draining with a delay of HealthLag.
func (u *Upstream) probeResponse() response {
	u.ProbesSeen++
	resp := response{report: u.report(), failed: u.Behaviour.FailFast}
	resp.draining = u.Behaviour.Draining && u.sim.Elapsed()-u.drainSince >= u.Behaviour.HealthLag
	return resp
}

// SetDraining makes the upstream announce from now on that it is leaving. shed
// and healthLag set SheddingDrain and HealthLag.
func (u *Upstream) SetDraining(shed bool, healthLag time.Duration) {
	u.Behaviour.Draining = true
	u.Behaviour.SheddingDrain = shed
	u.Behaviour.HealthLag = healthLag
	u.drainSince = u.sim.Elapsed()
}

// response is an upstream's response to a send or a probe.
type response struct {
	// timedOut means that no response came before the deadline.
	timedOut bool
	failed   bool
	shed     bool
	draining bool
	report   callheader.Report
}
