package gateway_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/telemetry"
)

// dial opens a connection within the network. It returns the error of newConns instead, if there is
// one.
func (env *siteTestEnv) dial(ctx context.Context, kind, address string) (net.Conn, error) {
	if err, ok := env.newConns.Load().(error); ok {
		return nil, err
	}
	return env.network.Dial(ctx, kind, address)
}

// TestFullUpstreamCastsNoSuspicion breaks all connections to the upstreams under a booking, which
// then reset new ones, as full upstreams do, or refuse them. Only the second shows that an upstream
// has ended; the VMs tell each other of each such request.
func TestFullUpstreamCastsNoSuspicion(t *testing.T) {
	for _, c := range []struct {
		newConns  syscall.Errno
		isSuspect bool
	}{{syscall.ECONNRESET, false}, {syscall.ECONNREFUSED, true}} {
		breaks := func(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
			env.newConns.Store(c.newConns)
			endsUpstream(env, w, r)
		}
		withSiteTestEnv(t, breaks, func(g *WithT, env *siteTestEnv) {
			env.applySite()
			time.Sleep(time.Second)
			env.call(http.MethodPost, "/book/1", "x")
			time.Sleep(time.Second)
			g.Expect(env.receivedBy("a")).To(Equal(1))
			events := env.counters.Get(telemetry.GroupQuarantine, "upstream_ended")
			g.Expect(events > 0).To(Equal(c.isSuspect), c.newConns.Error())
		})
	}
}
