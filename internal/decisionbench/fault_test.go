package decisionbench

import (
	"testing"
	"time"
)

// Start and duration of the fault in the fault scenarios.
const (
	faultAt     = 4 * time.Second
	faultLength = 8 * time.Second
)

// faultConfig returns the configuration of start-board at load 0.70 with hedges,
// retries and one change at faultAt.
func faultConfig(change func(s *Simulation)) Config {
	config := StartBoard(0.70)
	config.Hedge = true
	config.Retry = true
	config.ProbeRate = faultProbeRate
	config.Length = faultAt + faultLength - config.Warmup
	config.Script = []Step{{At: faultAt, Run: change}}
	return config
}

// faultProbeRate is the number of periodic probes per second and VM.
const faultProbeRate = 5

// sendShare counts the sends to one upstream and to all upstreams since a given
// time.
type sendShare struct {
	upstream        int
	from            time.Duration
	sends           int
	sendsToUpstream int
}

func (o *sendShare) onSend(s *Simulation, sent *Send) {
	if s.Elapsed() < o.from {
		return
	}
	o.sends++
	if sent.Upstream == o.upstream {
		o.sendsToUpstream++
	}
}

// TestUpstreamThatMisreportsItsLoad checks that an upstream that is ten times slower
// but reports no load gets at most 1.1 times its fair share of the sends, starting
// one second after it became slow. Its fair share is its share of the capacity.
func TestUpstreamThatMisreportsItsLoad(t *testing.T) {
	const misreporting, factor = 3, 10.0
	results := runEach(func(seed uint64) float64 {
		config := faultConfig(func(s *Simulation) {
			s.Upstreams[misreporting].Behaviour = Behaviour{Factor: factor, ReportIdle: true}
		})
		config.Seed = seed
		seen := &sendShare{upstream: misreporting, from: faultAt + time.Second}
		config.OnSend = seen.onSend
		Run(config)
		return float64(seen.sendsToUpstream) / float64(seen.sends)
	})
	fair := (1 / factor) / (float64(StartBoard(0.70).Upstreams-1) + 1/factor)
	atMost(t, "sends to a misreporting upstream over its fair share", median(results)/fair, 1.1)
}

// TestLeavingUpstream checks that a leaving upstream gets no new calls from 3 s
// after its first drain notice on, although its health check still reports it as
// healthy.
func TestLeavingUpstream(t *testing.T) {
	const leaving = 3
	results := runEach(func(seed uint64) float64 {
		config := faultConfig(func(s *Simulation) {
			s.Upstreams[leaving].SetDraining(false, 30*time.Second)
		})
		config.Length = 45 * time.Second
		config.Seed = seed
		seen := &sendShare{upstream: leaving, from: faultAt + 3*time.Second}
		config.OnSend = seen.onSend
		Run(config)
		return float64(seen.sendsToUpstream)
	})
	atMost(t, "sends to a leaving upstream", highest(results), 0)
}

// TestFailingUpstreams checks that at least 98% of the lookups succeed while
// half of the upstreams fail fast.
func TestFailingUpstreams(t *testing.T) {
	results := runEach(func(seed uint64) float64 {
		config := faultConfig(func(s *Simulation) {
			for i := range len(s.Upstreams) / 2 {
				s.Upstreams[i].Behaviour.FailFast = true
			}
		})
		config.Load = 0.35
		config.Seed = seed
		ok, all := 0, 0
		config.OnEnd = func(_ *Simulation, c *Call) {
			if c.Arrived < faultAt {
				return
			}
			all++
			if c.End == OK {
				ok++
			}
		}
		Run(config)
		return float64(ok) / float64(all)
	})
	atLeast(t, "share of successful lookups", median(results), 0.98)
}
