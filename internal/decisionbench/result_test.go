package decisionbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies is a histogram of call latencies from 1 µs to 2 minutes.
type Latencies struct {
	histogram *hdrhistogram.Histogram
}

func newLatencies() Latencies {
	return Latencies{hdrhistogram.New(1, (2 * time.Minute).Microseconds(), 3)}
}

func (l Latencies) record(d time.Duration) {
	_ = l.histogram.RecordValue(d.Microseconds())
}

// QuantileMs returns a quantile in milliseconds; q is between 0 and 1.
func (l Latencies) QuantileMs(q float64) float64 {
	return float64(l.histogram.ValueAtQuantile(100*q)) / 1000
}

// Count returns the number of recorded latencies.
func (l Latencies) Count() int64 {
	return l.histogram.TotalCount()
}

// Result holds the measurements of a simulation. Unless noted otherwise they
// cover the calls that arrived after the warm-up.
type Result struct {
	// Lookups and Bookings hold the latencies of successful calls, from their
	// arrival at the VM to the response there.
	Lookups  Latencies
	Bookings Latencies
	// Calls counts the calls that ended. OK counts those that succeeded in time,
	// Failed those that ended with an error or were shed, TimedOut those without
	// a response at the deadline, Refused those that admission control refused.
	Calls    int
	OK       int
	Failed   int
	TimedOut int
	Refused  int
	// Refusals counts the refused calls by reason.
	Refusals map[string]int
	// Sends counts all sends, Hedges and Retries the extra sends, HedgeWins the
	// hedges whose response came first, Probes the probes.
	Sends     int
	Hedges    int
	HedgeWins int
	Retries   int
	Probes    int
	// SendsTo counts the sends to each upstream.
	SendsTo []int
	// Goodput is the number of calls per second that succeeded in time.
	Goodput float64
	// Ran is the number of sends per second that the upstreams ran to completion,
	// including the warm-up.
	Ran float64
}

func newResult(config Config) *Result {
	return &Result{
		Lookups:  newLatencies(),
		Bookings: newLatencies(),
		Refusals: make(map[string]int),
		SendsTo:  make([]int, config.Upstreams),
	}
}

func (r *Result) finish(s *Simulation) {
	r.Goodput = float64(r.OK) / s.Config.Length.Seconds()
	ran := 0
	for _, u := range s.Upstreams {
		ran += u.Ran
	}
	r.Ran = float64(ran) / (s.Config.Warmup + s.Config.Length).Seconds()
}

// SendsPerCall returns the number of sends per call that was not refused.
func (r *Result) SendsPerCall() float64 {
	return float64(r.Sends) / float64(max(r.Calls-r.Refused, 1))
}

// ProbesPerCall returns the number of probes per call.
func (r *Result) ProbesPerCall() float64 {
	return float64(r.Probes) / float64(max(r.Calls, 1))
}

// countSend counts a send of a call that ended.
func (r *Result) countSend(sent *Send) {
	r.Sends++
	r.SendsTo[sent.Upstream]++
	switch sent.Kind {
	case Hedge:
		r.Hedges++
	case Retry:
		r.Retries++
	}
}
