package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/outcome"
)

// sendLog records the sends of a call for its log line. It is safe for
// concurrent use.
type sendLog struct {
	mu    sync.Mutex
	sends []sendRecord
	// refusal is why the call was not sent or not retried; nil when no placement
	// was refused.
	refusal *refusalRecord
	// notResent is why the last failed send was not retried; empty when no send
	// failed.
	notResent string
}

// refusalRecord holds the estimates behind a refusal.
type refusalRecord struct {
	// PlacedBy is the VM that refused the call.
	PlacedBy string         `json:"placed_by,omitempty"`
	Reason   outcome.Reason `json:"reason"`
	// Upstreams counts the upstreams of the service, Free those with a free slot.
	Upstreams int `json:"upstreams"`
	Free      int `json:"free"`
	// Waiting counts the calls that waited.
	Waiting int `json:"waiting"`
	// SendsPerSecond is the recent rate of sends.
	SendsPerSecond float64 `json:"sends_per_second"`
	// UnitMs is the base latency, and WaitedMs how long the call waited, in
	// milliseconds.
	UnitMs   int64 `json:"unit_ms"`
	WaitedMs int64 `json:"waited_ms"`
	// NextSendMs is the time until the rate limits of the upstreams permit another call,
	// in milliseconds; 0 if they don't limit it.
	NextSendMs int64 `json:"next_send_ms,omitempty"`
}

// setRefusal records a refusal.
func (l *sendLog) setRefusal(refusal dispatch.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusal = &refusalRecord{
		PlacedBy: refusal.PlacedBy, Reason: refusal.Reason,
		Upstreams: refusal.Basis.Upstreams, Free: refusal.Basis.Free, Waiting: refusal.Basis.Waiting,
		SendsPerSecond: refusal.Basis.SendsPerSecond,
		UnitMs:         refusal.Basis.BaseLatency.Milliseconds(), WaitedMs: refusal.Basis.Waited.Milliseconds(),
		NextSendMs: refusal.Basis.NextSend.Milliseconds(),
	}
}

// recordNotResent records why a failed send was not retried.
func (l *sendLog) recordNotResent(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notResent = reason
}

// notResentReason returns why the last failed send was not retried.
func (l *sendLog) notResentReason() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notResent
}

// lastRefusal returns the last refusal; nil when there was none.
func (l *sendLog) lastRefusal() *refusalRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusal
}

// sendRecord is one send of a call: the estimates behind the choice of its
// upstream and its result.
type sendRecord struct {
	Upstream string `json:"upstream"`
	// PlacedBy is the VM that chose the upstream.
	PlacedBy string `json:"placed_by,omitempty"`
	// Load and Slowness are the upstream's when it was chosen. AgeMs is the age
	// of its last report in milliseconds; -1 means that there was none.
	Load     float64 `json:"load"`
	Slowness float64 `json:"slowness"`
	AgeMs    int64   `json:"age_ms"`
	// ExpectedMs is the expected latency, WaitedMs the time that the call waited
	// to be placed, in milliseconds.
	ExpectedMs int64 `json:"expected_ms"`
	WaitedMs   int64 `json:"waited_ms,omitempty"`
	// TookMs is the duration of the send in milliseconds; -1 means that it has
	// not ended.
	TookMs int64 `json:"took_ms"`
	// Status is the response's status; Outcome and Reason describe a failure.
	Status  int             `json:"status,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	Reason  outcome.Reason  `json:"reason,omitempty"`
	// Transfer is set for a failed send.
	Transfer *transferRecord `json:"transfer,omitempty"`
}

// begin records the start of a send and returns its index.
func (l *sendLog) begin(sent send) int {
	record := sendRecord{Upstream: sent.choice.Name, TookMs: -1, AgeMs: -1}
	if sent.grant != nil {
		record.PlacedBy = sent.grant.PlacedBy
		record.Load = sent.grant.Basis.Load
		record.Slowness = sent.grant.Basis.Slowness
		record.AgeMs = sent.grant.Basis.Age.Milliseconds()
		record.ExpectedMs = sent.grant.Basis.Expected.Milliseconds()
		record.WaitedMs = sent.grant.Waited.Milliseconds()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends = append(l.sends, record)
	return len(l.sends) - 1
}

// end records the result of the send at an index.
func (l *sendLog) end(index int, took time.Duration, result attemptResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := &l.sends[index]
	record.TookMs = took.Milliseconds()
	record.Status = result.status
	record.Outcome = result.outcome
	record.Reason = result.reason
	if result.reason != "" {
		record.Transfer = &result.transfer
	}
}

// hasFailure reports whether a send has failed.
func (l *sendLog) hasFailure() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.sends, func(r sendRecord) bool { return r.Reason != "" })
}

// records returns a copy of the sends so far.
func (l *sendLog) records() []sendRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sendRecord(nil), l.sends...)
}
