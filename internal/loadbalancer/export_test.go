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

// Limits of the package's estimates.
const (
	MaxIdleTime     = maxIdleTime
	MaxSlowIdleTime = maxSlowIdleTime
	SlownessDecay   = slownessDecay
	ReportedSlow    = reportedSlow
)
