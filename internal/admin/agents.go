package admin

import (
	"context"
	"sync"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// Pusher hands a committed configuration to the agent at an address, which
// hands it on to the other VMs.
type Pusher interface {
	Push(ctx context.Context, address string, c merge.Config) error
}

// maxPushTries limits the agents that are tried until one takes a committed
// configuration.
const maxPushTries = 3

// push hands a committed configuration to this VM's agent or, when that is not
// there, to another one. When none takes it, the feed brings it.
func (a *Admin) push(ctx context.Context, c merge.Config) {
	err := a.options.Pusher.Push(ctx, a.options.Agent, c)
	if err == nil {
		return
	}
	a.options.Counters.Add(telemetry.GroupPeers, "push_failed", 1)
	vms, listErr := a.options.Membership.VMs(ctx)
	if listErr != nil {
		vms = nil
	}
	tries := 1
	for _, vm := range vms {
		if vm.Address == a.options.Agent || vm.Leaving || tries == maxPushTries {
			continue
		}
		tries++
		if err = a.options.Pusher.Push(ctx, vm.Address, c); err == nil {
			return
		}
		a.options.Counters.Add(telemetry.GroupPeers, "push_failed", 1)
	}
	a.options.Log.Warn("configuration not pushed; the feed brings it", telemetry.FieldError, err)
}

// Agents reaches the agents of the VMs. It implements Pusher and StatusReader.
type Agents struct {
	name   string
	dialer exchange.Dialer

	mu      sync.Mutex
	clients map[string]*exchange.Client
}

// NewAgents returns Agents for the process called name. dialer opens
// connections; nil stands for the network.
func NewAgents(name string, dialer exchange.Dialer) *Agents {
	return &Agents{name: name, dialer: dialer, clients: make(map[string]*exchange.Client)}
}

// maxClients limits the connections that are kept; beyond it all are closed
// and opened again as needed.
const maxClients = 256

func (a *Agents) client(address string) *exchange.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	client, ok := a.clients[address]
	if ok {
		return client
	}
	if len(a.clients) >= maxClients {
		a.dropLocked()
	}
	client = exchange.NewClient(address, a.dialer)
	a.clients[address] = client
	return client
}

func (a *Agents) dropLocked() {
	for _, client := range a.clients {
		go func() { _ = client.Close() }()
	}
	clear(a.clients)
}

// Close closes all connections.
func (a *Agents) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropLocked()
}

// Status reads the view of the agent at address.
func (a *Agents) Status(ctx context.Context, address string) (*api.StatusReply, error) {
	return a.client(address).Status(ctx)
}

// Push hands a committed configuration to the agent at address.
func (a *Agents) Push(ctx context.Context, address string, c merge.Config) error {
	m, err := exchange.ConfigMessage(exchange.TopicCommit, c)
	if err != nil {
		return err
	}
	_, err = a.client(address).PublishMessages(ctx, a.name, []*api.Message{m})
	return err
}
