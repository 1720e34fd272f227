package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/configstore"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/telemetry"
)

// busBufferSize is the buffer of each subscription to the internal bus, in messages.
const busBufferSize = 256

// Options configures an Agent.
type Options struct {
	VM   string
	Zone string
	// Address is where other processes reach the agent, as IP:port.
	Address string
	// FeedInterval is the time between two reads of the table's feed of changes, and
	// HeartbeatInterval the time between two rounds of heartbeats.
	FeedInterval      time.Duration
	HeartbeatInterval time.Duration
	Table             platform.Table
	VMs               platform.VMLister
	Log               hclog.Logger
	Counters          *telemetry.Counters
	Lifecycle         *process.Lifecycle
	// Dialer opens connections to other agents; nil uses the network.
	Dialer exchange.Dialer
	// ProbesPerSecond limits the load probes of this VM; 0 disables probes.
	ProbesPerSecond int
	// DialUpstream opens connections to upstreams; nil uses the network.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed seeds the random choices, in addition to the start time.
	Seed uint64
}

// Agent is the agent of one VM. It implements the drpc exchange and is safe for
// concurrent use.
type Agent struct {
	options Options
	// configs holds the active team configurations, and store reads them from the
	// table.
	configs     *merge.Store
	store       *configstore.Store
	hub         *exchange.Hub
	bus         *gochannel.GoChannel
	status      *gatewayStatus
	peers       *peerClients
	lastContact *contactTimes
	prober      *prober
	// background counts the running loops and calls to peers; Run waits for them.
	background sync.WaitGroup

	mu   sync.Mutex
	view *membership.View
	rnd  *rand.Rand
	// configSource is where the configuration was loaded from at the start.
	configSource configSource
	// publishedLive is the number of live VMs that was last published to the gateway.
	publishedLive membership.Count
}

// New returns an Agent that is idle until Run is called. It returns an error when the
// state machine of VMs is invalid.
func New(options Options) (*Agent, error) {
	now := time.Now()
	view, err := membership.New(membership.Options{Self: membership.Member{
		VM: options.VM, Zone: options.Zone, Address: options.Address,
		Incarnation: membership.NewIncarnation(now),
	}})
	if err != nil {
		return nil, err
	}
	logger := telemetry.NewBusLogger(options.Log)
	a := &Agent{
		options:      options,
		configs:      merge.NewStore(),
		store:        configstore.New(options.Table),
		hub:          exchange.NewHub(),
		bus:          gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBufferSize}, logger),
		status:       newGatewayStatus(),
		peers:        newPeerClients(options.Dialer),
		lastContact:  newContactTimes(now),
		view:         view,
		rnd:          rand.New(rand.NewPCG(options.Seed, uint64(now.UnixNano()))),
		configSource: sourceNone,
	}
	a.prober = a.newAgentProber()
	return a, nil
}

var _ api.DRPCExchangeServer = (*Agent)(nil)

// Run runs the agent until ctx ends, then announces to other VMs that this one is
// leaving.
func (a *Agent) Run(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{}, telemetry.NewBusLogger(a.options.Log))
	if err != nil {
		return errors.Wrap(err, "build router")
	}
	router.AddConsumerHandler("config", exchange.TopicConfig, a.bus, a.handleConfig)
	router.AddConsumerHandler("commit", exchange.TopicCommit, a.bus, a.handleCommit)
	router.AddConsumerHandler("gateway", exchange.TopicGateway, a.bus, a.handleGateway)
	router.AddConsumerHandler("leaving", exchange.TopicLeaving, a.bus, a.handleLeaving)
	router.AddConsumerHandler("probe_needs", exchange.TopicProbeNeeds, a.bus, a.handleProbeNeeds)
	for _, loop := range []func(context.Context){a.followFeed, a.followList, a.heartbeatLoop, a.probeLoop} {
		a.background.Go(func() {
			<-router.Running()
			loop(ctx)
		})
	}
	err = router.Run(ctx)
	a.announceLeave(ctx)
	a.background.Wait()
	a.peers.closeAll()
	return err
}

// handleGateway stores a gateway's report. An invalid one is counted and dropped.
func (a *Agent) handleGateway(m *message.Message) error {
	if !a.status.record(exchange.Key(m), exchange.Revision(m), m.Payload, time.Now()) {
		a.options.Counters.Add(telemetry.GroupPeers, "report_unreadable", 1)
	}
	return nil
}
