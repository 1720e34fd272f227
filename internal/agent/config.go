package agent

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-faster/errors"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/membership"
	"github.com/figfront/figfront/internal/telemetry"
)

// maxPushes limits the concurrent sends of one message to peers.
const maxPushes = 16

// handleConfig applies a configuration that another VM pushed.
func (a *Agent) handleConfig(m *message.Message) error {
	if c, err := exchange.DecodeConfig(m.Payload); err == nil {
		a.acceptFromPeer(c)
	} else {
		a.countRejected(err)
	}
	return nil
}

// handleCommit applies a configuration that an admin committed and pushes it to the
// other VMs, unless a newer one is active.
func (a *Agent) handleCommit(m *message.Message) error {
	c, err := exchange.DecodeConfig(m.Payload)
	if err != nil {
		a.countRejected(err)
		return nil
	}
	a.acceptFromPeer(c)
	if a.configs.Revision(c.Team) > c.Revision {
		return nil
	}
	a.push(m.Context(), c, a.reachable())
	return nil
}

// acceptFromPeer applies a configuration from another process if it is valid and
// newer than the active one. An invalid one is counted.
func (a *Agent) acceptFromPeer(c merge.Config) {
	isNewer, err := a.configs.ApplyFromPeer(c)
	if err != nil {
		a.countRejected(err)
		return
	}
	a.publishIfNewer(c, isNewer)
}

// acceptFromTable applies a configuration from the table if it is newer than the
// active one, and returns whether it was.
func (a *Agent) acceptFromTable(c merge.Config) bool {
	isNewer := a.configs.Apply(c)
	a.publishIfNewer(c, isNewer)
	return isNewer
}

// publishIfNewer counts a configuration and publishes it to the VM's gateway if it is
// newer.
func (a *Agent) publishIfNewer(c merge.Config, isNewer bool) {
	if !isNewer {
		a.options.Counters.Add(telemetry.GroupConfig, "not_newer", 1)
		return
	}
	a.options.Counters.Add(telemetry.GroupConfig, "applied", 1)
	a.options.Counters.Set(telemetry.GroupRevision, c.Team, int64(c.Revision))
	a.options.Log.Info("team configuration accepted",
		telemetry.FieldTeam, c.Team, telemetry.FieldRevision, c.Revision)
	m, err := exchange.ConfigMessage(exchange.TopicConfig, c)
	if err != nil {
		a.options.Log.Error("failed to encode configuration", telemetry.FieldTeam, c.Team, telemetry.FieldError, err)
		return
	}
	a.hub.Publish(m)
}

// countRejected counts a configuration from another process that was rejected, by
// reason.
func (a *Agent) countRejected(err error) {
	reason := "config_malformed"
	switch {
	case errors.Is(err, merge.ErrRevisionJump):
		reason = "config_revision_jump"
	case errors.Is(err, merge.ErrConflict):
		reason = "config_conflict"
	case errors.Is(err, merge.ErrTooManyTeams):
		reason = "config_too_many_teams"
	}
	a.options.Counters.Add(telemetry.GroupPeers, reason, 1)
}

// push sends a configuration to other VMs in the background. A VM that isn't reached
// gets it from the feed or a peer later.
func (a *Agent) push(ctx context.Context, c merge.Config, targets []membership.Member) {
	m, err := exchange.ConfigMessage(exchange.TopicConfig, c)
	if err != nil {
		return
	}
	a.pushMessage(ctx, m, targets)
}

// pushMessage sends a message to other VMs in the background, at most maxPushes at
// a time. Cancelling ctx does not stop it, because the context of a bus message
// ends when its handler returns.
func (a *Agent) pushMessage(ctx context.Context, m *api.Message, targets []membership.Member) {
	ctx = context.WithoutCancel(ctx)
	slots := make(chan struct{}, maxPushes)
	a.background.Go(func() {
		for _, target := range targets {
			slots <- struct{}{}
			a.background.Go(func() {
				defer func() { <-slots }()
				a.pushTo(ctx, target, m)
			})
		}
	})
}

func (a *Agent) pushTo(ctx context.Context, target membership.Member, m *api.Message) {
	_, err := a.peers.get(target.Address).Publish(ctx, a.options.VM, []*api.Message{m})
	if err != nil {
		a.options.Counters.Add(telemetry.GroupPeers, "push_failed", 1)
		return
	}
	a.options.Counters.Add(telemetry.GroupPeers, "pushed", 1)
}
