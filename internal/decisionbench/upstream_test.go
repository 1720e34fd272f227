package decisionbench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// Upstream is the model of one server.
type Upstream struct {
	Behaviour Behaviour
	Name      string
	Zone      int

	sim     *Simulation
	random  *rand.Rand
	running int
	queue   []*Send
	// inbound is the number of sends on their way to it.
	inbound int
	// slow holds the starts of the slow phases, in order.
	slow []time.Duration
	// drainSince is when Draining was set.
	drainSince time.Duration
	// Ran counts the calls that ran to their end.
	Ran int
	// ProbesSeen counts the probes received.
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

// isSlow tells whether the upstream is in a slow phase at a time, and until
// when that holds.
func (u *Upstream) isSlow(at time.Duration) (bool, time.Duration) {
	c := u.sim.Config
	if c.SlowEvery == 0 {
		return false, 1 << 62
	}
	for len(u.slow) == 0 || u.slow[len(u.slow)-1] <= at {
		last := -c.SlowLength
		if len(u.slow) > 0 {
			last = u.slow[len(u.slow)-1]
		}
		gap := float64(c.SlowEvery-c.SlowLength) * u.random.ExpFloat64()
		u.slow = append(u.slow, last+c.SlowLength+time.Duration(gap))
	}
	next := sort.Search(len(u.slow), func(i int) bool { return u.slow[i] > at })
	if next > 0 && at < u.slow[next-1]+c.SlowLength {
		return true, u.slow[next-1] + c.SlowLength
	}
	return false, u.slow[next]
}

// factor returns the multiplier of the service time of a call that starts now.
func (u *Upstream) factor() float64 {
	b := u.Behaviour
	factor := max(b.Factor, 1)
	if slow, _ := u.isSlow(u.sim.Elapsed()); slow {
		factor *= u.sim.Config.SlowFactor
	}
	if left := b.ColdUntil - u.sim.Elapsed(); left > 0 && b.ColdLength > 0 {
		factor *= 1 + (b.ColdFactor-1)*min(1, float64(left)/float64(b.ColdLength))
	}
	return factor
}

// drawService returns the service time of a call that starts now.
func (u *Upstream) drawService() time.Duration {
	c := u.sim.Config
	fixed := c.FixedShare * float64(c.MeanService)
	rest := (1 - c.FixedShare) * float64(c.MeanService) * u.random.ExpFloat64()
	return time.Duration((fixed + rest) * u.factor())
}

// receive takes a send that has arrived.
func (u *Upstream) receive(sent *Send) {
	u.inbound--
	b := u.Behaviour
	switch {
	case sent.cancelled:
		return
	case b.Silent:
		return
	case b.FailFast:
		u.answer(sent, answer{failed: true})
		return
	case b.Shed || b.Draining && b.SheddingDrain || len(u.queue) >= u.sim.Config.QueueLimit:
		u.answer(sent, answer{shed: true})
		return
	}
	u.queue = append(u.queue, sent)
	u.startNext()
}

// startNext runs queued sends while slots are free.
func (u *Upstream) startNext() {
	for u.running < u.sim.Config.Slots && len(u.queue) > 0 {
		sent := u.queue[0]
		u.queue = u.queue[1:]
		if u.sim.Elapsed() > sent.call.deadline {
			u.answer(sent, answer{shed: true})
			continue
		}
		u.running++
		sent.running = true
		u.sim.After(u.drawService(), func() { u.finish(sent) })
	}
}

func (u *Upstream) finish(sent *Send) {
	if !sent.running {
		return
	}
	u.Ran++
	u.answer(sent, answer{})
	sent.running = false
	u.running--
	u.startNext()
}

// cancel takes back a send whose cancellation has arrived.
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

// report is the load report at this moment; a call that is being answered
// still counts as running.
func (u *Upstream) report() callheader.Report {
	if u.Behaviour.ReportIdle {
		return callheader.Report{}
	}
	return callheader.Report{Running: u.running, Queued: len(u.queue)}
}

// answer sends an answer back.
func (u *Upstream) answer(sent *Send, a answer) {
	a.report = u.report()
	a.draining = u.Behaviour.Draining
	u.sim.After(u.sim.oneWay(sent.vm.zone, u.Zone), func() { sent.vm.answered(sent, a) })
}

// outstanding counts the sends that are on their way, wait or run.
func (u *Upstream) outstanding() int {
	return u.inbound + u.running + len(u.queue)
}

// probeView returns what a probe sees: the true load and a Draining that may
// lag.
func (u *Upstream) probeView() answer {
	u.ProbesSeen++
	a := answer{report: u.report(), failed: u.Behaviour.FailFast}
	a.draining = u.Behaviour.Draining && u.sim.Elapsed()-u.drainSince >= u.Behaviour.HealthLag
	return a
}

// SetDraining makes the upstream announce that it leaves.
func (u *Upstream) SetDraining(shed bool, healthLag time.Duration) {
	u.Behaviour.Draining = true
	u.Behaviour.SheddingDrain = shed
	u.Behaviour.HealthLag = healthLag
	u.drainSince = u.sim.Elapsed()
}

// answer is what an upstream tells a VM.
type answer struct {
	// lost means that no answer came before the deadline.
	lost     bool
	failed   bool
	shed     bool
	draining bool
	report   callheader.Report
}
