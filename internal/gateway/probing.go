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
	// silentAfter is the time without an answer after which an upstream has to
	// be asked.
	silentAfter = 5 * time.Second
	// maxProbeNeeds limits the upstreams of one request to the agent.
	maxProbeNeeds = 256
)

// upstreamWatch knows what answers told lately of the upstreams of a service. It
// is guarded by the service's lock.
type upstreamWatch struct {
	path   string
	byName map[string]*watched
}

// watched is what answers told of one upstream.
type watched struct {
	address    string
	answeredAt time.Time
	hasFailed  bool
	isDraining bool
}

func newUpstreamWatch() *upstreamWatch {
	return &upstreamWatch{byName: make(map[string]*watched)}
}

// configure keeps what is known of the upstreams that stay.
func (w *upstreamWatch) configure(now time.Time, settings dynamic.Service) {
	known := w.byName
	w.path = settings.HealthPath
	w.byName = make(map[string]*watched, len(settings.Upstreams))
	for _, u := range settings.Upstreams {
		entry, ok := known[u.Name]
		if !ok || entry.address != u.Address {
			entry = &watched{address: u.Address, answeredAt: now}
		}
		w.byName[u.Name] = entry
	}
}

// ended records how a send ended.
func (w *upstreamWatch) ended(now time.Time, name string, result loadbalancer.Result) {
	entry, ok := w.byName[name]
	if !ok {
		return
	}
	entry.answeredAt = now
	entry.hasFailed = result.Failed
	entry.isDraining = result.Draining
}

// observed records the answer to a probe. It returns the names of the upstreams
// at its address.
func (w *upstreamWatch) observed(now time.Time, seen measure.Observation) []string {
	var names []string
	for name, entry := range w.byName {
		if entry.address != seen.Address {
			continue
		}
		names = append(names, name)
		if seen.IsHealthy {
			entry.answeredAt = now
			entry.hasFailed = false
			entry.isDraining = false
		}
	}
	slices.Sort(names)
	return names
}

// needs returns the upstreams of which answers tell nothing.
func (w *upstreamWatch) needs(now time.Time) []measure.Target {
	if w.path == "" {
		return nil
	}
	var targets []measure.Target
	for _, entry := range w.byName {
		need := measure.Silent
		switch {
		case entry.isDraining:
			need = measure.Draining
		case entry.hasFailed:
			need = measure.Returning
		case now.Sub(entry.answeredAt) < silentAfter:
			continue
		}
		targets = append(targets, measure.Target{Address: entry.address, Path: w.path, Need: need})
	}
	return targets
}

// probeNeeds returns the upstreams of all services that have to be asked, each
// address once.
func (g *Gateway) probeNeeds(now time.Time) []measure.Target {
	byAddress := make(map[string]measure.Target)
	for _, s := range g.services() {
		for _, target := range s.probeNeeds(now) {
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
	return targets[:min(len(targets), maxProbeNeeds)]
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

// publishProbeNeeds tells the agent which upstreams have to be asked.
func (g *Gateway) publishProbeNeeds(bus message.Publisher) error {
	now := time.Now()
	payload, err := json.Marshal(g.probeNeeds(now))
	if err != nil {
		return errors.Wrap(err, "encode probe needs")
	}
	return bus.Publish(exchange.TopicProbeNeeds,
		exchange.NewBusMessage(g.options.VM, uint64(now.UnixNano()), payload))
}

// receiveObservation passes what a probe saw to the services that use the
// upstream.
func (g *Gateway) receiveObservation(m *message.Message) {
	var seen measure.Observation
	if err := json.Unmarshal(m.Payload, &seen); err != nil {
		g.options.Counters.Add(telemetry.GroupPeers, "observation_malformed", 1)
		return
	}
	for _, s := range g.services() {
		s.observe(seen)
	}
}

func (s *service) probeNeeds(now time.Time) []measure.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.needs(now)
}

// observe tells the balancer what a probe saw.
func (s *service) observe(seen measure.Observation) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range s.watch.observed(now, seen) {
		s.balancer.Probed(now, name, loadbalancer.ProbeResult{
			Sent: seen.Sent, Healthy: seen.IsHealthy, Report: seen.Report, HasReport: seen.HasReport,
		})
	}
}
