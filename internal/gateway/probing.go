package gateway

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/measure"
	"github.com/figfront/figfront/internal/telemetry"
)

const (
	// probeAfterSilence is the time without the result of a send or a healthy
	// probe after which an upstream is probed.
	probeAfterSilence = 5 * time.Second
	// maxProbeTargets limits the upstreams in one request to the agent.
	maxProbeTargets = 256
)

// upstreamTracker tracks the last result of each upstream of a service, to decide
// which of them must be probed. It is guarded by the service's lock.
type upstreamTracker struct {
	path   string
	byName map[string]*trackedUpstream
}

// trackedUpstream is the last result of a send or a healthy probe to one upstream.
type trackedUpstream struct {
	address      string
	lastResultAt time.Time
	hasFailed    bool
	isDraining   bool
}

func newUpstreamTracker() *upstreamTracker {
	return &upstreamTracker{byName: make(map[string]*trackedUpstream)}
}

// configure sets the upstreams and keeps the state of those that remain.
func (t *upstreamTracker) configure(now time.Time, settings dynamic.Service) {
	known := t.byName
	t.path = settings.HealthPath
	t.byName = make(map[string]*trackedUpstream, len(settings.Upstreams))
	for _, u := range settings.Upstreams {
		entry, ok := known[u.Name]
		if !ok || entry.address != u.Address {
			entry = &trackedUpstream{address: u.Address, lastResultAt: now}
		}
		t.byName[u.Name] = entry
	}
}

// ended records the result of a send.
func (t *upstreamTracker) ended(now time.Time, name string, result loadbalancer.Result) {
	entry, ok := t.byName[name]
	if !ok {
		return
	}
	entry.lastResultAt = now
	entry.hasFailed = result.Failed
	entry.isDraining = result.Draining
}

// observeProbe records the result of a probe. It returns the sorted names of the
// upstreams at the probed address.
func (t *upstreamTracker) observeProbe(now time.Time, result measure.ProbeResult) []string {
	var names []string
	for name, entry := range t.byName {
		if entry.address != result.Address {
			continue
		}
		names = append(names, name)
		if result.IsHealthy {
			entry.lastResultAt = now
			entry.hasFailed = false
			entry.isDraining = false
		}
	}
	slices.Sort(names)
	return names
}

// targets returns the upstreams that must be probed: those that are draining, have
// failed or had no result for probeAfterSilence.
func (t *upstreamTracker) targets(now time.Time) []measure.Target {
	if t.path == "" {
		return nil
	}
	var targets []measure.Target
	for _, entry := range t.byName {
		need := measure.Silent
		switch {
		case entry.isDraining:
			need = measure.Draining
		case entry.hasFailed:
			need = measure.Returning
		case now.Sub(entry.lastResultAt) < probeAfterSilence:
			continue
		}
		targets = append(targets, measure.Target{Address: entry.address, Path: t.path, Need: need})
	}
	return targets
}

// probeTargets returns the upstreams of all services that must be probed: each
// address once, and at most maxProbeTargets addresses.
func (g *Gateway) probeTargets(now time.Time) []measure.Target {
	byAddress := make(map[string]measure.Target)
	for _, s := range g.services() {
		for _, target := range s.probeTargets(now) {
			known, ok := byAddress[target.Address]
			if !ok || known.Need == measure.Silent {
				byAddress[target.Address] = target
			}
		}
	}
	targets := make([]measure.Target, 0, len(byAddress))
	for _, target := range byAddress {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b measure.Target) int { return strings.Compare(a.Address, b.Address) })
	return targets[:min(len(targets), maxProbeTargets)]
}

// services returns the services of all teams.
func (g *Gateway) services() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []*service
	for _, t := range g.teams {
		for _, s := range t.services {
			all = append(all, s)
		}
	}
	return all
}

// publishProbeTargets reports to the agent the upstreams that must be probed.
func (g *Gateway) publishProbeTargets(bus message.Publisher) error {
	now := time.Now()
	payload, err := json.Marshal(g.probeTargets(now))
	if err != nil {
		return errors.Wrap(err, "encode probe targets")
	}
	return bus.Publish(exchange.TopicProbeNeeds,
		exchange.NewBusMessage(g.options.VM, uint64(now.UnixNano()), payload))
}

// receiveProbeResult passes the result of a probe to the services that use the
// upstream. An unreadable message is counted and dropped.
func (g *Gateway) receiveProbeResult(m *message.Message) {
	var result measure.ProbeResult
	if err := json.Unmarshal(m.Payload, &result); err != nil {
		g.options.Counters.Add(telemetry.GroupPeers, "observation_malformed", 1)
		return
	}
	for _, s := range g.services() {
		s.recordProbe(result)
	}
}

func (s *service) probeTargets(now time.Time) []measure.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.targets(now)
}

// recordProbe passes the result of a probe to the balancer.
func (s *service) recordProbe(result measure.ProbeResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, name := range s.tracker.observeProbe(now, result) {
		s.balancer.Probed(now, name, loadbalancer.ProbeResult{
			Sent: result.Sent, IsHealthy: result.IsHealthy, Report: result.Report, HasReport: result.HasReport,
		})
	}
}
