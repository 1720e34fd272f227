package admin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// StatusReader reads the view of the agent at an address.
type StatusReader interface {
	Status(ctx context.Context, address string) (*api.StatusReply, error)
}

// maxStatusReads limits the agents that are asked at once.
const maxStatusReads = 32

// VMStatus is which revision of a team one VM has.
type VMStatus struct {
	VM        string `json:"vm"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reachable"`
	Ready     bool   `json:"ready"`
	State     string `json:"state,omitempty"`
	// Membership is the state of the VM in the view of this VM's agent.
	Membership string `json:"membership,omitempty"`
	// ConfigSource tells where the VM loaded its first state from: table, peers
	// or none.
	ConfigSource string `json:"config_source,omitempty"`
	// CutOff tells that the VM serves on without contact to the table or a peer.
	CutOff bool `json:"cut_off,omitempty"`
	// AgentRevision and GatewayRevision are 0 when the VM has none.
	AgentRevision   uint64 `json:"agent_revision"`
	GatewayRevision uint64 `json:"gateway_revision"`
	// RejectedRevision is a later revision whose settings the gateway can't
	// read; 0 means none.
	RejectedRevision uint64 `json:"rejected_revision,omitempty"`
	// GatewayReportAge is the age of the gateway's report in milliseconds.
	GatewayReportAge int64 `json:"gateway_report_age_ms"`
}

func (a *Admin) getStatus(w http.ResponseWriter, r *http.Request) {
	vms, err := a.knownVMs(r.Context())
	if err != nil {
		a.refuse(w, http.StatusServiceUnavailable, "membership_unavailable",
			"neither the platform's list nor this VM's agent can be read")
		return
	}
	team := chi.URLParam(r, "team")
	all := make([]VMStatus, len(vms))
	slots := make(chan struct{}, maxStatusReads)
	var pending sync.WaitGroup
	for i, vm := range vms {
		pending.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			all[i] = a.readStatus(r.Context(), vm, team)
		})
	}
	pending.Wait()
	writeJSON(w, all)
}

// knownVM is a VM that the platform's list or this VM's agent knows.
type knownVM struct {
	platform.VM
	membership string
}

// knownVMs joins the platform's list with the view of this VM's agent. It
// returns an error when neither can be read.
func (a *Admin) knownVMs(ctx context.Context) ([]knownVM, error) {
	vms, err := a.options.Membership.VMs(ctx)
	if err != nil {
		a.options.Counters.Add(telemetry.GroupStore, "list_failed", 1)
	}
	own, ownErr := a.options.Status.Status(ctx, a.options.Agent)
	if ownErr != nil {
		a.options.Counters.Add(telemetry.GroupPeers, "agent_unreachable", 1)
	}
	if err != nil && ownErr != nil {
		return nil, err
	}
	known := make(map[string]knownVM, len(vms))
	for _, vm := range vms {
		known[vm.Name] = knownVM{VM: vm}
	}
	for _, m := range append(own.GetMembers(), own.GetSelf()) {
		if m.GetVm() == "" {
			continue
		}
		known[m.GetVm()] = knownVM{
			VM:         platform.VM{Name: m.GetVm(), Zone: m.GetZone(), Address: m.GetAddress()},
			membership: m.GetState(),
		}
	}
	all := make([]knownVM, 0, len(known))
	for _, vm := range known {
		all = append(all, vm)
	}
	slices.SortFunc(all, func(a, b knownVM) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

func (a *Admin) readStatus(ctx context.Context, vm knownVM, team string) VMStatus {
	status := VMStatus{VM: vm.Name, Zone: vm.Zone, Membership: vm.membership}
	reply, err := a.options.Status.Status(ctx, vm.Address)
	if err != nil {
		return status
	}
	status.Reachable = true
	status.Ready = reply.GetReady()
	status.State = reply.GetProcessState()
	status.ConfigSource = reply.GetConfigSource()
	status.CutOff = reply.GetCutOff()
	status.AgentRevision = revisionOf(reply.GetAgentRevisions(), team)
	for _, g := range reply.GetGateways() {
		status.GatewayRevision = revisionOf(g.GetRevisions(), team)
		status.RejectedRevision = revisionOf(g.GetRejected(), team)
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
