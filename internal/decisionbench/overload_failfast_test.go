package decisionbench

import (
	"sync"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/retry"
)

// The fault of TestHalfFailFast and what is wanted of it.
const (
	faultStart     = 6 * time.Second
	faultEnd       = 16 * time.Second
	runEnd         = 26 * time.Second
	recoveryTime   = 2 * time.Second
	successTarget  = 0.98
	sendsTarget    = 1.10
	timelineBucket = 100 * time.Millisecond
)

// timeline counts calls and sends by the time at which they happened.
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

// observe makes a configuration record its calls and sends.
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

func sum(counts []int, from, to time.Duration) int {
	total := 0
	for _, n := range counts[bucketOf(from):bucketOf(to)] {
		total += n
	}
	return total
}

// worstSends returns the highest ratio of sends to first sends over any window
// of the budget's length.
func (l *timeline) worstSends() float64 {
	worst := 0.0
	span := bucketOf(retry.Window)
	for from := 0; from+span < len(l.first); from++ {
		start := time.Duration(from) * timelineBucket
		first := sum(l.first, start, start+retry.Window)
		extra := sum(l.extra, start, start+retry.Window)
		worst = max(worst, 1+float64(extra)/float64(max(first, 1)))
	}
	return worst
}

// failHalf switches every second upstream to fast errors.
func failHalf(failing bool) func(s *Simulation) {
	return func(s *Simulation) {
		for i := range s.Upstreams {
			if i%2 == 1 {
				s.Upstreams[i].Behaviour.FailFast = failing
			}
		}
	}
}

// halfFailRun is what one seed of the scenario showed.
type halfFailRun struct {
	// success is the share of the lookups that the other half has room for
	// which succeeded during the fault.
	success float64
	// worstSends is the highest ratio of sends to calls over any window.
	worstSends float64
	// worstSecond is the lowest share of successes in a second after the
	// recovery.
	worstSecond float64
}

func runHalfFail(config Config, seed uint64) halfFailRun {
	config.Script = []Step{{faultStart, failHalf(true)}, {faultEnd, failHalf(false)}}
	lines := runTimeline(config, seed)
	return halfFailRun{
		success:     float64(sum(lines.ok, faultStart, faultEnd)) / lines.room(config),
		worstSends:  lines.worstSends(),
		worstSecond: lines.worstSecond(),
	}
}

// room returns the calls during the fault that the upstreams without it can
// run.
func (l *timeline) room(config Config) float64 {
	healthy := float64((config.Upstreams+1)/2) / float64(config.Upstreams)
	capacity := healthy * config.Capacity() * (faultEnd - faultStart).Seconds()
	return min(float64(sum(l.arrived, faultStart, faultEnd)), capacity)
}

func (l *timeline) worstSecond() float64 {
	worst := 1.0
	for from := faultEnd + recoveryTime; from+2*time.Second <= runEnd; from += time.Second {
		arrived := sum(l.arrived, from, from+time.Second)
		worst = min(worst, float64(sum(l.ok, from, from+time.Second))/float64(arrived))
	}
	return worst
}

func testHalfFail(t *testing.T, load float64) {
	runs := make([]halfFailRun, len(seeds))
	var group sync.WaitGroup
	for i, seed := range seeds {
		group.Go(func() { runs[i] = runHalfFail(withLimits(StartBoard(load)), seed) })
	}
	group.Wait()
	var successes []float64
	for i, r := range runs {
		t.Logf("seed %d: success %.4f, worst sends per call %.3f, worst second after recovery %.4f",
			seeds[i], r.success, r.worstSends, r.worstSecond)
		successes = append(successes, r.success)
		if r.worstSends > sendsTarget {
			t.Errorf("seed %d: %.3f sends per call over 10 s, want %.2f", seeds[i], r.worstSends, sendsTarget)
		}
		if r.worstSecond < successTarget {
			t.Errorf("seed %d: only %.4f succeed in a second after the recovery", seeds[i], r.worstSecond)
		}
	}
	if success := middle(successes); success < successTarget {
		t.Errorf("%.4f of the lookups that there is room for succeed, want %.2f", success, successTarget)
	}
}

func TestHalfFailFastWithRoom(t *testing.T) { testHalfFail(t, 0.45) }

func TestHalfFailFastOverloaded(t *testing.T) { testHalfFail(t, 0.70) }
