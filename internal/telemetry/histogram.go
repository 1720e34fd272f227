package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a Histogram. Durations outside the range are recorded as the
// nearest limit.
const (
	minDuration = time.Microsecond
	maxDuration = time.Minute
	// significantDigits is the number of significant decimal digits that are kept.
	significantDigits = 2
)

// Names of histograms.
const (
	// HistogramCall is the time from a call's arrival to its response, by kind of
	// traffic.
	HistogramCall = "call"
	// HistogramWait is how long calls waited for their placement.
	HistogramWait = "place_wait"
	// HistogramReportAge is the age of the load report behind a choice of upstream.
	HistogramReportAge = "report_age"
	// HistogramConfigAge is the time from a change of the configuration until it is
	// active.
	HistogramConfigAge = "config_age"
)

// Histogram records durations from a microsecond to a minute. It is safe for
// concurrent use and implements expvar.Var.
type Histogram struct {
	mu        sync.Mutex
	durations *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{
		durations: hdrhistogram.New(minDuration.Microseconds(), maxDuration.Microseconds(), significantDigits),
	}
}

// observe records a duration.
func (h *Histogram) observe(d time.Duration) {
	us := min(max(d, minDuration), maxDuration).Microseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue only fails for values outside the range.
	_ = h.durations.RecordValue(us)
}

// summary is the JSON form of a histogram; durations are in microseconds.
type summary struct {
	Count  int64 `json:"count"`
	P50Us  int64 `json:"p50_us"`
	P90Us  int64 `json:"p90_us"`
	P99Us  int64 `json:"p99_us"`
	P999Us int64 `json:"p999_us"`
	MaxUs  int64 `json:"max_us"`
}

// String returns the number of durations, their quantiles and their maximum as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	s := summary{
		Count:  h.durations.TotalCount(),
		P50Us:  h.durations.ValueAtQuantile(50),
		P90Us:  h.durations.ValueAtQuantile(90),
		P99Us:  h.durations.ValueAtQuantile(99),
		P999Us: h.durations.ValueAtQuantile(99.9),
		MaxUs:  h.durations.Max(),
	}
	h.mu.Unlock()
	encoded, err := json.Marshal(s)
	if err != nil {
		return "null"
	}
	return string(encoded)
}

// Observe records a duration in the histogram name of GroupLatencies.
func (c *Counters) Observe(name string, d time.Duration) {
	group := c.group(GroupLatencies)
	histogram, ok := group.Get(name).(*Histogram)
	if !ok {
		histogram = c.getOrAddHistogram(group, name)
	}
	histogram.observe(d)
}

// getOrAddHistogram returns the histogram called name and creates it if it does not
// exist.
func (c *Counters) getOrAddHistogram(group *expvar.Map, name string) *Histogram {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := group.Get(name).(*Histogram); ok {
		return known
	}
	histogram := newHistogram()
	group.Set(name, histogram)
	return histogram
}
