package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/platform"
)

// StatusReader reads the view of the agent at an address.
type StatusReader interface {
	Status(ctx context.Context, address string) (*api.StatusReply, error)
}

// VMStatus is which revision of a team one VM has.
type VMStatus struct {
	VM        string `json:"vm"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reachable"`
	Ready     bool   `json:"ready"`
	State     string `json:"state,omitempty"`
	// AgentRevision and GatewayRevision are 0 when the VM has none.
	AgentRevision   uint64 `json:"agent_revision"`
	GatewayRevision uint64 `json:"gateway_revision"`
	// GatewayReportAge is the age of the gateway's report in milliseconds.
	GatewayReportAge int64 `json:"gateway_report_age_ms"`
}

func (a *Admin) getStatus(w http.ResponseWriter, r *http.Request) {
	vms, err := a.options.Membership.VMs(r.Context())
	if err != nil {
		a.refuse(w, http.StatusServiceUnavailable, "membership_unavailable", "the platform's list can't be read")
		return
	}
	team := chi.URLParam(r, "team")
	all := make([]VMStatus, len(vms))
	var pending sync.WaitGroup
	for i, vm := range vms {
		pending.Go(func() { all[i] = a.readStatus(r.Context(), vm, team) })
	}
	pending.Wait()
	writeJSON(w, all)
}

func (a *Admin) readStatus(ctx context.Context, vm platform.VM, team string) VMStatus {
	status := VMStatus{VM: vm.Name, Zone: vm.Zone}
	reply, err := a.options.Status.Status(ctx, vm.Address)
	if err != nil {
		return status
	}
	status.Reachable = true
	status.Ready = reply.GetReady()
	status.State = reply.GetProcessState()
	status.AgentRevision = revisionOf(reply.GetAgentRevisions(), team)
	for _, g := range reply.GetGateways() {
		status.GatewayRevision = revisionOf(g.GetRevisions(), team)
		status.GatewayReportAge = time.Since(time.UnixMilli(g.GetReportedUnixMs())).Milliseconds()
	}
	return status
}

func revisionOf(revisions []*api.TeamRevision, team string) uint64 {
	for _, r := range revisions {
		if r.GetTeam() == team {
			return r.GetRevision()
		}
	}
	return 0
}

// Agents reaches the agents of the VMs. It implements Pusher and StatusReader.
type Agents struct {
	name string
	own  string

	mu      sync.Mutex
	clients map[string]*exchange.Client
}

// NewAgents returns Agents for the process called name whose VM's agent is at
// own (IP:port).
func NewAgents(name, own string) *Agents {
	return &Agents{name: name, own: own, clients: make(map[string]*exchange.Client)}
}

func (a *Agents) client(address string) *exchange.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	client, ok := a.clients[address]
	if !ok {
		client = exchange.NewClient(address, nil)
		a.clients[address] = client
	}
	return client
}

// Status reads the view of the agent at address.
func (a *Agents) Status(ctx context.Context, address string) (*api.StatusReply, error) {
	return a.client(address).Status(ctx)
}

// Push hands a configuration to the VM's own agent.
func (a *Agents) Push(ctx context.Context, c merge.Config) error {
	payload, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	m := &api.Message{Topic: exchange.TopicConfig, Key: c.Team, Revision: c.Revision, Payload: payload}
	_, err = a.client(a.own).PublishMessages(ctx, a.name, []*api.Message{m})
	return err
}
