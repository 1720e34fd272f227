package agent

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/exchange"
	"github.com/figfront/figfront/internal/measure"
	"github.com/figfront/figfront/internal/strictconn"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/wait"
)

// Limits of a probe.
const (
	probeTimeout = 200 * time.Millisecond
	// maxProbeTargets limits the upstreams that a gateway may request probes for.
	maxProbeTargets = 256
	// maxProbeBody limits how much of a response body is read, in bytes.
	maxProbeBody = 1 << 10
	// maxProbeHeader limits the header of a response, in bytes.
	maxProbeHeader = 4 << 10
	// headerLineOverhead is the length of the separator and the line ending of a
	// header line, in bytes.
	headerLineOverhead = 4
	// planInterval is the time between two requests to the planner for the next probe.
	planInterval = 50 * time.Millisecond
)

// Counters of probes, in the group telemetry.GroupProbes.
const (
	countProbesSent    = "sent"
	countProbesSkipped = "skipped_budget"
	countProbesFailed  = "failed"
	countProbeBytes    = "bytes"
	countProbeTime     = "upstream_us"
)

// prober sends load probes to upstreams as the planner permits.
type prober struct {
	counters *telemetry.Counters
	client   *http.Client
	publish  func(measure.ProbeResult)

	mu      sync.Mutex
	planner *measure.Planner
}

// dialFunc opens a connection to an upstream.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newProber returns a prober that passes its probe results to publish.
func newProber(planner *measure.Planner, dial dialFunc, counters *telemetry.Counters,
	publish func(measure.ProbeResult),
) *prober {
	return &prober{
		counters: counters,
		publish:  publish,
		planner:  planner,
		client: &http.Client{
			Timeout: probeTimeout,
			Transport: strictconn.Transport{Transport: &http.Transport{
				DialContext: strictconn.Dial(dial), DisableKeepAlives: true, MaxResponseHeaderBytes: maxProbeHeader,
			}},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// setTargets replaces the upstreams to probe.
func (p *prober) setTargets(targets []measure.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planner.SetTargets(time.Now(), targets)
}

// run sends probes until ctx ends. liveVMs returns the number of live VMs, among
// which the budget is divided.
func (p *prober) run(ctx context.Context, liveVMs func() int) {
	for wait.For(ctx, planInterval) {
		target, ok := p.nextTarget(liveVMs())
		if !ok {
			continue
		}
		result, cost := p.probe(ctx, target)
		p.mu.Lock()
		p.planner.Done(time.Now(), target, cost)
		p.mu.Unlock()
		p.publish(result)
	}
}

// nextTarget returns the upstream to probe now; false when none is due or the budget
// is used up.
func (p *prober) nextTarget(liveVMs int) (measure.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.planner.SetLiveVMs(now, liveVMs)
	target, verdict := p.planner.Next(now)
	if verdict == measure.OverBudget {
		p.counters.Add(telemetry.GroupProbes, countProbesSkipped, 1)
	}
	return target, verdict == measure.Probe
}

// probe sends one probe and returns its result and its cost. An upstream that
// does not answer is reported as unhealthy.
func (p *prober) probe(ctx context.Context, target measure.Target) (measure.ProbeResult, measure.Cost) {
	result := measure.ProbeResult{Address: target.Address, Sent: time.Now()}
	address := url.URL{Scheme: "http", Host: target.Address, Path: target.Path}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		p.counters.Add(telemetry.GroupProbes, countProbesFailed, 1)
		return result, measure.Cost{}
	}
	cost := measure.Cost{Bytes: len(request.Method) + len(address.String()) + headerLineOverhead}
	response, err := p.client.Do(request)
	if err == nil {
		body, _ := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBody))
		_ = response.Body.Close()
		cost.Bytes += headerBytes(response.Header) + int(body)
		isOK := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
		result.IsHealthy = isOK && !callheader.IsDraining(response.Header)
		result.Report, result.HasReport = callheader.ParseReport(response.Header.Get(callheader.Load))
	} else {
		p.counters.Add(telemetry.GroupProbes, countProbesFailed, 1)
	}
	cost.UpstreamTime = time.Since(result.Sent)
	p.count(cost)
	return result, cost
}

func (p *prober) count(cost measure.Cost) {
	p.counters.Add(telemetry.GroupProbes, countProbesSent, 1)
	p.counters.Add(telemetry.GroupProbes, countProbeBytes, int64(cost.Bytes))
	p.counters.Add(telemetry.GroupProbes, countProbeTime, cost.UpstreamTime.Microseconds())
}

// headerBytes returns the size of a header on the wire, in bytes.
func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + headerLineOverhead
		}
	}
	return total
}

// newAgentProber returns the prober of an agent.
func (a *Agent) newAgentProber() *prober {
	options := measure.Options{PerVM: float64(a.options.ProbesPerSecond)}
	random := rand.New(rand.NewPCG(a.options.Seed, uint64(time.Now().UnixNano())))
	dial := a.options.DialUpstream
	if dial == nil {
		dial = (&net.Dialer{Timeout: probeTimeout}).DialContext
	}
	return newProber(measure.NewPlanner(options, time.Now(), random), dial, a.options.Counters, a.publishProbeResult)
}

// publishProbeResult publishes the result of a probe to the VM's gateway.
func (a *Agent) publishProbeResult(result measure.ProbeResult) {
	payload, err := json.Marshal(result)
	if err != nil {
		return
	}
	a.hub.Publish(&api.Message{
		Topic: exchange.TopicUpstream, Key: result.Address, Revision: uint64(result.Sent.UnixNano()), Payload: payload,
	})
}

// handleProbeNeeds replaces the upstreams to probe by those that the gateway
// requests. A malformed request is counted and ignored.
func (a *Agent) handleProbeNeeds(m *message.Message) error {
	targets, ok := decodeProbeNeeds(m.Payload)
	if !ok {
		a.options.Counters.Add(telemetry.GroupPeers, "probe_needs_malformed", 1)
		return nil
	}
	a.prober.setTargets(targets)
	return nil
}

func decodeProbeNeeds(payload []byte) ([]measure.Target, bool) {
	var targets []measure.Target
	err := json.Unmarshal(payload, &targets)
	return targets, err == nil && len(targets) <= maxProbeTargets
}

// probeLoop sends probes until ctx ends.
func (a *Agent) probeLoop(ctx context.Context) {
	a.prober.run(ctx, a.liveVMs)
}

// liveVMs returns the number of live VMs.
func (a *Agent) liveVMs() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Live().All
}
