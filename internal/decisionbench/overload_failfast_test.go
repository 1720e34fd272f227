package decisionbench

import (
	"sync"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/retry"
)

// Times of the fault, and targets. successTarget is a fraction of the calls that
// can be served; sendsTarget is the maximum number of sends per call.
const (
	faultStart     = 6 * time.Second
	faultEnd       = 16 * time.Second
	runEnd         = 26 * time.Second
	recoveryTime   = 2 * time.Second
	successTarget  = 0.98
	sendsTarget    = 1.10
	timelineBucket = 100 * time.Millisecond
)

// timeline counts sends and calls in buckets of timelineBucket: sends by the
// time they were sent, calls by the time they arrived.
type timeline struct {
	first   []int
	extra   []int
	arrived []int
	ok      []int
}

func newTimeline(length time.Duration) *timeline {
	n := int(length/timelineBucket) + 1
	return &timeline{
		first: make([]int, n), extra: make([]int, n), arrived: make([]int, n), ok: make([]int, n),
	}
}

func bucketOf(at time.Duration) int { return int(at / timelineBucket) }

// observe sets the callbacks of a configuration to record its sends and calls.
func (l *timeline) observe(config *Config) {
	config.OnSend = func(s *Simulation, sent *Send) {
		if sent.Kind == First {
			l.first[bucketOf(s.Elapsed())]++
		} else {
			l.extra[bucketOf(s.Elapsed())]++
		}
	}
	config.OnEnd = func(_ *Simulation, c *Call) {
		l.arrived[bucketOf(c.Arrived)]++
		if c.End == OK {
			l.ok[bucketOf(c.Arrived)]++
		}
	}
}

func sumBetween(counts []int, from, to time.Duration) int {
	total := 0
	for _, n := range counts[bucketOf(from):bucketOf(to)] {
		total += n
	}
	return total
}

// maxSendsPerCall returns the highest ratio of all sends to first sends in any
// window of length retry.Window.
func (l *timeline) maxSendsPerCall() float64 {
	worst := 0.0
	span := bucketOf(retry.Window)
	for from := 0; from+span < len(l.first); from++ {
		start := time.Duration(from) * timelineBucket
		first := sumBetween(l.first, start, start+retry.Window)
		extra := sumBetween(l.extra, start, start+retry.Window)
		worst = max(worst, 1+float64(extra)/float64(max(first, 1)))
	}
	return worst
}

// failHalf returns a change that makes every second upstream fail fast or
// recover.
func failHalf(failing bool) func(s *Simulation) {
	return func(s *Simulation) {
		for i := range s.Upstreams {
			if i%2 == 1 {
				s.Upstreams[i].Behaviour.FailFast = failing
			}
		}
	}
}

// halfFailFastRun holds the results of one seed.
type halfFailFastRun struct {
	// success is the number of lookups that succeeded during the fault as a
	// fraction of those that the healthy half can serve.
	success float64
	// maxSendsPerCall is the highest ratio of sends to calls in any window.
	maxSendsPerCall float64
	// minSuccessPerSecond is the lowest success rate in any second after the
	// recovery.
	minSuccessPerSecond float64
}

func runHalfFailFast(config Config, seed uint64) halfFailFastRun {
	config.Script = []Step{{faultStart, failHalf(true)}, {faultEnd, failHalf(false)}}
	observed := runTimeline(config, seed)
	return halfFailFastRun{
		success:             float64(sumBetween(observed.ok, faultStart, faultEnd)) / observed.servableCalls(config),
		maxSendsPerCall:     observed.maxSendsPerCall(),
		minSuccessPerSecond: observed.minSuccessPerSecond(),
	}
}

// servableCalls returns the number of calls that the healthy upstreams can serve
// during the fault: the calls that arrived, limited by the healthy capacity.
func (l *timeline) servableCalls(config Config) float64 {
	healthy := float64((config.Upstreams+1)/2) / float64(config.Upstreams)
	capacity := healthy * config.Capacity() * (faultEnd - faultStart).Seconds()
	return min(float64(sumBetween(l.arrived, faultStart, faultEnd)), capacity)
}

func (l *timeline) minSuccessPerSecond() float64 {
	worst := 1.0
	for from := faultEnd + recoveryTime; from+2*time.Second <= runEnd; from += time.Second {
		arrived := sumBetween(l.arrived, from, from+time.Second)
		worst = min(worst, float64(sumBetween(l.ok, from, from+time.Second))/float64(arrived))
	}
	return worst
}

// testHalfFailFast checks, at the given load, the success rate while half of the
// upstreams fail fast and after they recover, and the number of sends per call.
func testHalfFailFast(t *testing.T, load float64) {
	runs := make([]halfFailFastRun, len(seeds))
	var group sync.WaitGroup
	for i, seed := range seeds {
		group.Go(func() { runs[i] = runHalfFailFast(withLimits(StartBoard(load)), seed) })
	}
	group.Wait()
	var successes []float64
	for i, r := range runs {
		t.Logf("seed %d: success rate %.4f, max sends per call %.3f, min success rate per second after recovery %.4f",
			seeds[i], r.success, r.maxSendsPerCall, r.minSuccessPerSecond)
		successes = append(successes, r.success)
		if r.maxSendsPerCall > sendsTarget {
			t.Errorf("seed %d: %.3f sends per call over 10 s, want at most %.2f", seeds[i], r.maxSendsPerCall, sendsTarget)
		}
		if r.minSuccessPerSecond < successTarget {
			t.Errorf("seed %d: success rate is only %.4f in a second after recovery", seeds[i], r.minSuccessPerSecond)
		}
	}
	if success := median(successes); success < successTarget {
		t.Errorf("%.4f of the servable lookups succeed, want at least %.2f", success, successTarget)
	}
}

func TestHalfFailFastBelowCapacity(t *testing.T) { testHalfFailFast(t, 0.45) }

func TestHalfFailFastOverloaded(t *testing.T) { testHalfFailFast(t, 0.70) }
