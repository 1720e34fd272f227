package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// reportInterval is the time between two reports of the gateway to its agent.
const reportInterval = 500 * time.Millisecond

// Report is what a gateway tells its agent about itself.
type Report struct {
	// Revisions holds the revision in force of each team.
	Revisions []TeamRevision `json:"revisions"`
}

// TeamRevision is the revision of a team that is in force.
type TeamRevision struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}

// Follow applies the configurations that arrive on the bus and reports the
// revisions in force, until ctx ends. onFirst runs after the first
// configuration was handled.
func (g *Gateway) Follow(ctx context.Context, bus Bus, onFirst func()) error {
	router, err := message.NewRouter(message.RouterConfig{}, telemetry.NewBusLogger(g.options.Log))
	if err != nil {
		return errors.Wrap(err, "build router")
	}
	router.AddConsumerHandler("config", exchange.TopicConfig, bus, func(m *message.Message) error {
		g.receive(m)
		onFirst()
		return nil
	})
	go g.reportLoop(ctx, bus)
	return router.Run(ctx)
}

// Bus is the connection to this VM's agent.
type Bus interface {
	message.Publisher
	message.Subscriber
}

// receive applies one configuration; an unreadable message is counted and
// dropped.
func (g *Gateway) receive(m *message.Message) {
	var c merge.Config
	if err := json.Unmarshal(m.Payload, &c); err != nil {
		g.options.Counters.Add(telemetry.GroupPeers, "config_unreadable", 1)
		return
	}
	g.Apply(c)
}

func (g *Gateway) reportLoop(ctx context.Context, bus message.Publisher) {
	for ctx.Err() == nil {
		if err := g.report(bus); err != nil {
			g.options.Counters.Add(telemetry.GroupPeers, "agent_unreachable", 1)
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
		}
	}
}

// report publishes the revisions in force. The time orders reports, also
// across restarts of the gateway.
func (g *Gateway) report(bus message.Publisher) error {
	sequence := uint64(time.Now().UnixNano())
	var report Report
	for _, c := range g.Configs() {
		report.Revisions = append(report.Revisions, TeamRevision{Team: c.Team, Revision: c.Revision})
	}
	payload, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return bus.Publish(exchange.TopicGateway, exchange.NewBusMessage(g.options.VM, sequence, payload))
}
