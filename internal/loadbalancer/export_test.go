package loadbalancer

import (
	"time"
)

// IsReady reports whether an upstream is in use and not a suspect.
func (b *Balancer) IsReady(name string) bool {
	e, ok := b.byName[name]
	return ok && !e.isOutOfUse() && e.phase != phaseSuspect
}

// Fastest returns the base latency by the fastest of the samples of all kinds.
func (b *Balancer) Fastest() time.Duration {
	return b.latencyModel.fastest()
}

// LatencyAt returns the expected latency at a load.
func (b *Balancer) LatencyAt(load float64) time.Duration {
	return time.Duration(b.latencyModel.latencyAt(load) * float64(b.latencyModel.overall.value))
}

// Limits of the package's estimates.
const (
	MaxIdleTime     = maxIdleTime
	MaxSlowIdleTime = maxSlowIdleTime
	SlownessDecay   = slownessDecay
	ReportedSlow    = reportedSlow
)
