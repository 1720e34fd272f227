package gateway

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestCapacityCountsTheUpstreamsInUse: a VM that uses a subset of a large service
// does not count the limits of unused upstreams, because those never fall under
// overload.
func TestCapacityCountsTheUpstreamsInUse(t *testing.T) {
	g := NewWithT(t)
	settings := dynamic.Service{Name: "s", Rules: []dynamic.Rule{{Traffic: dynamic.Lookup, Concurrency: 100}}}
	for i := range 20 {
		settings.Upstreams = append(settings.Upstreams, dynamic.Upstream{
			Name: fmt.Sprint(i), Address: fmt.Sprintf("10.0.0.%d:80", i), MaxConnections: 8, Slots: 2,
		})
	}
	s := newService("t", "s", Options{
		VM: "vm", SubsetSize: 2, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	})
	s.configure(settings)
	g.Expect(s.limits.capacity(s.balancer.InUse())).To(Equal(8), "two upstreams with four slots")
}
