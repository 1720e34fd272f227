package gateway_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLookupAtSlowUpstreamMeetsObjective checks that a lookup whose upstream takes
// four times as long as usual is answered within the objective, also when the VM has
// seen only a few calls, and that a booking is not sent twice.
func TestLookupAtSlowUpstreamMeetsObjective(t *testing.T) {
	const usualLatency = 60 * time.Millisecond
	const warmUpCalls = 18
	var isNextSlow atomic.Bool
	handler := func(_ *siteTestEnv, w http.ResponseWriter, _ *http.Request) {
		latency := usualLatency
		if isNextSlow.CompareAndSwap(true, false) {
			latency = 4 * usualLatency
		}
		time.Sleep(latency)
		_, _ = io.WriteString(w, "done")
	}
	withSiteTestEnv(t, handler, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		for range warmUpCalls {
			g.Expect(env.call(http.MethodGet, "/look/1", "").status).To(Equal(http.StatusOK))
		}
		isNextSlow.Store(true)
		began := time.Now()
		g.Expect(env.call(http.MethodGet, "/look/1", "").status).To(Equal(http.StatusOK))
		g.Expect(time.Since(began)).To(BeNumerically("<=", siteObjective))
		g.Expect(env.receivedBy("a")).To(Equal(warmUpCalls + 2))

		isNextSlow.Store(true)
		g.Expect(env.call(http.MethodPost, "/book/1", "x").status).To(Equal(http.StatusOK))
		g.Expect(env.receivedBy("a")).To(Equal(warmUpCalls + 3))
	})
}
