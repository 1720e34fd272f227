package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/dynamic"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/spectest"
	"github.com/figfront/figfront/internal/telemetry"
)

// siteTestEnv is a gateway that serves a site with simulated upstreams.
type siteTestEnv struct {
	network  *pipenet.Network
	counters *telemetry.Counters
	gateway  *gateway.Gateway
	client   *http.Client
	servers  []*http.Server
	log      spectest.Buffer
	// stop is the window of the VM's planned stop; nil before it.
	stop atomic.Pointer[drain.Window]
	// coordinator holds the dispatch.CoordinatorFunc in use.
	coordinator atomic.Value
	// newConns holds the error with which the gateway's new connections fail, if they do.
	newConns atomic.Value

	mu       sync.Mutex
	received map[string]int
}

const (
	siteHost         = "shop.example"
	siteTimeout      = 800 * time.Millisecond
	siteObjective    = 200 * time.Millisecond
	siteMaxBodyBytes = 1000
	// siteProbesPerSecond limits the probes of one upstream.
	siteProbesPerSecond = 60
	// siteBodyMemory limits the memory for bodies, in bytes.
	siteBodyMemory = 2 << 20
	// siteMaxHeaderBytes limits request headers.
	siteMaxHeaderBytes = 2000
)

// siteConfig has a route for each kind of traffic to service a, a longer prefix
// to service b, and a route that is split between both.
func siteConfig(version uint64) site.Config {
	route := func(prefix string, traffic dynamic.Traffic, targets ...site.Target) site.Route {
		return site.Route{
			Name: prefix, Host: siteHost, Prefix: prefix, Traffic: traffic, Timeout: siteTimeout, Objective: siteObjective,
			MaxAttempts: 2, Targets: targets,
		}
	}
	return site.Config{
		Version:  version,
		Limits:   site.Limits{MaxBodyBytes: siteMaxBodyBytes, MaxHeaderBytes: siteMaxHeaderBytes},
		Services: []site.Service{{Name: "a", HealthPath: "/health", MaxConnections: 50}, {Name: "b", HealthPath: "/health", MaxConnections: 50}},
		Routes: []site.Route{
			route("/look/", dynamic.Lookup, site.Target{Service: "a", Weight: 1}),
			route("/look/deep/", dynamic.Lookup, site.Target{Service: "b", Weight: 1}),
			route("/book/", dynamic.Booking, site.Target{Service: "a", Weight: 1}),
			route("/up/", dynamic.Upload, site.Target{Service: "a", Weight: 1}),
			route("/split/", dynamic.Lookup, site.Target{Service: "a", Weight: 90}, site.Target{Service: "b", Weight: 10}),
		},
	}
}

// stopWindow is the gateway's option of this name.
func (env *siteTestEnv) stopWindow() (drain.Window, bool) {
	w := env.stop.Load()
	if w == nil {
		return drain.Window{}, false
	}
	return *w, true
}

// upstreamHandler serves the calls of an upstream.
type upstreamHandler func(env *siteTestEnv, w http.ResponseWriter, r *http.Request)

// selfCoordinator makes each VM place its calls itself.
func selfCoordinator(string, func(string) bool) (dispatch.VM, bool) { return dispatch.VM{}, false }

// withSiteTestEnv runs a test with two upstreams per service, which serve calls
// with handler.
func withSiteTestEnv(t *testing.T, handler upstreamHandler, run func(g *WithT, env *siteTestEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := &siteTestEnv{network: pipenet.New(), counters: telemetry.NewCounters(), received: make(map[string]int)}
		env.coordinator.Store(selfCoordinator)
		coordinator := func(service string, isAvoided func(string) bool) (dispatch.VM, bool) {
			return env.coordinator.Load().(func(string, func(string) bool) (dispatch.VM, bool))(service, isAvoided)
		}
		env.gateway = gateway.New(gateway.Options{
			VM: "vm", Zone: "z", Log: telemetry.NewLogger("test", "info", &env.log), Counters: env.counters, Dial: env.dial, Seed: 1,
			RetryLimits: retry.Limits{Share: 0.1}, ProbesPerUpstream: siteProbesPerSecond,
			Router:     dispatch.NewRouter(coordinator, nil, hclog.NewNullLogger(), env.counters),
			StopWindow: env.stopWindow, BodyMemory: siteBodyMemory,
		})
		env.servers = append(env.servers, env.network.Serve(gatewayAddress, env.gateway))
		for _, u := range siteUpstreams() {
			env.servers = append(env.servers, env.network.Serve(u.Address, env.upstream(u, handler)))
		}
		env.client = &http.Client{Transport: &http.Transport{DialContext: env.network.Dial}}
		run(NewWithT(t), env)
		env.client.CloseIdleConnections()
		env.gateway.Close()
		for _, server := range env.servers {
			_ = server.Close()
		}
		time.Sleep(time.Minute)
	})
}

