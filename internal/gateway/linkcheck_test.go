package gateway

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/telemetry"
)

// TestLinkChecksOfManyVMsKeepToTheProbeBudget counts the checks of one of many VMs, whose links
// are down, of a service with two upstreams.
func TestLinkChecksOfManyVMsKeepToTheProbeBudget(t *testing.T) {
	const vms, probesPerSecond, length = 110, 60.0, time.Minute
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		refuse := func(context.Context, string, string) (net.Conn, error) {
			dials++
			return nil, errors.New("refused")
		}
		options := Options{Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters()}
		checker := newLinkChecker(newLinks("s", options, func() {}), refuse, probesPerSecond, func(string) bool { return false })
		targets := []checkTarget{{name: "a", address: "10.0.0.1:1"}, {name: "b", address: "10.0.0.2:1"}}
		checker.configure("/health", targets)
		checker.setLiveVMs(vms)
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		checker.run(ctx)
		ofAll := float64(dials) * vms / float64(len(targets)) / length.Seconds()
		g.Expect(ofAll).To(BeNumerically("<=", linkCheckShare*probesPerSecond*1.1))
		g.Expect(dials).To(BeNumerically(">", 1))
	})
}
