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

// maxPushes limits the pushes to peers that run at once.
const maxPushes = 16

// handleConfig takes a configuration that another VM pushed.
func (a *Agent) handleConfig(m *message.Message) error {
	if c, err := exchange.DecodeConfig(m.Payload); err == nil {
		a.acceptFromPeer(c)
	} else {
		a.countRefused(err)
	}
	return nil
}

// handleCommit takes a configuration that an admin committed and pushes it to
// the other VMs.
func (a *Agent) handleCommit(m *message.Message) error {
	c, err := exchange.DecodeConfig(m.Payload)
	if err != nil {
		a.countRefused(err)
		return nil
	}
	a.acceptFromPeer(c)
	if a.configs.Revision(c.Team) > c.Revision {
		return nil
	}
	a.push(m.Context(), c, a.reachable())
	return nil
}

// acceptFromPeer puts a configuration from another process in force if it is
// plausible and newer.
func (a *Agent) acceptFromPeer(c merge.Config) {
	isNewer, err := a.configs.ApplyFromPeer(c)
	if err != nil {
		a.countRefused(err)
		return
	}
	a.accepted(c, isNewer)
}

// acceptFromTable puts a configuration of the table in force if it is newer.
// It returns whether it was.
func (a *Agent) acceptFromTable(c merge.Config) bool {
	isNewer := a.configs.Apply(c)
	a.accepted(c, isNewer)
	return isNewer
}

// accepted counts a configuration and hands a newer one to the VM's gateway.
func (a *Agent) accepted(c merge.Config, isNewer bool) {
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
		a.options.Log.Error("configuration can't be encoded", telemetry.FieldTeam, c.Team, telemetry.FieldError, err)
		return
	}
	a.hub.Publish(m)
}

// countRefused counts a configuration from a peer that was refused.
func (a *Agent) countRefused(err error) {
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

// push sends a configuration to other VMs in the background. One that it
// doesn't reach gets it by the feed or from a peer.
func (a *Agent) push(ctx context.Context, c merge.Config, targets []membership.Member) {
	m, err := exchange.ConfigMessage(exchange.TopicConfig, c)
	if err != nil {
		return
	}
	a.pushMessage(ctx, m, targets)
}

// pushMessage sends a message to other VMs in the background.
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
	_, err := a.peers.get(target.Address).PublishMessages(ctx, a.options.VM, []*api.Message{m})
	if err != nil {
		a.options.Counters.Add(telemetry.GroupPeers, "push_failed", 1)
		return
	}
	a.options.Counters.Add(telemetry.GroupPeers, "pushed", 1)
}
