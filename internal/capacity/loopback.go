package capacity

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// Parameters of the loopback measurement.
const (
	loopbackUpstreams = 6
	loopbackSlots     = 64
	loopbackCalls     = 20000
	// warmupCalls is the number of calls before each measurement.
	warmupCalls = 1000
	// maxLatency is the largest latency that the histograms can hold.
	maxLatency = 10 * time.Second
)

// LoopbackResult holds the latencies of calls on loopback, sent directly to the
// upstreams and through a gateway, in the same run.
type LoopbackResult struct {
	// Callers is the number of concurrent callers.
	Callers int
	// Direct and Through are the latencies in microseconds.
	Direct  *hdrhistogram.Histogram
	Through *hdrhistogram.Histogram
	// CPUDirect and CPUThrough are the CPU time per call in microseconds, spent by
	// caller, gateway and upstream together.
	CPUDirect  float64
	CPUThrough float64
}

// Write prints the quantiles of the latencies, the CPU time per call and what the
// gateway adds to each.
func (a LoopbackResult) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "# loopback, %d callers at once, %d calls each way, us\n"+
		"%-10s %8s %8s %8s %14s\n", a.Callers, loopbackCalls, "", "p50", "p99", "p99.9", "cpu per call")
	if err != nil {
		return err
	}
	for _, row := range []struct {
		name string
		h    *hdrhistogram.Histogram
		cpu  float64
	}{{"direct", a.Direct, a.CPUDirect}, {"gateway", a.Through, a.CPUThrough}} {
		_, err := fmt.Fprintf(w, "%-10s %8d %8d %8d %14.1f\n", row.name,
			row.h.ValueAtQuantile(50), row.h.ValueAtQuantile(99), row.h.ValueAtQuantile(99.9), row.cpu)
		if err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "%-10s %8d %8d %8d %14.1f\n\n", "added",
		a.Through.ValueAtQuantile(50)-a.Direct.ValueAtQuantile(50),
		a.Through.ValueAtQuantile(99)-a.Direct.ValueAtQuantile(99),
		a.Through.ValueAtQuantile(99.9)-a.Direct.ValueAtQuantile(99.9),
		a.CPUThrough-a.CPUDirect)
	return err
}

// Loopback measures the latency and the CPU time that a gateway adds to lookups on
// loopback, for each of the given numbers of concurrent callers.
func Loopback(callers []int) ([]LoopbackResult, error) {
	l, err := startLoopback()
	if err != nil {
		return nil, err
	}
	defer l.stop()
	var all []LoopbackResult
	for _, n := range callers {
		a := LoopbackResult{Callers: n}
		if a.Direct, a.CPUDirect, err = measureCalls(l.direct, n, loopbackCalls); err != nil {
			return nil, err
		}
		if a.Through, a.CPUThrough, err = measureCalls(l.through, n, loopbackCalls); err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}

// callCounts are the numbers of calls at which GatewayCalls measures the CPU time.
var callCounts = []int{4000, 8000, 12000, 16000, 20000}

// concurrentCallers is the number of concurrent callers in GatewayCalls.
const concurrentCallers = 8

// GatewayCalls measures the CPU time that a gateway adds to lookups: the CPU time of
// calls through it minus that of the same number of direct calls.
func GatewayCalls() ([]Series, error) {
	l, err := startLoopback()
	if err != nil {
		return nil, err
	}
	defer l.stop()
	cpu := Series{Role: "gateway", Metric: "lookups served", Unit: "ms of processor time", Variable: "calls"}
	for _, calls := range callCounts {
		_, direct, err := measureCalls(l.direct, concurrentCallers, calls)
		if err != nil {
			return nil, err
		}
		_, through, err := measureCalls(l.through, concurrentCallers, calls)
		if err != nil {
			return nil, err
		}
		cpu.Add(float64(calls), (through-direct)*float64(calls)/1000)
	}
	return []Series{cpu}, nil
}

// loopback is a gateway and its upstreams on loopback.
type loopback struct {
	addresses []string
	gateway   string
	stop      func()
}

func startLoopback() (*loopback, error) {
	addresses, stopUpstreams, err := startUpstreams()
	if err != nil {
		return nil, err
	}
	g := newGateway()
	if !g.Apply(loopbackTeam(addresses)) {
		stopUpstreams()
		return nil, errors.New("capacity: the settings were not applied")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		stopUpstreams()
		return nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: g, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	stop := func() {
		_ = server.Close()
		stopUpstreams()
	}
	return &loopback{addresses: addresses, gateway: listener.Addr().String(), stop: stop}, nil
}

func (l *loopback) direct(n int) string {
	return "http://" + l.addresses[n%len(l.addresses)] + "/x"
}

func (l *loopback) through(int) string {
	return "http://" + l.gateway + "/team-0000/service-00/x"
}

// startUpstreams starts upstreams with a service time of 0 on loopback and returns
// their addresses and a function that closes them.
func startUpstreams() (addresses []string, stop func(), err error) {
	var servers []*http.Server
	stop = func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}
	for i := range loopbackUpstreams {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, errors.Wrap(err, "listen")
		}
		standin := upstreamstandin.New(fmt.Sprint(i), loopbackSlots, loopbackSlots, upstreamstandin.Switches{})
		server := &http.Server{Handler: standin.Handler(), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		servers = append(servers, server)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, stop, nil
}

// loopbackTeam returns the configuration of a team with one service whose upstreams
// have the given addresses.
func loopbackTeam(addresses []string) merge.Config {
	c := teamConfig(0, 1, 0)
	for i, address := range addresses {
		c.Settings += fmt.Sprintf("[/teams/%s/services/service-00/upstreams/u-%d]\naddress = %s\nzone = zone-1\nslots = %d\nmax_connections = 64\n",
			c.Team, i, address, loopbackSlots)
	}
	return c
}

// measureCalls sends calls, divided among the given number of concurrent callers. It
// returns their latencies and the CPU time per call, both in microseconds. target
// returns the URL of a caller's n-th call.
func measureCalls(target func(n int) string, callers, calls int) (*hdrhistogram.Histogram, float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxIdleConns: 0}}
	defer client.CloseIdleConnections()
	if _, err := sendCalls(client, target, warmupCalls); err != nil {
		return nil, 0, err
	}
	total := newHistogram()
	var mu sync.Mutex
	var firstErr error
	var pending sync.WaitGroup
	start := processCPU()
	for range callers {
		pending.Go(func() {
			h, err := sendCalls(client, target, calls/callers)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				firstErr = err
				return
			}
			total.Merge(h)
		})
	}
	pending.Wait()
	cpu := processCPU() - start
	return total, float64(cpu.Microseconds()) / float64(calls), firstErr
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// sendCalls sends the given number of calls one after another and returns their
// latencies in microseconds.
func sendCalls(client *http.Client, target func(n int) string, calls int) (*hdrhistogram.Histogram, error) {
	h := newHistogram()
	for n := range calls {
		start := time.Now()
		response, err := client.Get(target(n))
		if err != nil {
			return nil, errors.Wrap(err, "call")
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("call %d: unexpected status %d", n, response.StatusCode)
		}
		if err := h.RecordValue(time.Since(start).Microseconds()); err != nil {
			return nil, errors.Wrap(err, "record latency")
		}
	}
	return h, nil
}
