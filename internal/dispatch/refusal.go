package dispatch

import (
	"time"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
)

// refusal returns the Refusal of a call that arrived at the given time.
func (d *Dispatcher) refusal(r Request, reason outcome.Reason, arrived time.Time) Refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	request := r.balancerRequest()
	supply := d.balancer.RateSupply(now, request)
	estimate := d.balancer.BaseEstimate(now, request)
	refusal := Refusal{
		Reason:   withheldReason(reason, supply),
		PlacedBy: d.options.VM,
		Basis: RefusalBasis{
			Upstreams:      len(d.upstreams),
			Free:           d.balancer.Free(now, request),
			Waiting:        len(d.waiters),
			SendsPerSecond: d.backlog.SendsPerSecond(now),
			BaseLatency:    estimate.Latency,
			Waited:         now.Sub(arrived),
			NextSend:       max(nextSend(supply, len(d.waiters)), d.suspects.RetryAfter(now, r.ID)),
		},
	}
	if !r.Extra {
		d.watchRefusalLocked(now, refusal, estimate)
	}
	return refusal
}

// withheldReason returns RateLimited in place of a reason that says less, if the rate limits
// of the upstreams withhold the call.
func withheldReason(reason outcome.Reason, supply loadbalancer.RateSupply) outcome.Reason {
	isWithheld := supply.IsLimited && supply.First > 0
	if isWithheld && (reason == outcome.QueueFull || reason == outcome.NoUpstream) {
		return outcome.RateLimited
	}
	return reason
}

// nextSend returns the time until the rate limits permit another call behind those that wait;
// 0 if not all upstreams have one.
func nextSend(supply loadbalancer.RateSupply, waiting int) time.Duration {
	if !supply.IsLimited {
		return 0
	}
	return supply.First + time.Duration(float64(waiting)/supply.PerSecond*float64(time.Second))
}
