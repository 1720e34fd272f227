package agent

import (
	"context"

	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/telemetry"
)

// handleLeaving forwards the leaving upstreams that a VM has detected. A malformed
// message is counted and dropped.
func (a *Agent) handleLeaving(m *message.Message) error {
	if leaving, err := exchange.DecodeDrainNotice(m.Payload); err == nil {
		a.forwardLeaving(m.Context(), leaving)
	} else {
		a.options.Counters.Add(telemetry.GroupPeers, "leaving_malformed", 1)
	}
	return nil
}

// forwardLeaving sends the leaving upstreams detected by this VM's gateway to the
// other VMs, and those detected by another VM to this VM's gateway.
func (a *Agent) forwardLeaving(ctx context.Context, leaving exchange.DrainNotice) {
	m, err := exchange.DrainNoticeMessage(leaving)
	if err != nil {
		a.options.Counters.Add(telemetry.GroupPeers, "leaving_malformed", 1)
		return
	}
	if leaving.VM == a.options.VM {
		a.pushMessage(ctx, m, a.reachable())
		return
	}
	a.hub.Publish(m)
}
