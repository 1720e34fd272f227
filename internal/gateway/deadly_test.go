package gateway_test

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/outcome"
)

// TestRequestThatEndsUpstreamsOfATeamIsHeld sends a lookup and a booking that end each upstream
// that runs them, again and again, beside harmless ones.
func TestRequestThatEndsUpstreamsOfATeamIsHeld(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		withTestEnv(t, func(g *WithT, env *testEnv) {
			var deaths atomic.Int64
			var mu sync.Mutex
			var servers []*http.Server
			var start func(address string)
			start = func(address string) {
				server := env.net.serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !strings.HasSuffix(r.URL.Path, "deadly") {
						return
					}
					deaths.Add(1)
					env.net.kill(address)
					time.AfterFunc(time.Second, func() { start(address) })
					panic(http.ErrAbortHandler)
				}))
				mu.Lock()
				defer mu.Unlock()
				servers = append(servers, server)
			}
			start(upstream1)
			start(upstream2)
			v := env.vm("vm1", teamSettings+secondUpstream)
			var last callResult
			for range 30 {
				last = env.send(request(method, v, "/t/s/deadly", strings.NewReader("b")))
				time.Sleep(20 * time.Second)
				g.Expect(env.send(request(method, v, "/t/s/harmless", strings.NewReader("b"))).status).To(Equal(http.StatusOK))
			}
			g.Expect(last.header.Get(outcome.HeaderReason)).To(Equal(string(outcome.Quarantined)))
			g.Expect(last.header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
			mu.Lock()
			for _, server := range servers {
				_ = server.Close()
			}
			mu.Unlock()
			g.Expect(deaths.Load()).To(BeNumerically("<=", 3))
		})
	}
}
