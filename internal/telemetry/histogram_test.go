package telemetry_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/telemetry"
)

// TestHistogramShowsQuantiles records 1 ms to 1 s in steps of 1 ms and one duration
// above the range.
func TestHistogramShowsQuantiles(t *testing.T) {
	g := NewWithT(t)
	counters := telemetry.NewCounters()
	for ms := range 1000 {
		counters.Observe(telemetry.HistogramCall, time.Duration(ms+1)*time.Millisecond)
	}
	counters.Observe(telemetry.HistogramCall, time.Hour)
	var page struct {
		Latencies map[string]struct {
			Count int64 `json:"count"`
			P50Us int64 `json:"p50_us"`
			P99Us int64 `json:"p99_us"`
		} `json:"latencies"`
	}
	g.Expect(json.Unmarshal([]byte(counters.String()), &page)).To(Succeed())
	call := page.Latencies[telemetry.HistogramCall]
	g.Expect(call.Count).To(Equal(int64(1001)))
	g.Expect(call.P50Us).To(BeNumerically("~", 500000, 10000))
	g.Expect(call.P99Us).To(BeNumerically("~", 990000, 20000))
}
