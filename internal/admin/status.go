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

// StatusReader reads the status of the agent at an address.
type StatusReader interface {
	Status(ctx context.Context, address string) (*api.StatusReply, error)
}

// maxConcurrentStatusReads limits the agents whose status is read concurrently.
const maxConcurrentStatusReads = 32

// VMStatus is the state of one VM and the revisions of one team's configuration that
// it has.
type VMStatus struct {
	VM        string `json:"vm"`
	Zone      string `json:"zone"`
	Reachable bool   `json:"reachable"`
	Ready     bool   `json:"ready"`
	State     string `json:"state,omitempty"`
	// Membership is the VM's state according to the agent of the VM that serves the
	// request; it is empty if the agent does not know the VM.
	Membership string `json:"membership,omitempty"`
	// ConfigSource is where the VM loaded its first configuration from: table, peers
	// or none.
	ConfigSource string `json:"config_source,omitempty"`
	// CutOff means that the VM keeps serving without contact to the table or to any
	// other VM.
	CutOff bool `json:"cut_off,omitempty"`
	// AgentRevision and GatewayRevision are the revisions that the VM's agent and
	// gateway have; 0 means none.
	AgentRevision   uint64 `json:"agent_revision"`
	GatewayRevision uint64 `json:"gateway_revision"`
	// RejectedRevision is a later revision that the gateway rejected because its
	// settings are invalid; 0 means none.
	RejectedRevision uint64 `json:"rejected_revision,omitempty"`
	// GatewayReportAge is the age of the gateway's last report in milliseconds.
	GatewayReportAge int64 `json:"gateway_report_age_ms"`
}

// getStatus responds with the status of every known VM, sorted by name.
func (a *Admin) getStatus(w http.ResponseWriter, r *http.Request) {
	vms, err := a.knownVMs(r.Context())
	if err != nil {
		a.refuse(w, http.StatusServiceUnavailable, "membership_unavailable",
			"neither the platform's list nor this VM's agent can be read")
		return
	}
	team := chi.URLParam(r, "team")
	statuses := make([]VMStatus, len(vms))
	sem := make(chan struct{}, maxConcurrentStatusReads)
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			statuses[i] = a.readStatus(r.Context(), vm, team)
		})
	}
	wg.Wait()
	writeJSON(w, statuses)
}

// knownVM is a VM from the platform's list or from the members that this VM's agent
// knows.
type knownVM struct {
	platform.VM
	// membership is the VM's state according to this VM's agent; it is empty if the
	// agent does not know the VM.
	membership string
}

// knownVMs merges the platform's list of VMs with the members that this VM's agent
// knows. The agent's data is used for a VM that is in both. It returns an error only
// if neither can be read.
func (a *Admin) knownVMs(ctx context.Context) ([]knownVM, error) {
	vms, err := a.options.VMs.VMs(ctx)
	if err != nil {
		a.options.Counters.Add(telemetry.GroupStore, "list_failed", 1)
	}
	local, localErr := a.options.Status.Status(ctx, a.options.Agent)
	if localErr != nil {
		a.options.Counters.Add(telemetry.GroupPeers, "agent_unreachable", 1)
	}
	if err != nil && localErr != nil {
		return nil, err
	}
	known := make(map[string]knownVM, len(vms))
	for _, vm := range vms {
		known[vm.Name] = knownVM{VM: vm}
	}
	for _, m := range append(local.GetMembers(), local.GetSelf()) {
		if m.GetVm() == "" {
			continue
		}
		known[m.GetVm()] = knownVM{
			VM:         platform.VM{Name: m.GetVm(), Zone: m.GetZone(), Address: m.GetAddress()},
			membership: m.GetState(),
		}
	}
	sorted := make([]knownVM, 0, len(known))
	for _, vm := range known {
		sorted = append(sorted, vm)
	}
	slices.SortFunc(sorted, func(a, b knownVM) int { return strings.Compare(a.Name, b.Name) })
	return sorted, nil
}

// readStatus returns the status that the VM's agent reports. If the agent can't be
// reached, Reachable is false and the fields of its report are empty.
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
	status.AgentRevision = findRevision(reply.GetAgentRevisions(), team)
	for _, g := range reply.GetGateways() {
		status.GatewayRevision = findRevision(g.GetRevisions(), team)
		status.RejectedRevision = findRevision(g.GetRejected(), team)
		status.GatewayReportAge = time.Since(time.UnixMilli(g.GetReportedUnixMs())).Milliseconds()
	}
	return status
}

// findRevision returns the team's revision, or 0 if it is not in the list.
func findRevision(revisions []*api.TeamRevision, team string) uint64 {
	for _, r := range revisions {
		if r.GetTeam() == team {
			return r.GetRevision()
		}
	}
	return 0
}
