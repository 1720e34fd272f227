package agent_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/upstreamstandin"
)

// leavingSettings defines a service with two upstreams.
const leavingSettings = `
[/teams/asocrank/services/s/traffic/lookup]
[/teams/asocrank/services/s/upstreams/u-1]
address = 10.9.0.1:80
zone = fukuoka
[/teams/asocrank/services/s/upstreams/u-2]
address = 10.9.0.2:80
zone = fukuoka
`

// call sends a lookup through the VM's gateway.
func (v *vm) call() {
	v.gateway.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/asocrank/s/x", nil))
}

// TestLeavingUpstreamIsForwardedToAllVMs checks that all VMs stop calling a leaving
// upstream within 3 s after one of them has detected it, although its health check
// still succeeds.
func TestLeavingUpstreamIsForwardedToAllVMs(t *testing.T) {
	run(t, 6, func(c *cluster) {
		switches := upstreamstandin.Switches{ServiceTime: time.Millisecond}
		leaving := upstreamstandin.New("u-1", 2, 10, switches)
		staying := upstreamstandin.New("u-2", 2, 10, switches)
		for address, upstream := range map[string]*upstreamstandin.Server{
			"10.9.0.1:80": leaving, "10.9.0.2:80": staying,
		} {
			server := c.upstreams.Serve(address, upstream.Handler())
			defer func() { _ = server.Close() }()
		}
		response := c.vms[0].put("asocrank", 0, leavingSettings, "change-1")
		c.Expect(response.Code).To(Equal(http.StatusOK), response.Body.String())
		time.Sleep(4 * time.Second)

		leaving.Set(upstreamstandin.Switches{ServiceTime: time.Millisecond, Draining: true, HealthLies: true})
		for received := leaving.Counts().Received; leaving.Counts().Received == received; {
			c.vms[0].call()
		}
		time.Sleep(3 * time.Second)
		received := leaving.Counts().Received
		for range 50 {
			for _, v := range c.vms {
				v.call()
			}
		}
		c.Expect(leaving.Counts().Received).To(Equal(received))
		c.Expect(staying.Counts().Ran).To(BeNumerically(">=", 300))
	})
}
