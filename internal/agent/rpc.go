package agent

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// Limits on what other processes may send.
const (
	maxMessages  = 1024
	maxKeyBytes  = 256
	maxGateways  = 16
	maxNameBytes = 128
)

// errTooLarge means that a request exceeds the limits.
var errTooLarge = errors.New("agent: request exceeds the limits")

// Publish puts messages from other processes on the agent's bus. Messages that
// isAccepted rejects are counted and dropped. It returns errTooLarge for more than
// maxMessages messages.
func (a *Agent) Publish(_ context.Context, request *api.PublishRequest) (*api.PublishReply, error) {
	if len(request.GetMessages()) > maxMessages {
		a.options.Counters.Add(telemetry.GroupPeers, "publish_too_large", 1)
		return nil, errTooLarge
	}
	reply := &api.PublishReply{}
	for _, m := range request.GetMessages() {
		if !isAccepted(m) {
			a.options.Counters.Add(telemetry.GroupPeers, "message_refused", 1)
			continue
		}
		bus := exchange.NewBusMessage(m.GetKey(), m.GetRevision(), m.GetPayload())
		if err := a.bus.Publish(m.GetTopic(), bus); err != nil {
			return nil, err
		}
		reply.Accepted++
	}
	return reply, nil
}

// isAccepted reports whether the agent handles the message's topic and its key is
// short enough.
func isAccepted(m *api.Message) bool {
	topics := []string{
		exchange.TopicConfig, exchange.TopicCommit, exchange.TopicGateway, exchange.TopicProbeNeeds,
		exchange.TopicLeaving,
	}
	return slices.Contains(topics, m.GetTopic()) && len(m.GetKey()) <= maxKeyBytes
}

// Subscribe streams the latest messages of the requested topics to another process.
func (a *Agent) Subscribe(request *api.SubscribeRequest, stream api.DRPCExchange_SubscribeStream) error {
	return a.hub.ServeSubscriber(request, stream)
}

// Heartbeat merges another agent's heartbeat and replies with this agent's state.
func (a *Agent) Heartbeat(_ context.Context, request *api.HeartbeatRequest) (*api.HeartbeatReply, error) {
	a.mergeMembers(request.GetSender(), request.GetMembers())
	a.mu.Lock()
	defer a.mu.Unlock()
	return &api.HeartbeatReply{
		Receiver: toAPIMember(a.view.Self()),
		Members:  toAPIMembers(a.view.Updates(request.GetSender().GetVm())),
		Digest:   a.digest(),
	}, nil
}

// Snapshot returns the configurations that are newer than those the caller has.
func (a *Agent) Snapshot(_ context.Context, request *api.SnapshotRequest) (*api.SnapshotReply, error) {
	if len(request.GetKnown()) > merge.MaxTeams || len(request.GetShards()) > merge.Shards {
		a.options.Counters.Add(telemetry.GroupPeers, "snapshot_too_large", 1)
		return nil, errTooLarge
	}
	return a.snapshot(request), nil
}

// Status returns the agent's state for operators.
func (a *Agent) Status(_ context.Context, _ *api.StatusRequest) (*api.StatusReply, error) {
	a.mu.Lock()
	self := toAPIMember(a.view.Self())
	members := toAPIMembers(a.view.Members())
	a.mu.Unlock()
	return &api.StatusReply{
		Self:           self,
		Members:        members,
		AgentRevisions: a.revisions(nil),
		Gateways:       a.status.all(),
		Ready:          a.options.Lifecycle.IsReady(),
		ProcessState:   string(a.options.Lifecycle.State()),
		ConfigSource:   string(a.currentConfigSource()),
		CutOff:         a.lastContact.isCutOff(time.Now()),
		IsFeedReader:   a.isFeedReader(),
	}, nil
}
