// Package hedge decides when a lookup is sent a second time.
//
// A Trigger records the latencies of first sends and estimates the delay after
// which a response counts as late. It takes latencies as arguments, does no I/O
// and starts no goroutine. Only idempotent calls may be hedged; the extra send
// is paid from the service's retry budget:
//
//	trigger := hedge.NewTrigger(hedge.Options{})
//	delay, ok := trigger.Delay()
//	trigger.Observe(latency)
package hedge

import (
	"math"
	"time"
)

// Options configure a Trigger.
type Options struct {
	// Quantile is the share of first sends that get a response before the
	// delay. The default is 0.945.
	Quantile float64
	// Min is the shortest delay. The default is 1 ms.
	Min time.Duration
	// Window is the number of recent latencies that the estimate is based on:
	// once twice as many are recorded, all weights are halved. The default is
	// 400.
	Window int
}

const (
	defaultQuantile = 0.945
	defaultMin      = time.Millisecond
	defaultWindow   = 400
	// minObserved is the number of latencies required for the first hedge.
	minObserved = 20
)

// Buckets of the latency histogram. Their bounds start at lowestLatency and grow
// by a factor of 2^(1/bucketsPerDouble), over 20 doublings.
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

// NewTrigger returns a Trigger without recorded latencies.
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
// because its hedge won, pass the time until the cancellation: the real latency
// is above the delay in any case, which is all that the estimate needs.
func (t *Trigger) Observe(latency time.Duration) {
	t.counts[bucket(latency)]++
	t.total++
	if t.total >= 2*float64(t.options.Window) {
		t.halve()
	}
	t.delay = t.quantile()
}

// halve halves the weight of all recorded latencies.
func (t *Trigger) halve() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

// bucket returns the index of the bucket that a latency belongs to.
func bucket(latency time.Duration) int {
	if latency <= lowestLatency {
		return 0
	}
	doubles := math.Log2(float64(latency) / float64(lowestLatency))
	return min(int(doubles*bucketsPerDouble), bucketCount-1)
}

// lowerBound returns the lower bound of a bucket.
func lowerBound(i int) time.Duration {
	return time.Duration(float64(lowestLatency) * math.Exp2(float64(i)/bucketsPerDouble))
}

// quantile returns the latency that a share of 1 - Quantile exceeds. Within a
// bucket it assumes evenly spread latencies.
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

// Delay returns the time after which a lookup without a response is sent again.
// It returns false until minObserved latencies are recorded.
func (t *Trigger) Delay() (time.Duration, bool) {
	if t.total < minObserved {
		return 0, false
	}
	return max(t.delay, t.options.Min), true
}
