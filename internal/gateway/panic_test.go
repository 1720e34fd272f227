package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestPanicBeforeACallIsSentIsToldAsNotRun has a router that panics: the call is refused, and the
// VM serves the next one.
func TestPanicBeforeACallIsSentIsToldAsNotRun(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		time.Sleep(time.Second)
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			path := map[string]string{http.MethodGet: "/look/x", http.MethodPost: "/book/x"}[method]
			env.coordinator.Store(func(string, func(string) bool) (dispatch.VM, bool) { panic("coordinator") })
			refused := env.call(method, path, "")
			g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable), method)
			g.Expect(refused.header.Get(outcome.HeaderReason)).To(Equal(string(outcome.InternalError)))
			g.Expect(refused.header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
			g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
			env.coordinator.Store(selfCoordinator)
			g.Expect(env.call(method, path, "").status).To(Equal(http.StatusOK), method)
		}
		g.Expect(env.counters.Get(telemetry.GroupPanics, "call")).To(Equal(int64(2)))
		g.Expect(env.log.String()).To(ContainSubstring("panic confined"))
		g.Expect(env.receivedBy("a")).To(Equal(2))
	})
}
