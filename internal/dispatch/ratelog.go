package dispatch

import (
	"maps"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/loadbalancer"
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

// rateLog logs and counts the rate limits that the upstreams of a service name.
type rateLog struct {
	service  string
	log      hclog.Logger
	counters *telemetry.Counters
	// malformed holds the upstreams of which an unusable rate limit was logged.
	malformed map[string]struct{}
}

func newRateLog(options Options) *rateLog {
	return &rateLog{
		service: options.Service, log: options.Log, counters: options.Counters, malformed: make(map[string]struct{}),
	}
}

// logChange logs that an upstream names a rate limit, another one, or none any more.
func (l *rateLog) logChange(notice loadbalancer.RateNotice) {
	if !notice.Rate.IsNamed {
		l.counters.Add(telemetry.GroupDispatch, counterRateLifted, 1)
		l.log.Info("upstream no longer names a rate limit", telemetry.FieldService, l.service,
			telemetry.FieldUpstream, notice.Upstream, "age_ms", notice.Age.Milliseconds())
		return
	}
	l.counters.Add(telemetry.GroupDispatch, counterRateNamed, 1)
	l.log.Info("upstream names a rate limit", telemetry.FieldService, l.service,
		telemetry.FieldUpstream, notice.Upstream, "per_second", notice.Rate.PerSecond, "age_ms", notice.Age.Milliseconds())
}

// logMalformed counts an unusable rate limit and logs the first one of an upstream.
func (l *rateLog) logMalformed(upstream string, err error) {
	l.counters.Add(telemetry.GroupDispatch, counterRateMalformed, 1)
	if _, isKnown := l.malformed[upstream]; isKnown {
		return
	}
	l.malformed[upstream] = struct{}{}
	l.log.Warn("upstream names an unusable rate limit, taken as none", telemetry.FieldService, l.service,
		telemetry.FieldUpstream, upstream, telemetry.FieldError, err)
}

// retain forgets all upstreams but the given ones.
func (l *rateLog) retain(upstreams []loadbalancer.Upstream) {
	names := make(map[string]struct{}, len(upstreams))
	for _, u := range upstreams {
		names[u.Name] = struct{}{}
	}
	maps.DeleteFunc(l.malformed, func(name string, _ struct{}) bool {
		_, stays := names[name]
		return !stays
	})
}
