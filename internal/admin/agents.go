package admin

import (
	"context"
	"sync"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// Pusher sends a committed configuration to the agent at an address, which
// distributes it to the other VMs.
type Pusher interface {
	Push(ctx context.Context, address string, c merge.Config) error
}

// maxPushAttempts is the largest number of agents to which a push of a committed
// configuration is attempted.
const maxPushAttempts = 3

// push sends a committed configuration to this VM's agent or, if that fails, to the
// agents of other VMs until one accepts it. If none does, push only logs a warning,
// because the agents also read changes from the table's feed.
func (a *Admin) push(ctx context.Context, c merge.Config) {
	err := a.options.Pusher.Push(ctx, a.options.Agent, c)
	if err == nil {
		return
	}
	a.options.Counters.Add(telemetry.GroupPeers, "push_failed", 1)
	vms, listErr := a.options.VMs.VMs(ctx)
	if listErr != nil {
		vms = nil
	}
	attempts := 1
	for _, vm := range vms {
		if vm.Address == a.options.Agent || vm.Leaving || attempts == maxPushAttempts {
			continue
		}
		attempts++
		if err = a.options.Pusher.Push(ctx, vm.Address, c); err == nil {
			return
		}
		a.options.Counters.Add(telemetry.GroupPeers, "push_failed", 1)
	}
	a.options.Log.Warn("configuration not pushed, agents will read it from the feed", telemetry.FieldError, err)
}

// Agents is a pool of clients of the VMs' agents. It implements Pusher and
// StatusReader and is safe for concurrent use.
type Agents struct {
	name   string
	dialer exchange.Dialer

	mu      sync.Mutex
	clients map[string]*exchange.Client
}

// NewAgents returns an empty pool. name is the sender of its messages. The clients
// connect with dialer or, if it is nil, over the network.
func NewAgents(name string, dialer exchange.Dialer) *Agents {
	return &Agents{name: name, dialer: dialer, clients: make(map[string]*exchange.Client)}
}

// maxClients is the largest number of clients in the pool. When one more is needed, all
// are closed and removed; they are created again on demand.
const maxClients = 256

// client returns the client of the agent at address and creates it if needed.
func (a *Agents) client(address string) *exchange.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	client, ok := a.clients[address]
	if ok {
		return client
	}
	if len(a.clients) >= maxClients {
		a.closeAllLocked()
	}
	client = exchange.NewClient(address, a.dialer)
	a.clients[address] = client
	return client
}

// closeAllLocked closes and removes all clients without waiting for their running
// calls; a.mu has to be held.
func (a *Agents) closeAllLocked() {
	for _, client := range a.clients {
		go func() { _ = client.Close() }()
	}
	clear(a.clients)
}

// Close closes all clients.
func (a *Agents) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeAllLocked()
}

// Status returns the status of the agent at address.
func (a *Agents) Status(ctx context.Context, address string) (*api.StatusReply, error) {
	return a.client(address).Status(ctx)
}

// Push sends a committed configuration to the agent at address.
func (a *Agents) Push(ctx context.Context, address string, c merge.Config) error {
	m, err := exchange.ConfigMessage(exchange.TopicCommit, c)
	if err != nil {
		return err
	}
	_, err = a.client(address).Publish(ctx, a.name, []*api.Message{m})
	return err
}
