package decisionbench

import (
	"math/rand/v2"
	"time"
)

// Simulation is the state of one run of the model.
type Simulation struct {
	clock
	Config    Config
	Upstreams []*Upstream
	VMs       []*VM
	Result    *Result
	// Rate is the total arrival rate at all VMs in calls per second. A Script
	// may change it.
	Rate float64

	arrivals *rand.Rand
}

// Run runs a simulation to its end and returns the measurements.
func Run(config Config) *Result {
	s := &Simulation{
		Config:   config,
		Rate:     config.ArrivalRate(),
		Result:   newResult(config),
		arrivals: rand.New(rand.NewPCG(config.Seed, 1)),
	}
	for i := range config.Upstreams {
		s.Upstreams = append(s.Upstreams, newUpstream(s, i))
	}
	for i := range config.VMs {
		s.VMs = append(s.VMs, newVM(s, i))
	}
	for _, step := range config.Script {
		s.After(step.At, func() { step.Run(s) })
	}
	s.scheduleArrival()
	s.runUntil(config.Warmup + config.Length)
	s.Result.finish(s)
	return s.Result
}

// scheduleArrival schedules the next call of a Poisson process. Each call goes to
// a random VM, as with the platform's load balancer.
func (s *Simulation) scheduleArrival() {
	gap := time.Duration(s.arrivals.ExpFloat64() / s.Rate * float64(time.Second))
	s.After(gap, func() {
		vm := s.VMs[s.arrivals.IntN(len(s.VMs))]
		isBooking := s.arrivals.Float64() < s.Config.BookingShare
		vm.arrive(isBooking)
		s.scheduleArrival()
	})
}

// oneWay returns the one-way network latency between two zones.
func (s *Simulation) oneWay(a, b int) time.Duration {
	if a == b {
		return s.Config.LocalOneWay
	}
	return s.Config.RemoteOneWay
}

// IsMeasured reports whether the warm-up is over.
func (s *Simulation) IsMeasured() bool {
	return s.Elapsed() >= s.Config.Warmup
}
