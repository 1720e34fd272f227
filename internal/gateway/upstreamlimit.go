package gateway

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/limit"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// upstreamLimits hold the adaptive limit of each upstream of a service. They
// are guarded by the service's lock.
type upstreamLimits struct {
	byName map[string]*limit.Adaptive
	// full names the upstreams whose limit is reached.
	full []string
}

func newUpstreamLimits() *upstreamLimits {
	return &upstreamLimits{byName: make(map[string]*limit.Adaptive)}
}

// configure keeps the limits of the upstreams that stay.
func (l *upstreamLimits) configure(settings []dynamic.Upstream) {
	known := l.byName
	l.byName = make(map[string]*limit.Adaptive, len(settings))
	l.full = nil
	for _, u := range settings {
		adaptive, ok := known[u.Name]
		if !ok {
			adaptive = limit.NewAdaptive(u.MaxConnections)
		}
		adaptive.SetMaxLimit(u.MaxConnections)
		l.byName[u.Name] = adaptive
		l.markFull(u.Name, adaptive)
	}
}

// markFull keeps the list of full upstreams.
func (l *upstreamLimits) markFull(name string, adaptive *limit.Adaptive) {
	at := slices.Index(l.full, name)
	switch {
	case adaptive.IsFull() && at < 0:
		l.full = append(l.full, name)
	case !adaptive.IsFull() && at >= 0:
		l.full = slices.Delete(l.full, at, at+1)
	}
}

// exclude returns the upstreams that a call was already sent to and those
// whose limit is reached.
func (l *upstreamLimits) exclude(tried []string) []string {
	if len(l.full) == 0 {
		return tried
	}
	return append(append(make([]string, 0, len(tried)+len(l.full)), tried...), l.full...)
}

// started records a send.
func (l *upstreamLimits) started(name string) {
	l.change(name, (*limit.Adaptive).Start)
}

// ended records how a send ended.
func (l *upstreamLimits) ended(now time.Time, name string, result loadbalancer.Result) {
	queued := limit.NoQueueReport
	if result.HasReport {
		queued = result.Report.Queued
	}
	l.change(name, func(adaptive *limit.Adaptive) {
		switch {
		case result.Shed:
			adaptive.Shed(now)
		case result.Failed:
			adaptive.Failed(now)
		default:
			adaptive.Answered(now, result.Latency, queued)
		}
	})
}

// succeeded records an answer whose time says nothing of the upstream.
func (l *upstreamLimits) succeeded(name string) {
	l.change(name, (*limit.Adaptive).Succeeded)
}

// cancelled records that a send was given up.
func (l *upstreamLimits) cancelled(name string) {
	l.change(name, (*limit.Adaptive).Cancelled)
}

// places returns the number of calls that may run at once at the upstreams in
// use.
func (l *upstreamLimits) places(inUse iter.Seq[string]) int {
	sum := 0.0
	for name := range inUse {
		if adaptive, ok := l.byName[name]; ok {
			sum += adaptive.Limit()
		}
	}
	return int(math.Ceil(sum))
}

// change applies a change to one limit and keeps the list of full upstreams.
func (l *upstreamLimits) change(name string, apply func(*limit.Adaptive)) {
	adaptive, ok := l.byName[name]
	if !ok {
		return
	}
	apply(adaptive)
	l.markFull(name, adaptive)
}
