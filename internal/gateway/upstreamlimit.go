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

// upstreamLimits holds the adaptive concurrency limit of each upstream of a
// service. It is guarded by the service's lock.
type upstreamLimits struct {
	byName map[string]*limit.Adaptive
	// full names the upstreams that are at their limit.
	full []string
}

func newUpstreamLimits() *upstreamLimits {
	return &upstreamLimits{byName: make(map[string]*limit.Adaptive)}
}

// configure sets the upstreams and keeps the limits of those that remain.
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
		l.updateFull(u.Name, adaptive)
	}
}

// updateFull adds or removes one upstream in full according to its limit.
func (l *upstreamLimits) updateFull(name string, adaptive *limit.Adaptive) {
	at := slices.Index(l.full, name)
	switch {
	case adaptive.IsFull() && at < 0:
		l.full = append(l.full, name)
	case !adaptive.IsFull() && at >= 0:
		l.full = slices.Delete(l.full, at, at+1)
	}
}

// exclude returns the tried upstreams together with those at their limit.
func (l *upstreamLimits) exclude(tried []string) []string {
	if len(l.full) == 0 {
		return tried
	}
	return append(append(make([]string, 0, len(tried)+len(l.full)), tried...), l.full...)
}

// started records the start of a send.
func (l *upstreamLimits) started(name string) {
	l.update(name, (*limit.Adaptive).Start)
}

// ended records the result of a send.
func (l *upstreamLimits) ended(now time.Time, name string, result loadbalancer.Result) {
	queued := limit.NoQueueReport
	if result.HasReport {
		queued = result.Report.Queued
	}
	l.update(name, func(adaptive *limit.Adaptive) {
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

// succeeded records a response whose latency says nothing about the upstream.
func (l *upstreamLimits) succeeded(name string) {
	l.update(name, (*limit.Adaptive).Succeeded)
}

// cancelled records that a send was cancelled.
func (l *upstreamLimits) cancelled(name string) {
	l.update(name, (*limit.Adaptive).Cancelled)
}

// capacity returns the number of calls that may run concurrently on the upstreams
// in use.
func (l *upstreamLimits) capacity(inUse iter.Seq[string]) int {
	sum := 0.0
	for name := range inUse {
		if adaptive, ok := l.byName[name]; ok {
			sum += adaptive.Limit()
		}
	}
	return int(math.Ceil(sum))
}

// update applies a change to one limit and updates full.
func (l *upstreamLimits) update(name string, apply func(*limit.Adaptive)) {
	adaptive, ok := l.byName[name]
	if !ok {
		return
	}
	apply(adaptive)
	l.updateFull(name, adaptive)
}