func siteUpstreams() []site.Upstream {
	var upstreams []site.Upstream
	for i, service := range []string{"a", "a", "b", "b"} {
		upstreams = append(upstreams, site.Upstream{
			Name: fmt.Sprintf("%s%d", service, i), Service: service, Address: fmt.Sprintf("10.0.2.%d:80", i), Zone: "z", Slots: 2,
		})
	}
	return upstreams
}

// upstream serves calls with handler and counts them. Responses carry the ID of the call
// unless handler changes it. Probes are answered at once.
func (env *siteTestEnv) upstream(u site.Upstream, handler upstreamHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(callheader.Load, callheader.Report{Slowness: 1}.String())
		w.Header().Set(outcome.HeaderRequestID, r.Header.Get(outcome.HeaderRequestID))
		if r.URL.Path == "/health" {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		env.mu.Lock()
		env.received[u.Service]++
		env.mu.Unlock()
		handler(env, w, r)
	})
}

func (env *siteTestEnv) receivedBy(service string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.received[service]
}

// applySite applies the site's configuration and upstreams.
func (env *siteTestEnv) applySite() {
	env.gateway.ApplySite(siteConfig(1))
	env.gateway.SetUpstreams(siteUpstreams())
}

// call makes a call and returns its result.
func (env *siteTestEnv) call(method, path, body string) callResult {
	r, err := http.NewRequest(method, "http://"+gatewayAddress+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = siteHost
	return sendWith(env.client, r)
}

// respondAtOnce responds without delay.
func respondAtOnce(_ *siteTestEnv, w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "done")
}

func TestSiteRoutesByHostAndLongestPrefix(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		g.Expect(env.call(http.MethodGet, "/look/1", "").status).To(Equal(http.StatusServiceUnavailable), "no configuration yet")
		env.applySite()
		g.Expect(env.call(http.MethodGet, "/look/1?x=%2F&", "").status).To(Equal(http.StatusOK))
		g.Expect(env.receivedBy("a")).To(Equal(1))
		g.Expect(env.call(http.MethodGet, "/look/deep/1", "").status).To(Equal(http.StatusOK))
		g.Expect(env.receivedBy("b")).To(Equal(1))
		g.Expect(env.call(http.MethodGet, "/look", "").status).To(Equal(http.StatusNotFound))
		g.Expect(env.call(http.MethodGet, "/other/", "").status).To(Equal(http.StatusNotFound))
	})
}

func TestSplitFollowsItsWeights(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		for range 200 {
			g.Expect(env.call(http.MethodGet, "/split/x", "").status).To(Equal(http.StatusOK))
		}
		g.Expect(env.receivedBy("a")).To(Equal(180))
		g.Expect(env.receivedBy("b")).To(Equal(20))
	})
}

func TestOlderConfigurationIsNotPutInForce(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		newer := siteConfig(7)
		newer.Routes = newer.Routes[:1]
		g.Expect(env.gateway.ApplySite(newer)).To(BeTrue())
		g.Expect(env.gateway.ApplySite(siteConfig(6))).To(BeFalse())
		g.Expect(env.gateway.ApplySite(siteConfig(7))).To(BeFalse())
		g.Expect(env.call(http.MethodPost, "/book/1", "x").status).To(Equal(http.StatusNotFound))
	})
}

