package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/telemetry"
)

func TestOperatorsSeeAndClearHeldRequests(t *testing.T) {
	g := NewWithT(t)
	log, counters := hclog.NewNullLogger(), telemetry.NewCounters()
	alone := func(string, func(string) bool) (dispatch.VM, bool) { return dispatch.VM{}, false }
	e := &entry{parts: process.Parts{Log: log, Counters: counters}}
	e.gateway = gateway.New(gateway.Options{VM: "vm", Log: log, Counters: counters, Router: dispatch.NewRouter(alone, nil, log, counters)})
	defer e.gateway.Close()
	e.gateway.ApplySite(site.Config{Version: 1, Services: []site.Service{{Name: "web"}}})
	digest := quarantine.NewHasher(quarantine.Head{Path: "/deadly"}).Identity().Exact
	d, _ := e.gateway.Dispatcher("web")
	d.LearnSuspects([]quarantine.Record{{Digest: digest, Ended: []string{"a", "b", "c"}, IsHeld: true}})
	router := chi.NewRouter()
	e.suspectRoutes(router)
	call := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		router.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	var views []suspectView
	g.Expect(json.Unmarshal(call(http.MethodGet, "/quarantine").Body.Bytes(), &views)).To(Succeed())
	g.Expect(views).To(Equal([]suspectView{{Service: "web", Digest: digest.String(), Ended: []string{"a", "b", "c"}, Held: true}}))
	path := "/quarantine/web/" + digest.String()
	g.Expect(call(http.MethodDelete, "/quarantine/other/"+digest.String()).Code).To(Equal(http.StatusNotFound))
	g.Expect(call(http.MethodDelete, path).Code).To(Equal(http.StatusNoContent))
	g.Expect(call(http.MethodDelete, path).Code).To(Equal(http.StatusNotFound))
	g.Expect(d.Suspects()).To(BeEmpty())
}

func TestVMIsReadyOnceItKnowsTheHeldRequestsAndDoesNotWaitForGood(t *testing.T) {
	for _, hasSuspects := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var isReady atomic.Bool
			gate := readinessGate{}
			gate.onReady = func() { isReady.Store(true) }
			gate.satisfy(&gate.hasConfig)
			gate.satisfy(&gate.hasUpstreams)
			g.Expect(isReady.Load()).To(BeFalse())
			if hasSuspects {
				gate.satisfy(&gate.hasSuspects)
				g.Expect(isReady.Load()).To(BeTrue())
			}
			time.Sleep(maxSuspectsWait + time.Millisecond)
			synctest.Wait()
			g.Expect(isReady.Load()).To(BeTrue())
		})
	}
}
