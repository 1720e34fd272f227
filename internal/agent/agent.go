package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/telemetry"
)

// busBuffer is the number of messages that wait on the internal bus.
const busBuffer = 256

// Options are what an Agent is built from.
type Options struct {
	VM   string
	Zone string
	// Address is where other processes reach the agent, as IP:port.
	Address           string
	FeedInterval      time.Duration
	HeartbeatInterval time.Duration
	Table             platform.Table
	Membership        platform.Membership
	Log               hclog.Logger
	Counters          *telemetry.Counters
	Life              *process.Life
	// Dialer opens connections to other agents; nil stands for the network.
	Dialer exchange.Dialer
}

// Agent is the agent of one VM. It implements the drpc exchange.
type Agent struct {
	options Options
	configs *merge.Store
	store   *configstore.Store
	hub     *exchange.Hub
	bus     *gochannel.GoChannel
	status  *gatewayStatus
}

// New returns an Agent that does nothing until Run.
func New(options Options) *Agent {
	logger := telemetry.NewBusLogger(options.Log)
	return &Agent{
		options: options,
		configs: merge.NewStore(),
		store:   configstore.New(options.Table),
		hub:     exchange.NewHub(),
		bus:     gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBuffer}, logger),
		status:  newGatewayStatus(),
	}
}

var _ api.DRPCExchangeServer = (*Agent)(nil)

// Run runs the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{}, telemetry.NewBusLogger(a.options.Log))
	if err != nil {
		return errors.Wrap(err, "build router")
	}
	router.AddConsumerHandler("config", exchange.TopicConfig, a.bus, a.handleConfig)
	router.AddConsumerHandler("gateway", exchange.TopicGateway, a.bus, a.handleGateway)
	go func() {
		<-router.Running()
		a.followFeed(ctx)
	}()
	return router.Run(ctx)
}

// handleConfig puts a configuration in force and hands it to the VM's gateway.
func (a *Agent) handleConfig(m *message.Message) error {
	c, ok := decodeConfig(m.Payload)
	if !ok {
		a.options.Counters.Add(telemetry.GroupPeers, "config_unreadable", 1)
		return nil
	}
	if !a.configs.Apply(c) {
		a.options.Counters.Add(telemetry.GroupConfig, "not_newer", 1)
		return nil
	}
	a.options.Counters.Add(telemetry.GroupConfig, "applied", 1)
	a.options.Counters.Set(telemetry.GroupRevision, c.Team, int64(c.Revision))
	a.options.Log.Info("team configuration accepted",
		telemetry.FieldTeam, c.Team, telemetry.FieldRevision, c.Revision)
	a.hub.Publish(&api.Message{
		Topic: exchange.TopicConfig, Key: c.Team, Revision: c.Revision, Payload: m.Payload,
	})
	return nil
}

// decodeConfig reads a configuration from another process.
func decodeConfig(payload []byte) (merge.Config, bool) {
	var c merge.Config
	err := json.Unmarshal(payload, &c)
	return c, err == nil && c.Team != ""
}

// handleGateway keeps what a gateway reports of itself.
func (a *Agent) handleGateway(m *message.Message) error {
	if !a.status.record(exchange.Key(m), m.Payload, time.Now()) {
		a.options.Counters.Add(telemetry.GroupPeers, "report_unreadable", 1)
	}
	return nil
}

// publishConfig puts a configuration on the agent's bus.
func (a *Agent) publishConfig(c merge.Config) error {
	payload, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	return a.bus.Publish(exchange.TopicConfig, exchange.NewBusMessage(c.Team, c.Revision, payload))
}
