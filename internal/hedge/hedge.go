// Package hedge decides when a lookup is sent a second time.
//
// A Trigger learns the latencies of first sends and tells the delay after which
// an answer counts as late. It takes latencies as arguments, does no I/O and
// starts no goroutine. It is for idempotent calls alone; the extra send is paid
// from the service's retry budget:
//
//	trigger := hedge.NewTrigger(hedge.Options{})
//	delay, ok := trigger.Delay()
//	trigger.Observe(latency)
package hedge

import (
	"math"
	"time"
)

// Options are the settings of a Trigger.
type Options struct {
	// Quantile is the share of first sends that are answered before the delay.
	// The default is 0.945.
	Quantile float64
	// Min is the shortest delay. The default is 1 ms.
	Min time.Duration
	// Window is the number of latencies that the estimate rests on. The default
	// is 400.
	Window int
}

const (
	defaultQuantile = 0.945
	defaultMin      = time.Millisecond
	defaultWindow   = 400
	// minObserved is the number of latencies before the first hedge.
	minObserved = 20
)

// Buckets of the latency histogram: they grow by a factor of 2^(1/8) from
// lowestLatency on.
const (
	lowestLatency    = 100 * time.Microsecond
	bucketsPerDouble = 8
	bucketCount      = 20 * bucketsPerDouble
)

// Trigger estimates a quantile of the latency of first sends. It is not safe
// for concurrent use.
type Trigger struct {
	options Options
	counts  [bucketCount]float64
	total   float64
	delay   time.Duration
}

// NewTrigger returns a Trigger that has seen no latency.
func NewTrigger(options Options) *Trigger {
	if options.Quantile == 0 {
		options.Quantile = defaultQuantile
	}
	if options.Min == 0 {
		options.Min = defaultMin
	}
	if options.Window == 0 {
		options.Window = defaultWindow
	}
	return &Trigger{options: options}
}

// Observe records the latency of a first send. For a send that was cancelled
// because its hedge won, it takes the time until then: such a latency lies
// above the delay in any case, which is all that the estimate needs.
func (t *Trigger) Observe(latency time.Duration) {
	t.counts[bucket(latency)]++
	t.total++
	if t.total >= 2*float64(t.options.Window) {
		t.halve()
	}
	t.delay = t.quantile()
}

// halve makes old latencies count less.
func (t *Trigger) halve() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

func bucket(latency time.Duration) int {
	if latency <= lowestLatency {
		return 0
	}
	doubles := math.Log2(float64(latency) / float64(lowestLatency))
	return min(int(doubles*bucketsPerDouble), bucketCount-1)
}

// lowerBound returns the latency at which a bucket begins.
func lowerBound(i int) time.Duration {
	return time.Duration(float64(lowestLatency) * math.Exp2(float64(i)/bucketsPerDouble))
}

// quantile returns the latency above which the share 1 - Quantile lies. Within
// a bucket it takes the latencies as evenly spread.
func (t *Trigger) quantile() time.Duration {
	above := t.total * (1 - t.options.Quantile)
	for i := bucketCount - 1; i >= 0; i-- {
		if t.counts[i] > above {
			low, high := lowerBound(i), lowerBound(i+1)
			return high - time.Duration(above/t.counts[i]*float64(high-low))
		}
		above -= t.counts[i]
	}
	return lowestLatency
}

// Delay returns the time after which a lookup without an answer is sent again.
// It returns false until enough latencies were seen.
func (t *Trigger) Delay() (time.Duration, bool) {
	if t.total < minObserved {
		return 0, false
	}
	return max(t.delay, t.options.Min), true
}
