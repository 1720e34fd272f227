package gateway

import (
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// leavingMaxAge is the age above which another VM's message about leaving
// upstreams is ignored.
const leavingMaxAge = 30 * time.Second

// publishLeaving reports to the agent the upstreams that this VM itself recently
// saw leaving.
func (g *Gateway) publishLeaving(bus message.Publisher) error {
	now := time.Now()
	leaving := exchange.DrainNotice{VM: g.options.VM, At: now}
	for _, s := range g.services() {
		for _, name := range s.leavingUpstreams(now) {
			leaving.Upstreams = append(leaving.Upstreams,
				exchange.LeavingUpstream{Team: s.team, Service: s.name, Upstream: name})
		}
	}
	if len(leaving.Upstreams) == 0 {
		return nil
	}
	m, err := exchange.DrainNoticeMessage(leaving)
	if err != nil {
		return err
	}
	return bus.Publish(m.GetTopic(), exchange.NewBusMessage(m.GetKey(), m.GetRevision(), m.GetPayload()))
}

// receiveLeaving applies another VM's report of leaving upstreams.
func (g *Gateway) receiveLeaving(m *message.Message) {
	leaving, err := exchange.DecodeDrainNotice(m.Payload)
	if err != nil {
		g.options.Counters.Add(telemetry.GroupPeers, "leaving_malformed", 1)
		return
	}
	now := time.Now()
	if leaving.VM == g.options.VM || now.Sub(leaving.At) > leavingMaxAge {
		return
	}
	for _, upstream := range leaving.Upstreams {
		if s, ok := g.service(upstream.Team, upstream.Service); ok {
			s.markDraining(now, upstream.Upstream)
		}
	}
}

// service returns a team's service by name.
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

// leavingUpstreams returns the upstreams that this VM itself recently saw leaving.
func (s *service) leavingUpstreams(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.OwnDrainNotices(now)
}

// markDraining records another VM's drain notice.
func (s *service) markDraining(now time.Time, upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.AddDrainNotice(now, upstream)
}
