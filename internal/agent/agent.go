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
	// ProbesPerSecond is the VM's budget for measuring; 0 means no probes.
	ProbesPerSecond int
	// DialUpstream opens connections to upstreams; nil stands for the network.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed seeds the random choices.
	Seed uint64
}

// Agent is the agent of one VM. It implements the drpc exchange.
type Agent struct {
	options Options
	configs *merge.Store
	store   *configstore.Store
	hub     *exchange.Hub
	bus     *gochannel.GoChannel
	status  *gatewayStatus
	peers   *peerClients
	contact *contact
	prober  *prober
	// background are the calls to peers that run on their own.
	background sync.WaitGroup

	mu   sync.Mutex
	view *membership.View
	rnd  *rand.Rand
	// source tells where the first state came from.
	source source
	// live is the count that was published last.
	live membership.Count
}

// New returns an Agent that does nothing until Run. It returns an error when
// the chart of VMs is at fault.
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
		options: options,
		configs: merge.NewStore(),
		store:   configstore.New(options.Table),
		hub:     exchange.NewHub(),
		bus:     gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBuffer}, logger),
		status:  newGatewayStatus(),
		peers:   newPeerClients(options.Dialer),
		contact: newContact(now),
		view:    view,
		rnd:     rand.New(rand.NewPCG(options.Seed, uint64(now.UnixNano()))),
		source:  sourceNone,
	}
	a.prober = a.newAgentProber()
	return a, nil
}

var _ api.DRPCExchangeServer = (*Agent)(nil)

// Run runs the agent until ctx ends.
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
	a.leave(ctx)
	a.background.Wait()
	a.peers.closeAll()
	return err
}

// handleGateway keeps what a gateway reports of itself.
func (a *Agent) handleGateway(m *message.Message) error {
	if !a.status.record(exchange.Key(m), exchange.Revision(m), m.Payload, time.Now()) {
		a.options.Counters.Add(telemetry.GroupPeers, "report_unreadable", 1)
	}
	return nil
}
