package decisionbench

import (
	"testing"
	"time"
)

// eachUpstream returns a change of the behaviour of every upstream.
func eachUpstream(change func(b *Behaviour)) func(s *Simulation) {
	return func(s *Simulation) {
		for _, u := range s.Upstreams {
			change(&u.Behaviour)
		}
	}
}

// TestRecovery ends faults of all upstreams and checks that from 2 s after
// their end nearly every call of each second succeeds, and that the fault costs
// few sends.
func TestRecovery(t *testing.T) {
	for _, fault := range []struct {
		name       string
		start, end func(s *Simulation)
	}{
		{
			"rush", func(s *Simulation) { s.Rate *= 3 }, func(s *Simulation) { s.Rate /= 3 },
		},
		{
			"failing fast",
			eachUpstream(func(b *Behaviour) { b.FailFast = true }),
			eachUpstream(func(b *Behaviour) { b.FailFast = false }),
		},
		{
			"shedding",
			eachUpstream(func(b *Behaviour) { b.Shed = true }),
			eachUpstream(func(b *Behaviour) { b.Shed = false }),
		},
		{
			"silent",
			eachUpstream(func(b *Behaviour) { b.Silent = true }),
			eachUpstream(func(b *Behaviour) { b.Silent = false }),
		},
		{
			"slow",
			eachUpstream(func(b *Behaviour) { b.Factor = 10 }),
			eachUpstream(func(b *Behaviour) { b.Factor = 1 }),
		},
	} {
		t.Run(fault.name, func(t *testing.T) {
			config := withLimits(StartBoard(0.70))
			config.Script = []Step{{faultStart, fault.start}, {faultEnd, fault.end}}
			worstSends := make([]float64, len(seeds))
			worstSecond := runEach(func(seed uint64) float64 {
				lines := runTimeline(config, seed)
				worstSends[seed-1] = lines.worstSends()
				return lines.worstSecond()
			})
			t.Logf("worst second %.4f, worst sends per call %.3f", worstSecond, worstSends)
			if worst := middle(worstSecond); worst < successTarget {
				t.Errorf("%.4f of the calls in a second after the recovery succeed, want %.2f", worst, successTarget)
			}
			if sends := highest(worstSends); sends > sendsTarget {
				t.Errorf("%.3f sends per call over 10 s, want %.2f", sends, sendsTarget)
			}
		})
	}
}

// runTimeline runs a configuration whose faults lie between faultStart and
// faultEnd.
func runTimeline(config Config, seed uint64) *timeline {
	config.Seed = seed
	config.Deadline = lookupDeadline
	config.Length = runEnd - config.Warmup
	lines := newTimeline(runEnd + time.Second)
	lines.observe(&config)
	Run(config)
	return lines
}

// askAgainAfter is the time after which a caller without an answer asks again.
const askAgainAfter = time.Second

// askAgain makes callers whose call was not answered ask again, as long as it
// takes, at any VM.
func askAgain(config *Config) {
	observed := config.OnEnd
	config.OnEnd = func(s *Simulation, c *Call) {
		observed(s, c)
		if c.End == OK {
			return
		}
		wait := askAgainAfter/2 + time.Duration(s.arrivals.Int64N(int64(askAgainAfter)))
		s.After(wait, func() { s.VMs[s.arrivals.IntN(len(s.VMs))].arrive(false) })
	}
}

// TestRushOfCallersWhoAskAgain has a rush of twice the capacity for 10 s whose
// callers ask again until they are answered. The upstreams have to stay at work
// for answers that are of use.
func TestRushOfCallersWhoAskAgain(t *testing.T) {
	config := withLimits(StartBoard(0.70))
	config.Script = []Step{
		{faultStart, func(s *Simulation) { s.Rate *= 3 }},
		{faultEnd, func(s *Simulation) { s.Rate /= 3 }},
	}
	from, to := faultStart+recoveryTime, runEnd-time.Second
	offered := make([]float64, len(seeds))
	goodput := runEach(func(seed uint64) float64 {
		own := config
		own.Seed = seed
		own.Deadline = lookupDeadline
		own.Length = runEnd - own.Warmup
		lines := newTimeline(runEnd + time.Second)
		lines.observe(&own)
		askAgain(&own)
		Run(own)
		capacity := own.Capacity() * (to - from).Seconds()
		offered[seed-1] = float64(sum(lines.arrived, from, to)) / capacity
		return float64(sum(lines.ok, from, to)) / capacity
	})
	t.Logf("offered %.2f, answered %.3f of capacity", offered, goodput)
	if answered := middle(goodput); answered < goodputTarget {
		t.Errorf("goodput is %.3f of the capacity, want %.2f", answered, goodputTarget)
	}
}
