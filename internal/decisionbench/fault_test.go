package decisionbench

import (
	"testing"
	"time"
)

// Times of the fault scenarios.
const (
	faultAt     = 4 * time.Second
	faultLength = 8 * time.Second
)

// faultConfig returns start-board at load 0.70 with hedges, retries and one
// change after faultAt.
func faultConfig(change func(s *Simulation)) Config {
	config := StartBoard(0.70)
	config.Hedge = true
	config.Retry = true
	config.ProbeRate = faultProbeRate
	config.Length = faultAt + faultLength - config.Warmup
	config.Script = []Step{{At: faultAt, Run: change}}
	return config
}

// faultProbeRate is the number of probes a second of each VM.
const faultProbeRate = 5

// shareOf counts the sends to an upstream as a share of all sends in a window.
type shareOf struct {
	upstream  int
	from      time.Duration
	sends     int
	sendsToIt int
}

func (o *shareOf) onSend(s *Simulation, sent *Send) {
	if s.Elapsed() < o.from {
		return
	}
	o.sends++
	if sent.Upstream == o.upstream {
		o.sendsToIt++
	}
}

// TestLyingUpstream checks that an upstream that reports no load while it is
// ten times slower gets at most 1.1 times its share of the capacity from one
// second after it began.
func TestLyingUpstream(t *testing.T) {
	const liar, factor = 3, 10.0
	results := runEach(func(seed uint64) float64 {
		config := faultConfig(func(s *Simulation) {
			s.Upstreams[liar].Behaviour = Behaviour{Factor: factor, ReportIdle: true}
		})
		config.Seed = seed
		seen := &shareOf{upstream: liar, from: faultAt + time.Second}
		config.OnSend = seen.onSend
		Run(config)
		return float64(seen.sendsToIt) / float64(seen.sends)
	})
	fair := (1 / factor) / (float64(StartBoard(0.70).Upstreams-1) + 1/factor)
	atMost(t, "share of a lying upstream over its fair share", middle(results)/fair, 1.1)
}

// TestLeavingUpstream checks that a leaving upstream gets no new call from 3 s
// after its first sign on, though its health path lags.
func TestLeavingUpstream(t *testing.T) {
	const leaving = 3
	results := runEach(func(seed uint64) float64 {
		config := faultConfig(func(s *Simulation) {
			s.Upstreams[leaving].SetDraining(false, 30*time.Second)
		})
		config.Length = 45 * time.Second
		config.Seed = seed
		seen := &shareOf{upstream: leaving, from: faultAt + 3*time.Second}
		config.OnSend = seen.onSend
		Run(config)
		return float64(seen.sendsToIt)
	})
	atMost(t, "calls to a leaving upstream", highest(results), 0)
}

// TestFailingUpstreams checks that lookups succeed while half of the upstreams
// fail fast.
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
	atLeast(t, "share of lookups answered", middle(results), 0.98)
}
