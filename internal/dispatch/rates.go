package dispatch

import (
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/limit"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// Constants of this VM's share of the rates that upstreams accept from all VMs.
const (
	// callerTTL is how long a VM counts as one whose calls are placed here after its last
	// call. It covers the pauses of a service with few calls.
	callerTTL = 5 * time.Second
	// unknownVMs is the number of VMs that is assumed before SetLiveVMs.
	unknownVMs = 12
)

// rateShare computes this VM's share of the rates that upstreams accept from all VMs
// together: the part of the live VMs whose calls it places. However the VMs choose among
// coordinators and local placement, each of them counts in one share, or in two for
// callerTTL after it has changed.
type rateShare struct {
	self string
	// liveVMs is 0 while unknown.
	liveVMs int
	// lastCalls holds when the last call of each other VM arrived.
	lastCalls map[string]time.Time
}

// value returns the share.
func (s *rateShare) value(now time.Time) float64 {
	served := 1
	for vm, at := range s.lastCalls {
		if now.Sub(at) >= callerTTL {
			delete(s.lastCalls, vm)
			continue
		}
		served++
	}
	if s.liveVMs == 0 {
		return limit.RateShare(served, unknownVMs)
	}
	return limit.RateShare(served, s.liveVMs)
}

// recordCall records that a call of a VM arrived.
func (s *rateShare) recordCall(now time.Time, vm string) {
	if vm != s.self {
		s.lastCalls[vm] = now
	}
}

// updateRateShareLocked applies this VM's present share.
func (d *Dispatcher) updateRateShareLocked(now time.Time) {
	if share := d.rateShare.value(now); share != d.appliedRateShare {
		d.appliedRateShare = share
		d.balancer.SetRateShare(now, share)
	}
}

// ObserveRate records the rate limit that a response of an upstream to this VM names; the
// zero Rate means none. err is why its header can't be used, if it can't.
func (d *Dispatcher) ObserveRate(upstream string, rate callheader.Rate, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.rates.logMalformed(upstream, err)
	}
	d.recordRateLocked(time.Now(), loadbalancer.RateNotice{Upstream: upstream, Rate: rate})
}

// LearnRates records what another VM knows about the rate limits of the upstreams.
func (d *Dispatcher) LearnRates(notices []loadbalancer.RateNotice) {
	if len(notices) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, notice := range notices {
		d.recordRateLocked(now, notice)
	}
}

func (d *Dispatcher) recordRateLocked(now time.Time, notice loadbalancer.RateNotice) {
	d.updateRateShareLocked(now)
	if d.balancer.RecordRate(now, notice) {
		d.rates.logChange(notice)
	}
}

// RateNotices returns what this VM knows about the rate limits of the upstreams. The
// argument is what another VM knows; what differs from it is part of the result.
func (d *Dispatcher) RateNotices(known []loadbalancer.RateNotice) []loadbalancer.RateNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.balancer.RateNotices(now, known)
}

// NamesRate reports whether an upstream names a rate limit.
func (d *Dispatcher) NamesRate(upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.balancer.NamedRate(upstream).IsNamed
}

// rateSupply returns what the rate limits of the upstreams permit for a call.
func (d *Dispatcher) rateSupply(r Request) loadbalancer.RateSupply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.balancer.RateSupply(now, r.balancerRequest())
}
