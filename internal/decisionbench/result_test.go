package decisionbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies holds latencies of calls from 1 µs to 2 minutes.
type Latencies struct {
	histogram *hdrhistogram.Histogram
}

func newLatencies() Latencies {
	return Latencies{hdrhistogram.New(1, (2 * time.Minute).Microseconds(), 3)}
}

func (l Latencies) record(d time.Duration) {
	_ = l.histogram.RecordValue(d.Microseconds())
}

// P returns a quantile in milliseconds; q lies between 0 and 1.
func (l Latencies) P(q float64) float64 {
	return float64(l.histogram.ValueAtQuantile(100*q)) / 1000
}

// Count returns the number of latencies.
func (l Latencies) Count() int64 {
	return l.histogram.TotalCount()
}

// Result is what a simulation measured after its warm-up.
type Result struct {
	// Lookups and Bookings hold the latencies of answered calls, from their
	// arrival at the VM to the answer there.
	Lookups  Latencies
	Bookings Latencies
	// Calls counts the calls that ended: OK in time, Failed with an error or
	// shed, Late without an answer at the deadline, Refused at admission.
	Calls   int
	OK      int
	Failed  int
	Late    int
	Refused int
	// Refusals counts the refused calls by reason.
	Refusals map[string]int
	// Sends counts all sends, Hedges and Retries the extra ones, HedgeWins the
	// hedges that answered first, Probes the probes.
	Sends     int
	Hedges    int
	HedgeWins int
	Retries   int
	Probes    int
	// SendsTo counts the sends to each upstream.
	SendsTo []int
	// Goodput is the number of calls a second that were answered in time.
	Goodput float64
	// Ran is the number of calls a second that the upstreams ran to their end.
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

// SendsPerCall returns the sends per call that was not refused.
func (r *Result) SendsPerCall() float64 {
	return float64(r.Sends) / float64(max(r.Calls-r.Refused, 1))
}

// ProbesPerCall returns the probes per call.
func (r *Result) ProbesPerCall() float64 {
	return float64(r.Probes) / float64(max(r.Calls, 1))
}

// countSend counts a send of a call that has ended.
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
