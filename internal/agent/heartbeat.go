package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

const (
	// heartbeatFanOut is the number of heartbeats per interval, independent of the
	// number of VMs.
	heartbeatFanOut = 3
	// listInterval is the time between two reads of the platform's list by a VM that
	// reads the feed.
	listInterval = 5 * time.Second
	// idleListIntervals is the number of list intervals after which the other VMs
	// read the list too.
	idleListIntervals = 6
	// leaveTimeout limits the announcements of an agent that stops.
	leaveTimeout = 500 * time.Millisecond
)

// followList keeps the view up to date with the platform's list until ctx ends.
func (a *Agent) followList(ctx context.Context) {
	idle := 0
	for wait.For(ctx, listInterval) {
		idle++
		if !a.isFeedReader() && idle < idleListIntervals {
			continue
		}
		idle = 0
		a.refreshList(ctx)
	}
}

// refreshList reads the platform's list once and merges it; after an error the view
// is unchanged.
func (a *Agent) refreshList(ctx context.Context) {
	vms, err := a.options.VMs.VMs(ctx)
	if err != nil {
		a.options.Counters.Add(telemetry.GroupStore, "list_failed", 1)
		return
	}
	list := make([]membership.ListEntry, 0, len(vms))
	for _, vm := range vms {
		list = append(list, membership.ListEntry{VM: vm.Name, Zone: vm.Zone, Address: vm.Address, Leaving: vm.Leaving})
	}
	a.mu.Lock()
	refused := a.view.MergeList(time.Now(), list)
	a.mu.Unlock()
	a.options.Counters.Add(telemetry.GroupPeers, "listed_refused", int64(refused))
	a.publishLive()
}

// heartbeatLoop sends heartbeats until ctx ends.
func (a *Agent) heartbeatLoop(ctx context.Context) {
	for wait.For(ctx, a.options.HeartbeatInterval) {
		now := time.Now()
		a.mu.Lock()
		a.view.Tick(now)
		targets := a.view.Targets(heartbeatFanOut, a.rnd)
		a.mu.Unlock()
		for _, target := range targets {
			a.background.Go(func() { a.heartbeat(ctx, target) })
		}
		a.peers.closeIdle(now)
		a.publishLive()
		a.updateCutOffGauge(now)
	}
}

// updateCutOffGauge sets the gauge for being cut off from both the table and the
// peers.
func (a *Agent) updateCutOffGauge(now time.Time) {
	var gauge int64
	if a.lastContact.isCutOff(now) {
		gauge = 1
	}
	a.options.Counters.Set(telemetry.GroupConfig, "cut_off", gauge)
}

// publishLive publishes the number of live VMs to the gateway when it has changed.
func (a *Agent) publishLive() {
	a.mu.Lock()
	defer a.mu.Unlock()
	live := a.view.Live()
	if live == a.publishedLive {
		return
	}
	payload, err := proto.Marshal(&api.Membership{Live: uint32(live.All), LiveInZone: uint32(live.InZone)})
	if err != nil {
		return
	}
	a.publishedLive = live
	a.hub.Publish(&api.Message{Topic: exchange.TopicMembership, Key: a.options.VM, Payload: payload})
	a.options.Counters.Set(telemetry.GroupPeers, "live", int64(live.All))
}

