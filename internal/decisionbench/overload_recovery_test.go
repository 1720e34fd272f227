package decisionbench

import (
	"testing"
	"time"
)

// eachUpstream returns a change that applies to the behaviour of every upstream.
func eachUpstream(change func(b *Behaviour)) func(s *Simulation) {
	return func(s *Simulation) {
		for _, u := range s.Upstreams {
			change(&u.Behaviour)
		}
	}
}

// TestRecovery subjects all upstreams to a fault and checks that, from 2 s after
// its end, at least 98% of the calls of each second succeed, and that no window
// exceeds the target of sends per call.
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
			maxSendRatios := make([]float64, len(seeds))
			minSuccessRates := runEach(func(seed uint64) float64 {
				observed := runTimeline(config, seed)
				maxSendRatios[seed-1] = observed.maxSendsPerCall()
				return observed.minSuccessPerSecond()
			})
			t.Logf("min success rate per second %.4f, max sends per call %.3f", minSuccessRates, maxSendRatios)
			if worst := median(minSuccessRates); worst < successTarget {
				t.Errorf("success rate %.4f in a second after recovery, want at least %.2f", worst, successTarget)
			}
			if sends := highest(maxSendRatios); sends > sendsTarget {
				t.Errorf("%.3f sends per call over 10 s, want at most %.2f", sends, sendsTarget)
			}
		})
	}
}

// runTimeline runs a configuration until runEnd and returns its timeline.
func runTimeline(config Config, seed uint64) *timeline {
	config.Seed = seed
	config.Deadline = lookupDeadline
	config.Length = runEnd - config.Warmup
	observed := newTimeline(runEnd + time.Second)
	observed.observe(&config)
	Run(config)
	return observed
}

// callerRetryDelay is the mean time after which a caller retries a call that was
// not served.
const callerRetryDelay = time.Second

// retryFromCaller makes callers retry calls that were not served, at a random VM
// each time, until they succeed.
func retryFromCaller(config *Config) {
	observed := config.OnEnd
	config.OnEnd = func(s *Simulation, c *Call) {
		observed(s, c)
		if c.End == OK {
			return
		}
		wait := callerRetryDelay/2 + time.Duration(s.arrivals.Int64N(int64(callerRetryDelay)))
		s.After(wait, func() { s.VMs[s.arrivals.IntN(len(s.VMs))].arrive(false) })
	}
}

// TestOverloadWithCallerRetries offers about twice the capacity for 10 s, with
// callers that retry until they succeed and so keep the load up afterwards. It
// guards against a goodput collapse in which the upstreams spend their capacity
// on calls that miss their deadline.
func TestOverloadWithCallerRetries(t *testing.T) {
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
		observed := newTimeline(runEnd + time.Second)
		observed.observe(&own)
		retryFromCaller(&own)
		Run(own)
		capacity := own.Capacity() * (to - from).Seconds()
		offered[seed-1] = float64(sumBetween(observed.arrived, from, to)) / capacity
		return float64(sumBetween(observed.ok, from, to)) / capacity
	})
	t.Logf("offered load %.2f, goodput %.3f of capacity", offered, goodput)
	if medianGoodput := median(goodput); medianGoodput < goodputTarget {
		t.Errorf("goodput is %.3f of the capacity, want at least %.2f", medianGoodput, goodputTarget)
	}
}