func TestLeavingUpstreamOfASiteGetsNoCall(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		env.gateway.SetUpstreams(siteUpstreams()[2:])
		got := env.call(http.MethodGet, "/look/1", "")
		g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(got.header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
		g.Expect(env.receivedBy("a")).To(BeZero())
	})
}

// TestUpstreamKnownOnlyToTheCoordinator: if the coordinator still lists an upstream
// that the gateway no longer knows and chooses it, the call goes to another one.
func TestUpstreamKnownOnlyToTheCoordinator(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		coordinator, ok := env.gateway.Dispatcher("a")
		g.Expect(ok).To(BeTrue())
		coordinator.SetUpstreams([]loadbalancer.Upstream{
			{Name: "a0", Address: "10.0.2.0:80", Zone: "far", Slots: 2},
			{Name: "leaving", Address: "10.0.2.9:80", Zone: "z", Slots: 2},
		})
		time.Sleep(5 * time.Second)
		for range 20 {
			g.Expect(env.call(http.MethodPost, "/book/1", "x").status).To(Equal(http.StatusOK))
		}
		g.Expect(env.counters.Get(telemetry.GroupDispatch, "upstream_unknown")).To(BeNumerically(">", 0))
	})
}

// TestSlowUpstreamIsNotCutOff: a lookup is not cancelled because its reused
// connection receives nothing for more than half of the call's time while the
// upstream works.
func TestSlowUpstreamIsNotCutOff(t *testing.T) {
	var cut atomic.Int32
	work := func(_ *siteTestEnv, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(600 * time.Millisecond):
			_, _ = io.WriteString(w, "done")
		case <-r.Context().Done():
			cut.Add(1)
		}
	}
	withSiteTestEnv(t, work, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		for range 6 {
			g.Expect(env.call(http.MethodGet, "/look/1", "").status).To(Equal(http.StatusOK))
		}
		g.Expect(cut.Load()).To(BeZero())
	})
}

// TestRequestIsSentOnceOverABrokenConnection: if upstreams close a reused
// connection when a request arrives, figfront counts each send, and net/http
// resends nothing on its own.
func TestRequestIsSentOnceOverABrokenConnection(t *testing.T) {
	var isBroken atomic.Bool
	abort := func(_ *siteTestEnv, w http.ResponseWriter, _ *http.Request) {
		if isBroken.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "done")
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		withSiteTestEnv(t, abort, func(g *WithT, env *siteTestEnv) {
			isBroken.Store(false)
			env.applySite()
			path := map[string]string{http.MethodGet: "/look/1", http.MethodPost: "/book/1"}[method]
			for range 40 {
				g.Expect(env.call(method, path, "").status).To(Equal(http.StatusOK))
			}
			before := env.receivedBy("a")
			isBroken.Store(true)
			g.Expect(env.call(method, path, "").status).To(Equal(http.StatusBadGateway))
			sent := env.counters.Get(telemetry.GroupAttempts, "lookup") + env.counters.Get(telemetry.GroupAttempts, "booking")
			g.Expect(env.receivedBy("a")).To(Equal(int(sent)), "every received request was counted as a send")
			if method == http.MethodPost {
				g.Expect(env.receivedBy("a") - before).To(Equal(1))
			}
		})
	}
}

// TestShedCallGoesToOneMoreUpstream: a call that every upstream sheds is sent to as
// many upstreams as its route allows, here two, and reported as not run.
func TestShedCallGoesToOneMoreUpstream(t *testing.T) {
	shed := func(_ *siteTestEnv, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(callheader.Shed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	withSiteTestEnv(t, shed, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		got := env.call(http.MethodPost, "/book/1", "x")
		g.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(got.header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
		g.Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(env.receivedBy("a")).To(Equal(2))
	})
}

func TestSiteAnswersByTheRoutesTimeout(t *testing.T) {
	hang := func(_ *siteTestEnv, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	withSiteTestEnv(t, hang, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		start := time.Now()
		got := env.call(http.MethodPost, "/book/1", "x")
		g.Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		g.Expect(time.Since(start)).To(BeNumerically("~", siteTimeout, 5*time.Millisecond))
		g.Expect(env.receivedBy("a")).To(Equal(1), "a call that may have run is not retried")
	})
}

func TestOversizedBodyReachesNoUpstream(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		g.Expect(env.call(http.MethodPost, "/up/1", strings.Repeat("x", siteMaxBodyBytes+1)).status).
			To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(env.receivedBy("a")).To(BeZero())
		g.Expect(env.call(http.MethodPost, "/up/1", strings.Repeat("x", siteMaxBodyBytes)).status).To(Equal(http.StatusOK))
	})
}

