package dispatch_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestUrgentCallsGoFirst overloads a service with less urgent calls while
// urgent calls arrive at a third of its capacity. All slots are occupied then,
// so a call can't be moved away from an upstream that becomes slow: such calls
// may be late. Of the other urgent calls, a share of goodputTarget has to be
// answered in time.
func TestUrgentCallsGoFirst(t *testing.T) {
	t.Parallel()
	var urgentShares, otherShares []float64
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(pairServers, fleetSize, seed)
			place, end := asCoordinator(f.dispatcher("vm", seed))
			full := pairServers.capacity(statusLoad(0, 0))
			urgent, others := statusLoad(full/3, seed), statusLoad(1.5*full, seed+100)
			others.priority = 1
			var urgentResults, otherResults []result
			var loads sync.WaitGroup
			loads.Go(func() { urgentResults = f.run(urgent, place) })
			loads.Go(func() { otherResults = f.run(others, place) })
			loads.Wait()
			end()
			urgentShares = append(urgentShares, share(urgentResults, withinObjective(urgent)))
			otherShares = append(otherShares, share(otherResults, withinObjective(others)))
			checkRefusals(NewWithT(t), f, others, otherResults)
			time.Sleep(time.Minute)
		})
	}
	slices.Sort(urgentShares)
	slices.Sort(otherShares)
	t.Logf("timely share: urgent %.3f, others %.3f", urgentShares[2], otherShares[2])
	target := goodputTarget * (1 - pairServers.slowTransitionShare(statusLoad(0, 0)))
	NewWithT(t).Expect(urgentShares[2]).To(BeNumerically(">=", target), "median of five seeds")
}

// TestIdleSlowUpstreamIsNotKeptFromLessUrgentCalls keeps urgent calls waiting for a fast
// upstream, which is busy, while one that reports that it is slow stands idle.
func TestIdleSlowUpstreamIsNotKeptFromLessUrgentCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var isFastBusy atomic.Bool
		probe := func(_ context.Context, address string) (loadbalancer.ProbeResult, bool) {
			time.Sleep(2 * time.Millisecond)
			report := callheader.Report{Slowness: 1}
			if address == "slow" {
				report.Slowness = 5
			} else if isFastBusy.Load() {
				report.Running = 1
			}
			return loadbalancer.ProbeResult{IsHealthy: true, HasReport: true, Report: report}, true
		}
		d := dispatch.NewDispatcher(dispatch.Options{
			VM: "vm", Zone: "a", Probe: probe, ProbesPerUpstream: 1000,
			Counters: telemetry.NewCounters(), Random: rand.New(rand.NewPCG(1, 1)),
		})
		d.SetUpstreams([]loadbalancer.Upstream{{Name: "fast", Address: "fast", Slots: 1}, {Name: "slow", Address: "slow", Slots: 1}})
		place, end := asCoordinator(d)
		request := func(objective time.Duration, priority int) dispatch.Request {
			now := time.Now()
			return dispatch.Request{Objective: now.Add(objective), Deadline: now.Add(2 * objective), Priority: priority}
		}
		for range 20 {
			grant, err := place(context.Background(), request(time.Second, 0))
			g.Expect(err).NotTo(HaveOccurred())
			latency := 100 * time.Millisecond
			if grant.Upstream == "slow" {
				latency *= 5
			}
			time.Sleep(latency)
			grant.End(dispatch.End{Result: loadbalancer.Result{Latency: latency}})
		}
		isFastBusy.Store(true)
		time.Sleep(200 * time.Millisecond)
		urgent, stop := context.WithCancel(context.Background())
		var calls sync.WaitGroup
		calls.Go(func() {
			for urgent.Err() == nil {
				calls.Go(func() { _, _ = place(urgent, request(200*time.Millisecond, 0)) })
				time.Sleep(20 * time.Millisecond)
			}
		})
		time.Sleep(time.Second)
		grant, err := place(context.Background(), request(5*time.Second, 1))
		stop()
		calls.Wait()
		end()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Upstream).To(Equal("slow"))
		time.Sleep(time.Minute)
	})
}
