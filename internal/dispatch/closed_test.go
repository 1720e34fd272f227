package dispatch_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/telemetry"
)

// archiveServers report no load, have six slots and start cold. A fifth of their
// phases is slow.
var archiveServers = serverModel{
	slots: 6, fullFactor: 1.7, phaseLength: 400 * time.Millisecond, slowShare: 0.2, slowFactor: 5,
	isSpeedKept: true, reportsNothing: true, coldFor: 6 * time.Second, coldFactor: 3,
}

// archiveLoad returns a load of two uploads a second.
func archiveLoad(deadline time.Duration, seed uint64) load {
	return load{
		perSecond: 2, duration: 35 * time.Second, work: 260 * time.Millisecond,
		objective: 800 * time.Millisecond, deadline: deadline, seed: seed,
	}
}

// TestSlowFirstResponsesCloseNoService has the first responses of a service come from
// cold and slow upstreams, almost all of which are free all the time.
func TestSlowFirstResponsesCloseNoService(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{time.Second, 4 * time.Second} {
		for seed := range uint64(12) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(archiveServers, 6, seed)
				place, end := asCoordinator(f.dispatcher("vm", seed))
				began := time.Now()
				results := f.run(archiveLoad(deadline, seed), place)
				end()
				time.Sleep(time.Minute)
				g.Expect(share(results, func(r result) bool { return r.isRefused })).To(BeZero(), "deadline %s, seed %d", deadline, seed)
				hasWaited := func(r result) bool { return r.arrived.Sub(began) > 10*time.Second && r.placed > 0 }
				g.Expect(share(results, hasWaited)).To(BeZero(), "deadline %s, seed %d", deadline, seed)
			})
		}
	}
}

// TestLoneWaitingCallIsNotRefusedForItself has one call at a time at upstreams that
// report that they are too slow for its objective.
func TestLoneWaitingCallIsNotRefusedForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := keptDesk
		model.slowShare = 1
		f := newFleet(model, fleetSize, 1)
		place, end := asCoordinator(f.dispatcher("vm", 1))
		l := deskLoad(0.5, 1)
		l.duration = time.Minute
		l.objective = 250 * time.Millisecond
		results := f.run(l, place)
		end()
		time.Sleep(time.Minute)
		NewWithT(t).Expect(share(results, func(r result) bool { return r.isRefused })).To(BeZero())
	})
}

// TestServiceThatRefusesAllCallsIsReported has calls whose deadline is below the fastest
// response of the free upstreams.
func TestServiceThatRefusesAllCallsIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		model := archiveServers
		model.coldFor, model.slowShare = 0, 0
		f := newFleet(model, 6, 1)
		counters := telemetry.NewCounters()
		var lines bytes.Buffer
		d := f.dispatcherWith("vm", 1, func(o *dispatch.Options) {
			o.Service, o.Counters = "archive", counters
			o.Log = hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true})
		})
		place, end := asCoordinator(d)
		f.run(archiveLoad(4*time.Second, 1), place)
		g.Expect(counters.Get(telemetry.GroupDispatch, "closed")).To(BeZero())
		hopeless := archiveLoad(100*time.Millisecond, 2)
		hopeless.perSecond = 20
		f.run(hopeless, place)
		end()
		time.Sleep(time.Minute)
		g.Expect(counters.Get(telemetry.GroupDispatch, "closed")).To(BeNumerically(">=", 1))
		for _, field := range []string{`"service":"archive"`, `"free":6`, `"unit_ms":`, `"unit_age_ms":`, `"unit_samples":63`} {
			g.Expect(lines.String()).To(ContainSubstring(field))
		}
	})
}