func TestOversizedHeaderReachesNoUpstream(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		send := func(bytes int) int {
			r, err := http.NewRequest(http.MethodPost, "http://"+gatewayAddress+"/book/1", strings.NewReader("x"))
			g.Expect(err).NotTo(HaveOccurred())
			r.Host = siteHost
			r.Header.Set("X-Filler", strings.Repeat("x", bytes))
			return sendWith(env.client, r).status
		}
		g.Expect(send(siteMaxHeaderBytes)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		g.Expect(env.receivedBy("a")).To(BeZero())
		g.Expect(send(siteMaxHeaderBytes - 500)).To(Equal(http.StatusOK))
	})
}

// TestRetryDelaysAreSpreadOut: the retry delays of refused calls are at most a
// quarter of the latency objective and differ.
func TestRetryDelaysAreSpreadOut(t *testing.T) {
	withSiteTestEnv(t, respondAtOnce, func(g *WithT, env *siteTestEnv) {
		env.gateway.ApplySite(siteConfig(1))
		env.gateway.SetUpstreams(nil)
		seen := make(map[string]bool)
		for range 50 {
			got := env.call(http.MethodPost, "/book/1", "x")
			after, err := time.ParseDuration(got.header.Get(outcome.HeaderRetryAfterMs) + "ms")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after).To(BeNumerically(">", 0))
			g.Expect(after).To(BeNumerically("<=", siteObjective/4))
			seen[got.header.Get(outcome.HeaderRetryAfterMs)] = true
		}
		g.Expect(len(seen)).To(BeNumerically(">", 10))
	})
}

// TestBookingsRunAtMostOnceAtASite: with upstreams that shed, abort, run or fail
// at random, no booking runs twice and none that ran is reported as not run.
func TestBookingsRunAtMostOnceAtASite(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 5))
		var mu sync.Mutex
		ran := make(map[string]int)
		faulty := func(_ *siteTestEnv, w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			kind := random.IntN(5)
			if kind != 0 {
				ran[r.URL.Path]++
			}
			mu.Unlock()
			switch kind {
			case 0:
				w.Header().Set(callheader.Shed, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case 1:
				panic(http.ErrAbortHandler)
			case 2:
				w.WriteHeader(http.StatusInternalServerError)
			default:
				_, _ = io.WriteString(w, "done")
			}
		}
		withSiteTestEnv(t, faulty, func(g *WithT, env *siteTestEnv) {
			env.applySite()
			for i := range 200 {
				path := fmt.Sprintf("/book/%d", i)
				got := env.call(http.MethodPost, path, "x")
				g.Expect(ran[path]).To(BeNumerically("<=", 1), "%s ran twice", path)
				if got.header.Get(outcome.HeaderOutcome) == string(outcome.NotRun) {
					g.Expect(ran[path]).To(BeZero(), "%s was reported as not run", path)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestCallerDisconnectCancelsTheSendAtASite: the upstream's request is cancelled
// when the caller disconnects.
func TestCallerDisconnectCancelsTheSendAtASite(t *testing.T) {
	var cut atomic.Int32
	hang := func(_ *siteTestEnv, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		cut.Add(1)
	}
	withSiteTestEnv(t, hang, func(g *WithT, env *siteTestEnv) {
		env.applySite()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gatewayAddress+"/book/1", strings.NewReader("x"))
		g.Expect(err).NotTo(HaveOccurred())
		r.Host = siteHost
		g.Expect(sendWith(env.client, r).err).To(HaveOccurred())
		time.Sleep(10 * time.Millisecond)
		g.Expect(cut.Load()).To(Equal(int32(1)))
	})
}
