package gateway

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestHedgesOfATeamDrawOnItsBudget: hedges and retries share the budget, which
// allows one extra send for a service with few calls.
func TestHedgesOfATeamDrawOnItsBudget(t *testing.T) {
	g := NewWithT(t)
	s := newService("t", "s", Options{VM: "vm", Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters()})
	s.configure(dynamic.Service{
		Name: "s", RetryShare: 0.05, Rules: []dynamic.Rule{{Traffic: dynamic.Lookup, Concurrency: 100}},
		Upstreams: []dynamic.Upstream{
			{Name: "u1", Address: "10.0.0.1:80", MaxConnections: 8, Slots: 2},
			{Name: "u2", Address: "10.0.0.2:80", MaxConnections: 8, Slots: 2},
		},
	})
	start := func(kind sendKind) sendError {
		_, err := s.startSend(dynamic.Lookup, quarantine.Identity{}, nil, kind)
		return err
	}
	g.Expect(start(firstSend)).To(Equal(sendOK))
	g.Expect(start(hedgeSend)).To(Equal(sendOK))
	g.Expect(start(hedgeSend)).To(Equal(sendErrBudget))
	g.Expect(start(extraSend)).To(Equal(sendErrBudget), "hedges and retries share the budget")
}
