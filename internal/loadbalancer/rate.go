package loadbalancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// Constants of rate limits.
const (
	// defaultRateShare is this VM's share of the rates before SetRateShare.
	defaultRateShare = 1.0 / 12
	// liftedNoticeLife is how long RateNotices tells that a limit has ended.
	liftedNoticeLife = 30 * time.Second
	// maxRateNotices limits the result of RateNotices.
	maxRateNotices = 32
)

// RateNotice is what a response said about the rate limit of its upstream.
type RateNotice struct {
	Upstream string
	Rate     callheader.Rate
	// Age is the time since the response.
	Age time.Duration
}

// RateSupply is what the rate limits of the upstreams let this VM send.
type RateSupply struct {
	// IsLimited means that every upstream for the call has a limit; the other fields are
	// valid only then.
	IsLimited bool
	// First is the time until the next send is permitted.
	First time.Duration
	// PerSecond is the rate of sends that all upstreams together permit.
	PerSecond float64
}

// SetRateShare sets this VM's share, above 0 and at most 1, of the rates that upstreams
// accept from all VMs together.
func (b *Balancer) SetRateShare(now time.Time, share float64) {
	at := b.since(now)
	b.rateShare = share
	for e := range b.rated {
		if e.namedRate.IsNamed {
			e.rate.Limit(at, e.namedRate.PerSecond, share, 0)
		}
	}
}

// RecordRate records what a response said about the rate limit of its upstream, unless a
// later response is known. It reports whether the limit has changed.
func (b *Balancer) RecordRate(now time.Time, notice RateNotice) bool {
	e, ok := b.byName[notice.Upstream]
	if !ok {
		return false
	}
	at := b.since(now)
	statedAt := at - notice.Age
	if statedAt < e.rateStatedAt {
		return false
	}
	e.rateStatedAt = statedAt
	if notice.Rate == e.namedRate {
		return false
	}
	e.namedRate = notice.Rate
	e.rateChangedAt = at
	e.isRateFromProbe = false
	b.rated[e] = struct{}{}
	if notice.Rate.IsNamed {
		e.rate.Limit(at, notice.Rate.PerSecond, b.rateShare, b.random.Float64())
	} else {
		e.rate.Lift()
	}
	return true
}

// recordProbedRate records the rate limit that the answer to a probe named. An answer
// without one ends only a limit that such an answer had named. It reports whether the limit
// has changed.
func (b *Balancer) recordProbedRate(now time.Time, e *entry, rate callheader.Rate) bool {
	if !rate.IsNamed && !e.isRateFromProbe {
		return false
	}
	isChanged := b.RecordRate(now, RateNotice{Upstream: e.upstream.Name, Rate: rate})
	e.isRateFromProbe = rate.IsNamed && (isChanged || e.isRateFromProbe)
	return isChanged
}

// forgetRatesOfGone drops the rate limits of upstreams that are gone or have restarted.
func (b *Balancer) forgetRatesOfGone() {
	for e := range b.rated {
		if b.byName[e.upstream.Name] != e {
			delete(b.rated, e)
		}
	}
}

// RateNotices returns the rate limits that upstreams name, and those that have ended
// recently or of which another VM still knows, the latest first, at most maxRateNotices.
func (b *Balancer) RateNotices(now time.Time, known []RateNotice) []RateNotice {
	at := b.since(now)
	var notices []RateNotice
	for e := range b.rated {
		notice := RateNotice{Upstream: e.upstream.Name, Rate: e.namedRate, Age: at - e.rateStatedAt}
		isKnown := func(other RateNotice) bool { return other.Upstream == notice.Upstream }
		if notice.Rate.IsNamed || at-e.rateChangedAt < liftedNoticeLife || slices.ContainsFunc(known, isKnown) {
			notices = append(notices, notice)
		}
	}
	slices.SortFunc(notices, func(x, y RateNotice) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Upstream, y.Upstream))
	})
	return notices[:min(len(notices), maxRateNotices)]
}

// NamedRate returns the rate limit that an upstream names.
func (b *Balancer) NamedRate(name string) callheader.Rate {
	if e, ok := b.byName[name]; ok {
		return e.namedRate
	}
	return callheader.Rate{}
}

// RateSupply returns what the rate limits permit for a call.
func (b *Balancer) RateSupply(now time.Time, request Request) RateSupply {
	if len(b.rated) == 0 {
		return RateSupply{}
	}
	at := b.since(now)
	var supply RateSupply
	for _, e := range b.subset {
		if e.isOutOfUse() || e.phase == phaseSuspect || slices.Contains(request.Exclude, e.upstream.Name) {
			continue
		}
		if !e.rate.IsLimited() {
			return RateSupply{}
		}
		if wait := e.rate.Wait(at); !supply.IsLimited || wait < supply.First {
			supply.First = wait
		}
		supply.IsLimited = true
		supply.PerSecond += e.rate.PerSecond()
	}
	return supply
}

// MayProbe reports whether periodic probes of an upstream may be sent. While an upstream has
// a rate limit, its capacity is left to calls.
func (b *Balancer) MayProbe(name string) bool {
	e, ok := b.byName[name]
	return !ok || !e.rate.IsLimited()
}

// isPermitted reports whether the upstream's rate limit permits a send now.
func (e *entry) isPermitted(at time.Duration) bool {
	return e.rate.Wait(at) == 0
}
