package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

const (
	// reportInterval is the time between two reports of the gateway to its
	// agent.
	reportInterval = 500 * time.Millisecond
	// minReportInterval is the shortest time between two reports; it applies
	// when a configuration was received.
	minReportInterval = 50 * time.Millisecond
)

// FollowBus applies the configurations that arrive on the bus and reports the
// active revisions, until ctx ends. It calls onReady once every revision that the
// agent had when it finished loading has been applied or rejected, and again
// after each later message; onReady must tolerate repeated calls.
func (g *Gateway) FollowBus(ctx context.Context, bus Bus, onReady func()) error {
	router, err := message.NewRouter(message.RouterConfig{}, telemetry.NewBusLogger(g.options.Log))
	if err != nil {
		return errors.Wrap(err, "build router")
	}
	received := make(chan struct{}, 1)
	router.AddConsumerHandler("config", exchange.TopicConfig, bus, func(m *message.Message) error {
		g.receiveConfig(m)
		g.readiness.check(g, onReady)
		select {
		case received <- struct{}{}:
		default:
		}
		return nil
	})
	router.AddConsumerHandler("bootstrap", exchange.TopicBootstrap, bus, func(m *message.Message) error {
		g.readiness.setExpected(m.Payload)
		g.readiness.check(g, onReady)
		return nil
	})
	router.AddConsumerHandler("upstream", exchange.TopicUpstream, bus, func(m *message.Message) error {
		g.receiveProbeResult(m)
		return nil
	})
	router.AddConsumerHandler("leaving", exchange.TopicLeaving, bus, func(m *message.Message) error {
		g.receiveLeaving(m)
		return nil
	})
	go g.reportLoop(ctx, bus, received)
	return router.Run(ctx)
}

// Bus is the connection to this VM's agent.
type Bus interface {
	message.Publisher
	message.Subscriber
}

// receiveConfig applies one configuration. An unreadable message is counted and
// dropped.
func (g *Gateway) receiveConfig(m *message.Message) {
	c, err := exchange.DecodeConfig(m.Payload)
	if err != nil {
		g.options.Counters.Add(telemetry.GroupPeers, "config_malformed", 1)
		return
	}
	g.Apply(c)
}

// readiness holds the revisions that a gateway must process before it is ready.
type readiness struct {
	mu          sync.Mutex
	expected    []*api.TeamRevision
	hasExpected bool
}

// setExpected sets the revisions that the agent had when it finished loading. An
// unreadable payload is ignored.
func (r *readiness) setExpected(payload []byte) {
	var bootstrap api.Bootstrap
	if err := proto.Unmarshal(payload, &bootstrap); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = bootstrap.GetRevisions()
	r.hasExpected = true
}

// check calls onReady if every expected revision was processed.
func (r *readiness) check(g *Gateway, onReady func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasExpected {
		return
	}
	for _, wanted := range r.expected {
		if !g.hasHandled(wanted.GetTeam(), wanted.GetRevision()) {
			return
		}
	}
	onReady()
}

// hasHandled reports whether the revision, or a later one, is active or was
// rejected.
func (g *Gateway) hasHandled(team string, revision uint64) bool {
	return g.configs.Revision(team) >= revision || g.rejected.revision(team) >= revision
}

// rejections holds, for each team, the highest revision whose settings could not
// be parsed. It is safe for concurrent use.
type rejections struct {
	mu    sync.Mutex
	teams map[string]uint64
}

func newRejections() *rejections {
	return &rejections{teams: make(map[string]uint64)}
}

func (r *rejections) add(team string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.teams[team] = max(r.teams[team], revision)
}

func (r *rejections) revision(team string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.teams[team]
}

// newerRejections returns the rejected revisions that are higher than the active
// ones.
func (g *Gateway) newerRejections() []exchange.TeamRevision {
	g.rejected.mu.Lock()
	defer g.rejected.mu.Unlock()
	var above []exchange.TeamRevision
	for team, revision := range g.rejected.teams {
		if revision > g.configs.Revision(team) {
			above = append(above, exchange.TeamRevision{Team: team, Revision: revision})
		}
	}
	return above
}

// reportLoop sends a report at each interval, and soon after a configuration was
// received, until ctx ends.
func (g *Gateway) reportLoop(ctx context.Context, bus message.Publisher, received <-chan struct{}) {
	for ctx.Err() == nil {
		if err := g.publishReport(bus); err != nil {
			g.options.Counters.Add(telemetry.GroupPeers, "agent_unreachable", 1)
		}
		select {
		case <-time.After(minReportInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-received:
		case <-time.After(reportInterval - minReportInterval):
		case <-ctx.Done():
		}
	}
}

// publishReport publishes the active and the rejected revisions, the leaving
// upstreams and the upstreams to probe. Reports are ordered by time, so that the
// order also holds across restarts of the gateway.
func (g *Gateway) publishReport(bus message.Publisher) error {
	sequence := uint64(time.Now().UnixNano())
	report := exchange.GatewayReport{Rejected: g.newerRejections()}
	for _, c := range g.Configs() {
		report.Revisions = append(report.Revisions, exchange.TeamRevision{Team: c.Team, Revision: c.Revision})
	}
	payload, err := json.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if err := bus.Publish(exchange.TopicGateway, exchange.NewBusMessage(g.options.VM, sequence, payload)); err != nil {
		return err
	}
	if err := g.publishLeaving(bus); err != nil {
		return err
	}
	return g.publishProbeTargets(bus)
}