// heartbeat exchanges membership updates with a peer. If the digests of the
// configurations differ, it also synchronizes the configurations both ways. The
// heartbeat counts as missed also when another VM replies at the peer's address.
func (a *Agent) heartbeat(ctx context.Context, target membership.Member) {
	a.mu.Lock()
	request := &api.HeartbeatRequest{
		Sender: toAPIMember(a.view.Self()), Members: toAPIMembers(a.view.Updates(target.VM)),
	}
	a.mu.Unlock()
	request.Digest = a.digest()
	reply, err := a.peers.get(target.Address).Heartbeat(ctx, request)
	if ctx.Err() != nil {
		return
	}
	isOtherVM := err == nil && reply.GetReceiver().GetVm() != target.VM
	if err != nil || isOtherVM {
		a.options.Counters.Add(telemetry.GroupPeers, "heartbeat_missed", 1)
		a.mu.Lock()
		a.view.RecordMiss(time.Now(), target.VM)
		a.mu.Unlock()
	}
	if err != nil {
		return
	}
	a.mergeMembers(reply.GetReceiver(), reply.GetMembers())
	if shards := a.differingShards(reply.GetDigest()); len(shards) > 0 {
		a.options.Counters.Add(telemetry.GroupPeers, "digest_differs", 1)
		if _, err := a.pull(ctx, target, shards); err != nil {
			a.options.Counters.Add(telemetry.GroupPeers, "pull_failed", 1)
		}
	}
}

// mergeMembers merges what a peer reported about itself and other VMs.
func (a *Agent) mergeMembers(peer *api.Member, members []*api.Member) {
	now := time.Now()
	others := make([]membership.Member, 0, membership.MaxUpdates)
	refused := max(len(members)-membership.MaxUpdates, 0)
	for _, m := range members[:len(members)-refused] {
		others = append(others, fromAPIMember(m))
	}
	a.mu.Lock()
	err := a.view.RecordHeartbeat(now, fromAPIMember(peer))
	if err == nil {
		refused += a.view.MergeGossip(now, others)
	}
	a.mu.Unlock()
	if err != nil {
		a.options.Counters.Add(telemetry.GroupPeers, memberErrorCounter(err), 1)
		return
	}
	a.lastContact.recordPeer(now)
	a.options.Counters.Add(telemetry.GroupPeers, "members_refused", int64(refused))
}

// memberErrorCounter returns the name of the counter for a peer whose report about
// itself was rejected.
func memberErrorCounter(err error) string {
	switch {
	case errors.Is(err, membership.ErrOwnName):
		return "own_name"
	case errors.Is(err, membership.ErrIncarnation):
		return "incarnation_ahead"
	case errors.Is(err, membership.ErrTooMany):
		return "too_many_vms"
	default:
		return "member_malformed"
	}
}

// announceLeave tells a few VMs that this agent is stopping.
func (a *Agent) announceLeave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	a.mu.Lock()
	a.view.Leave()
	self := toAPIMember(a.view.Self())
	targets := a.view.Targets(heartbeatFanOut, a.rnd)
	a.mu.Unlock()
	for _, target := range targets {
		a.background.Go(func() {
			request := &api.HeartbeatRequest{Sender: self, Digest: a.digest()}
			_, _ = a.peers.get(target.Address).Heartbeat(ctx, request)
		})
	}
	a.background.Wait()
}

// digest returns the digest of the active configurations.
func (a *Agent) digest() []uint64 {
	digest := a.configs.Digest()
	return digest[:]
}

// differingShards returns the shards in which a peer's digest differs from this
// agent's. A digest of the wrong length is counted and ignored.
func (a *Agent) differingShards(digest []uint64) []int {
	if len(digest) != merge.Shards {
		a.options.Counters.Add(telemetry.GroupPeers, "digest_malformed", 1)
		return nil
	}
	own := a.configs.Digest()
	return own.DifferingShards(merge.Digest(digest))
}

func toAPIMember(m membership.Member) *api.Member {
	return &api.Member{
		Vm: m.VM, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation, State: string(m.State),
	}
}

func toAPIMembers(members []membership.Member) []*api.Member {
	all := make([]*api.Member, 0, len(members))
	for _, m := range members {
		all = append(all, toAPIMember(m))
	}
	return all
}

func fromAPIMember(m *api.Member) membership.Member {
	return membership.Member{
		VM: m.GetVm(), Zone: m.GetZone(), Address: m.GetAddress(),
		Incarnation: m.GetIncarnation(), State: chart.State(m.GetState()),
	}
}
