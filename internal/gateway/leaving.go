package gateway

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// leavingLife is the age up to which another VM's message about leaving
// upstreams counts.
const leavingLife = 30 * time.Second

// publishLeaving tells the agent which upstreams this VM lately saw leaving.
func (g *Gateway) publishLeaving(bus message.Publisher) error {
	now := time.Now()
	seen := exchange.Leaving{VM: g.options.VM, At: now}
	for _, s := range g.services() {
		for _, name := range s.leaving(now) {
			seen.Upstreams = append(seen.Upstreams,
				exchange.LeavingUpstream{Team: s.team, Service: s.name, Upstream: name})
		}
	}
	if len(seen.Upstreams) == 0 {
		return nil
	}
	m, err := exchange.LeavingMessage(seen)
	if err != nil {
		return err
	}
	return bus.Publish(m.GetTopic(), exchange.NewBusMessage(m.GetKey(), m.GetRevision(), m.GetPayload()))
}

// receiveLeaving takes over what another VM saw.
func (g *Gateway) receiveLeaving(m *message.Message) {
	seen, err := exchange.DecodeLeaving(m.Payload)
	if err != nil {
		g.options.Counters.Add(telemetry.GroupPeers, "leaving_malformed", 1)
		return
	}
	now := time.Now()
	if seen.VM == g.options.VM || now.Sub(seen.At) > leavingLife {
		return
	}
	for _, upstream := range seen.Upstreams {
		if s, ok := g.service(upstream.Team, upstream.Service); ok {
			s.drainSeen(now, upstream.Upstream)
		}
	}
}

// service returns a running service.
func (g *Gateway) service(team, name string) (*service, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.teams[team]
	if !ok {
		return nil, false
	}
	s, ok := t.services[name]
	return s, ok
}

func (s *service) leaving(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Leaving(now)
}

func (s *service) drainSeen(now time.Time, upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.DrainSeen(now, upstream)
}
