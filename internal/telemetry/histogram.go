package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a Histogram. Longer times count as the longest.
const (
	shortestTime = time.Microsecond
	longestTime  = time.Minute
	// timeDigits is the number of digits of a time that are kept.
	timeDigits = 2
)

// Names of histograms.
const (
	// HistogramCall is the time from a call's arrival to its answer, by kind of
	// traffic.
	HistogramCall = "call"
	// HistogramWait is how long calls waited to be placed.
	HistogramWait = "place_wait"
	// HistogramReportAge is the age of the report that a choice rested on.
	HistogramReportAge = "report_age"
	// HistogramConfigAge is the time from a change of the configuration until it is
	// in force.
	HistogramConfigAge = "config_age"
)

// Histogram counts times. It is safe for concurrent use.
type Histogram struct {
	mu    sync.Mutex
	times *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{
		times: hdrhistogram.New(shortestTime.Microseconds(), longestTime.Microseconds(), timeDigits),
	}
}

// observe counts a time.
func (h *Histogram) observe(d time.Duration) {
	us := min(max(d, shortestTime), longestTime).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	// A time within the range is always taken.
	_ = h.times.RecordValue(us)
}

// summary is what the page of counters shows of a histogram; times are in
// microseconds.
type summary struct {
	Count  int64 `json:"count"`
	P50Us  int64 `json:"p50_us"`
	P90Us  int64 `json:"p90_us"`
	P99Us  int64 `json:"p99_us"`
	P999Us int64 `json:"p999_us"`
	MaxUs  int64 `json:"max_us"`
}

// String returns the histogram's quantiles as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	s := summary{
		Count:  h.times.TotalCount(),
		P50Us:  h.times.ValueAtQuantile(50),
		P90Us:  h.times.ValueAtQuantile(90),
		P99Us:  h.times.ValueAtQuantile(99),
		P999Us: h.times.ValueAtQuantile(99.9),
		MaxUs:  h.times.Max(),
	}
	h.mu.Unlock()
	encoded, err := json.Marshal(s)
	if err != nil {
		return "null"
	}
	return string(encoded)
}

// Observe counts a time in a histogram of the group latencies.
func (c *Counters) Observe(name string, d time.Duration) {
	group := c.group(GroupLatencies)
	histogram, ok := group.Get(name).(*Histogram)
	if !ok {
		histogram = c.addHistogram(group, name)
	}
	histogram.observe(d)
}

// addHistogram returns the histogram of a name, which it makes when there is
// none.
func (c *Counters) addHistogram(group *expvar.Map, name string) *Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := group.Get(name).(*Histogram); ok {
		return known
	}
	histogram := newHistogram()
	group.Set(name, histogram)
	return histogram
}
