package agent

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
)

const (
	// maxSnapshotBytes limits the settings in one reply; a reply holds at least one
	// team regardless.
	maxSnapshotBytes = 2 << 20
	// maxSnapshotReplies limits the replies of one pull.
	maxSnapshotReplies = 256
)

// errTooManyReplies means that a peer still had more to send after
// maxSnapshotReplies.
var errTooManyReplies = errors.New("agent: peer sent too many snapshots")

// pull fetches the configurations of the given shards that are newer on a peer, then
// sends the peer those that are newer here; nil means all shards. It returns whether
// the peer has finished loading the configuration of every team.
func (a *Agent) pull(ctx context.Context, peer membership.Member, shards []int) (bool, error) {
	client := a.peers.get(peer.Address)
	for range maxSnapshotReplies {
		reply, err := client.Snapshot(ctx, &api.SnapshotRequest{
			Known: a.revisions(shards), Shards: toAPIShards(shards),
		})
		if err != nil {
			return false, err
		}
		for _, team := range reply.GetTeams() {
			c, err := exchange.FromTeamConfig(team)
			if err != nil {
				a.countRejected(err)
				continue
			}
			a.acceptFromPeer(c)
		}
		if reply.GetMore() {
			continue
		}
		return reply.GetComplete(), a.sendNewer(ctx, client, reply.GetBehind())
	}
	return false, errTooManyReplies
}

// sendNewer sends the configurations for which a peer has lower revisions, up to
// maxSnapshotBytes; the next heartbeat continues with the rest.
func (a *Agent) sendNewer(ctx context.Context, client *exchange.Client, behind []*api.TeamRevision) error {
	var messages []*api.Message
	size := 0
	for _, b := range behind {
		c, ok := a.configs.Get(b.GetTeam())
		if !ok || c.Revision <= b.GetRevision() {
			continue
		}
		size += len(c.Settings)
		if size > maxSnapshotBytes && len(messages) > 0 {
			break
		}
		m, err := exchange.ConfigMessage(exchange.TopicConfig, c)
		if err != nil {
			return err
		}
		messages = append(messages, m)
	}
	if len(messages) == 0 {
		return nil
	}
	_, err := client.Publish(ctx, a.options.VM, messages)
	return err
}

func toAPIShards(shards []int) []uint32 {
	all := make([]uint32, 0, len(shards))
	for _, shard := range shards {
		all = append(all, uint32(shard))
	}
	return all
}

// revisions returns the active revisions of the given shards; nil means all shards.
func (a *Agent) revisions(shards []int) []*api.TeamRevision {
	var revisions []*api.TeamRevision
	for _, c := range a.configs.All() {
		if isInShards(c, shards) {
			revisions = append(revisions, &api.TeamRevision{Team: c.Team, Revision: c.Revision})
		}
	}
	return revisions
}

func isInShards(c merge.Config, shards []int) bool {
	return len(shards) == 0 || slices.Contains(shards, merge.ShardOf(c.Team))
}

// snapshot builds the reply to a pull.
func (a *Agent) snapshot(request *api.SnapshotRequest) *api.SnapshotReply {
	known := make(map[string]uint64, len(request.GetKnown()))
	reply := &api.SnapshotReply{Complete: a.currentConfigSource() != sourceNone}
	for _, k := range request.GetKnown() {
		known[k.GetTeam()] = k.GetRevision()
		if own := a.configs.Revision(k.GetTeam()); own < k.GetRevision() {
			reply.Behind = append(reply.Behind, &api.TeamRevision{Team: k.GetTeam(), Revision: own})
		}
	}
	var shards []int
	for _, shard := range request.GetShards() {
		shards = append(shards, int(shard))
	}
	size := 0
	for _, c := range a.configs.All() {
		if !isInShards(c, shards) || c.Revision <= known[c.Team] {
			continue
		}
		size += len(c.Settings)
		if size > maxSnapshotBytes && len(reply.Teams) > 0 {
			reply.More = true
			break
		}
		reply.Teams = append(reply.Teams, exchange.ToTeamConfig(c))
	}
	return reply
}
