package agent

import (
	"context"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
)

// Publish delivers messages from other processes to the agent's bus.
func (a *Agent) Publish(_ context.Context, request *api.PublishRequest) (*api.PublishReply, error) {
	var accepted uint32
	for _, m := range request.GetMessages() {
		bus := exchange.NewBusMessage(m.GetKey(), m.GetRevision(), m.GetPayload())
		if err := a.bus.Publish(m.GetTopic(), bus); err != nil {
			return nil, err
		}
		accepted++
	}
	return &api.PublishReply{Accepted: accepted}, nil
}

// Subscribe streams the latest messages to another process.
func (a *Agent) Subscribe(request *api.SubscribeRequest, stream api.DRPCExchange_SubscribeStream) error {
	return a.hub.Stream(request, stream)
}

// Heartbeat answers another agent's heartbeat.
func (a *Agent) Heartbeat(_ context.Context, _ *api.HeartbeatRequest) (*api.HeartbeatReply, error) {
	return &api.HeartbeatReply{Receiver: a.self(), Digest: a.digest()}, nil
}

// Snapshot returns the configurations above those that the caller knows.
func (a *Agent) Snapshot(_ context.Context, request *api.SnapshotRequest) (*api.SnapshotReply, error) {
	known := make(map[string]uint64, len(request.GetKnown()))
	for _, k := range request.GetKnown() {
		known[k.GetTeam()] = k.GetRevision()
	}
	reply := &api.SnapshotReply{}
	for _, c := range a.configs.All() {
		if c.Revision > known[c.Team] {
			reply.Teams = append(reply.Teams, toTeamConfig(c))
		}
	}
	return reply, nil
}

func toTeamConfig(c merge.Config) *api.TeamConfig {
	return &api.TeamConfig{
		Team: c.Team, Revision: c.Revision, ChangeId: c.ChangeID,
		Settings: []byte(c.Settings), CommittedUnixMs: c.CommittedUnixMS,
	}
}

// Status returns the agent's view for operators.
func (a *Agent) Status(_ context.Context, _ *api.StatusRequest) (*api.StatusReply, error) {
	return &api.StatusReply{
		Self:           a.self(),
		AgentRevisions: a.digest(),
		Gateways:       a.status.all(),
		Ready:          a.options.Life.IsReady(),
		ProcessState:   string(a.options.Life.State()),
	}, nil
}

func (a *Agent) self() *api.Member {
	return &api.Member{Vm: a.options.VM, Zone: a.options.Zone, Address: a.options.Address}
}

func (a *Agent) digest() []*api.TeamRevision {
	var digest []*api.TeamRevision
	for _, c := range a.configs.All() {
		digest = append(digest, &api.TeamRevision{Team: c.Team, Revision: c.Revision})
	}
	return digest
}
