package dispatch

import (
	"maps"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/telemetry"
)

// Counters of the group dispatch about rate limits that upstreams name.
const (
	counterRateNamed     = "rate_named"
	counterRateLifted    = "rate_lifted"
	counterRateMalformed = "rate_malformed"
	counterSentLimited   = "sent_limited"
	// counterProbeNamedRate is in the group probes.
	counterProbeNamedRate = "rate_named"
)

// rateLog logs and counts the rate limits that the upstreams of a service name, when they
// change.
type rateLog struct {
	service   string
	log       hclog.Logger
	counters  *telemetry.Counters
	named     map[string]callheader.Rate
	malformed map[string]struct{}
}

func newRateLog(options Options) *rateLog {
	return &rateLog{
		service: options.Service, log: options.Log, counters: options.Counters,
		named: make(map[string]callheader.Rate), malformed: make(map[string]struct{}),
	}
}

// observe records the rate that an upstream names.
func (l *rateLog) observe(upstream string, rate callheader.Rate) {
	previous, wasNamed := l.named[upstream]
	switch {
	case rate.IsNamed && (!wasNamed || rate != previous):
		l.named[upstream] = rate
		l.counters.Add(telemetry.GroupDispatch, counterRateNamed, 1)
		l.log.Info("upstream names a rate limit", telemetry.FieldService, l.service, telemetry.FieldUpstream, upstream,
			"per_second", rate.PerSecond)
	case !rate.IsNamed && wasNamed:
		delete(l.named, upstream)
		l.counters.Add(telemetry.GroupDispatch, counterRateLifted, 1)
		l.log.Info("upstream no longer names a rate limit", telemetry.FieldService, l.service, telemetry.FieldUpstream, upstream)
	}
}

// observeMalformed counts an unusable rate limit and logs the first one of an upstream.
func (l *rateLog) observeMalformed(upstream string, err error) {
	l.counters.Add(telemetry.GroupDispatch, counterRateMalformed, 1)
	if _, isKnown := l.malformed[upstream]; isKnown {
		return
	}
	l.malformed[upstream] = struct{}{}
	l.log.Warn("upstream names an unusable rate limit, taken as none", telemetry.FieldService, l.service,
		telemetry.FieldUpstream, upstream, telemetry.FieldError, err)
}

// isNamed reports whether an upstream names a rate limit.
func (l *rateLog) isNamed(upstream string) bool {
	_, ok := l.named[upstream]
	return ok
}

// retainRatesLocked forgets the rate limits of upstreams that are gone.
func (d *Dispatcher) retainRatesLocked() {
	names := make(map[string]struct{}, len(d.upstreams))
	for _, u := range d.upstreams {
		names[u.Name] = struct{}{}
	}
	isGone := func(name string) bool {
		_, stays := names[name]
		return !stays
	}
	maps.DeleteFunc(d.rates.named, func(name string, _ callheader.Rate) bool { return isGone(name) })
	maps.DeleteFunc(d.rates.malformed, func(name string, _ struct{}) bool { return isGone(name) })
}

// ObserveRate records the rate limit that a response of an upstream names; the zero Rate
// means none. err is why its header can't be used, if it can't.
func (d *Dispatcher) ObserveRate(upstream string, rate callheader.Rate, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.rates.observeMalformed(upstream, err)
	}
	d.rates.observe(upstream, rate)
}
