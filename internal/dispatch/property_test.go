package dispatch_test

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/telemetry"
)

// The seed is fixed, so that every run checks the same cases; the flag -rapid.seed
// overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
}

// drawService draws the upstreams of a service and its load. The deadline leaves an
// upstream that is not slow time for the longest work.
func drawService(t *rapid.T) (serverModel, int, load) {
	milliseconds := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	model := serverModel{
		slots: rapid.IntRange(1, 6).Draw(t, "slots"), fullFactor: 1.7, phaseLength: milliseconds(100, 3000, "phase"),
		slowShare: rapid.Float64Range(0, 0.6).Draw(t, "slow share"), slowFactor: rapid.Float64Range(1, 8).Draw(t, "slow factor"),
		isSpeedKept: rapid.Bool().Draw(t, "keeps speed"), reportsNothing: rapid.Bool().Draw(t, "reports nothing"),
		coldFor: milliseconds(0, 8000, "cold"), coldFactor: rapid.Float64Range(1, 5).Draw(t, "cold factor"),
	}
	count := rapid.IntRange(1, 8).Draw(t, "upstreams")
	l := load{work: milliseconds(20, 400, "work"), duration: 20 * time.Second, seed: rapid.Uint64().Draw(t, "seed")}
	l.perSecond = rapid.Float64Range(0.02, 0.5).Draw(t, "utilization") * float64(count*model.slots) / l.work.Seconds()
	l.objective = l.work + milliseconds(50, 1000, "spare time")
	l.deadline = max(l.objective, 5*l.work/2) + milliseconds(0, 3000, "after the objective")
	return model, count, l
}

// TestNoServiceClosesItself draws services that are not overloaded unless they are slow.
func TestNoServiceClosesItself(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		model, count, l := drawService(rt)
		counters := telemetry.NewCounters()
		synctest.Test(t, func(*testing.T) {
			f := newFleet(model, count, l.seed)
			place, end := asCoordinator(f.dispatcherWith("vm", l.seed, func(o *dispatch.Options) { o.Counters = counters }))
			f.run(l, place)
			end()
			time.Sleep(time.Minute)
		})
		if closed := counters.Get(telemetry.GroupDispatch, "closed"); closed > 0 {
			rt.Fatalf("all calls were refused for %d seconds while upstreams were free", closed)
		}
	})
}
