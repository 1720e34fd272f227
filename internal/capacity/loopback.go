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

// Settings of the loopback measurement.
const (
	loopbackUpstreams = 6
	loopbackSlots     = 64
	loopbackCalls     = 20000
	warmupCalls       = 1000
	maxLatency        = 10 * time.Second
)

// Added is the time of calls on loopback, direct and through a gateway, in the
// same run.
type Added struct {
	Callers int
	Direct  *hdrhistogram.Histogram
	Through *hdrhistogram.Histogram
	// CPUDirect and CPUThrough are the processor time of one call in
	// microseconds, of caller, gateway and upstream together.
	CPUDirect  float64
	CPUThrough float64
}

// Write prints the times.
func (a Added) Write(w io.Writer) error {
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

// Loopback measures the time that a gateway adds to lookups on loopback, with
// the given numbers of callers at once.
func Loopback(callers []int) ([]Added, error) {
	l, err := startLoopback()
	if err != nil {
		return nil, err
	}
	defer l.stop()
	var all []Added
	for _, n := range callers {
		a := Added{Callers: n}
		if a.Direct, a.CPUDirect, err = callAll(l.direct, n, loopbackCalls); err != nil {
			return nil, err
		}
		if a.Through, a.CPUThrough, err = callAll(l.through, n, loopbackCalls); err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}

// callSizes are the numbers of calls at which the gateway's work is measured.
var callSizes = []int{4000, 8000, 12000, 16000, 20000}

// callersAtOnce is the number of callers of that measurement.
const callersAtOnce = 8

// GatewayCalls measures the processor time that calls cost through a gateway
// beyond what they cost caller and upstream alone.
func GatewayCalls() ([]Series, error) {
	l, err := startLoopback()
	if err != nil {
		return nil, err
	}
	defer l.stop()
	cpu := Series{Role: "gateway", Figure: "lookups served", Unit: "ms of processor time", Against: "calls"}
	for _, calls := range callSizes {
		_, direct, err := callAll(l.direct, callersAtOnce, calls)
		if err != nil {
			return nil, err
		}
		_, through, err := callAll(l.through, callersAtOnce, calls)
		if err != nil {
			return nil, err
		}
		cpu.Add(float64(calls), (through-direct)*float64(calls)/1000)
	}
	return []Series{cpu}, nil
}

// loopback is a gateway with its upstreams on loopback.
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

// startUpstreams starts upstreams without service time on loopback.
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

// loopbackTeam returns a team with one service on the addresses.
func loopbackTeam(addresses []string) merge.Config {
	c := team(0, 1, 0)
	for i, address := range addresses {
		c.Settings += fmt.Sprintf("[/teams/%s/services/service-00/upstreams/u-%d]\naddress = %s\nzone = zone-1\nslots = %d\nmax_connections = 64\n",
			c.Team, i, address, loopbackSlots)
	}
	return c
}

// callAll sends calls with the given number of callers at once and returns
// their times in microseconds and the processor time of each.
func callAll(target func(n int) string, callers, calls int) (*hdrhistogram.Histogram, float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, MaxIdleConns: 0}}
	defer client.CloseIdleConnections()
	if _, err := callSome(client, target, warmupCalls); err != nil {
		return nil, 0, err
	}
	total := newHistogram()
	var mu sync.Mutex
	var firstErr error
	var pending sync.WaitGroup
	start := processCPU()
	for range callers {
		pending.Go(func() {
			h, err := callSome(client, target, calls/callers)
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

// callSome sends calls one after another.
func callSome(client *http.Client, target func(n int) string, calls int) (*hdrhistogram.Histogram, error) {
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
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("call %d was answered with status %d", n, response.StatusCode)
		}
		if err := h.RecordValue(time.Since(start).Microseconds()); err != nil {
			return nil, errors.Wrap(err, "record time")
		}
	}
	return h, nil
}
