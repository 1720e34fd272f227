package agent

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// handleLeaving takes upstreams that a VM saw leaving; a malformed message is
// counted and dropped.
func (a *Agent) handleLeaving(m *message.Message) error {
	if seen, err := exchange.DecodeLeaving(m.Payload); err == nil {
		a.spreadLeaving(m.Context(), seen)
	} else {
		a.options.Counters.Add(telemetry.GroupPeers, "leaving_malformed", 1)
	}
	return nil
}

// spreadLeaving hands what this VM's gateway saw to the other VMs, and what
// another VM saw to this VM's gateway.
func (a *Agent) spreadLeaving(ctx context.Context, seen exchange.Leaving) {
	m, err := exchange.LeavingMessage(seen)
	if err != nil {
		a.options.Counters.Add(telemetry.GroupPeers, "leaving_malformed", 1)
		return
	}
	if seen.VM == a.options.VM {
		a.pushMessage(ctx, m, a.reachable())
		return
	}
	a.hub.Publish(m)
}
