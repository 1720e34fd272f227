package gateway

import (
	"sync"
	"time"

	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/outcome"
)

// trail records the sends of a call for its log line. It is safe for concurrent
// use.
type trail struct {
	mu    sync.Mutex
	sends []sendRecord
	// refusal is why the call was not sent, or not again; nil when nothing kept
	// it.
	refusal *refusalRecord
	// kept is why the last failed send was not followed by another one; empty when
	// no send failed.
	kept string
}

// refusalRecord is what a refusal was decided by.
type refusalRecord struct {
	// PlacedBy is the VM that refused the call.
	PlacedBy string         `json:"placed_by,omitempty"`
	Reason   outcome.Reason `json:"reason"`
	// Upstreams counts those of the service, and Free those with a free slot.
	Upstreams int `json:"upstreams"`
	Free      int `json:"free"`
	// Waiting counts the calls that waited.
	Waiting int `json:"waiting"`
	// SendsPerSecond is the rate at which calls had lately been sent.
	SendsPerSecond float64 `json:"sends_per_second"`
	// UnitMs is the time in which a free upstream answers, and WaitedMs how long
	// the call waited, in milliseconds.
	UnitMs   int64 `json:"unit_ms"`
	WaitedMs int64 `json:"waited_ms"`
}

// refuse records a refusal.
func (t *trail) refuse(refusal dispatch.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusal = &refusalRecord{
		PlacedBy: refusal.PlacedBy, Reason: refusal.Reason,
		Upstreams: refusal.Basis.Upstreams, Free: refusal.Basis.Free, Waiting: refusal.Basis.Waiting,
		SendsPerSecond: refusal.Basis.SendsPerSecond,
		UnitMs:         refusal.Basis.BaseLatency.Milliseconds(), WaitedMs: refusal.Basis.Waited.Milliseconds(),
	}
}

// keep records why a failed send was not followed by another one.
func (t *trail) keep(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = reason
}

// keptBy returns why the last failed send was not followed by another one.
func (t *trail) keptBy() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kept
}

// lastRefusal returns the last refusal; nil when there was none.
func (t *trail) lastRefusal() *refusalRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusal
}

// sendRecord is one send of a call: what it was decided by, and how it ended.
type sendRecord struct {
	Upstream string `json:"upstream"`
	// PlacedBy is the VM that chose the upstream.
	PlacedBy string `json:"placed_by,omitempty"`
	// Load and Slowness are those of the upstream when it was chosen, AgeMs the
	// age of its last report in milliseconds; -1 means that there was none.
	Load     float64 `json:"load"`
	Slowness float64 `json:"slowness"`
	AgeMs    int64   `json:"age_ms"`
	// ExpectedMs is the expected time until the answer and WaitedMs the time that
	// the call waited to be placed, in milliseconds.
	ExpectedMs int64 `json:"expected_ms"`
	WaitedMs   int64 `json:"waited_ms,omitempty"`
	// TookMs is the time from the send to its end, in milliseconds; -1 means that
	// it has not ended.
	TookMs int64 `json:"took_ms"`
	// Status is that of the answer; Outcome and Reason tell of a failure.
	Status  int             `json:"status,omitempty"`
	Outcome outcome.Outcome `json:"outcome,omitempty"`
	Reason  outcome.Reason  `json:"reason,omitempty"`
}

// begin records a send and returns its place.
func (t *trail) begin(sent send) int {
	record := sendRecord{Upstream: sent.choice.Name, TookMs: -1, AgeMs: -1}
	if sent.grant != nil {
		record.PlacedBy = sent.grant.PlacedBy
		record.Load = sent.grant.Basis.Load
		record.Slowness = sent.grant.Basis.Slowness
		record.AgeMs = sent.grant.Basis.Age.Milliseconds()
		record.ExpectedMs = sent.grant.Basis.Expected.Milliseconds()
		record.WaitedMs = sent.grant.Waited.Milliseconds()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends = append(t.sends, record)
	return len(t.sends) - 1
}

// end records how the send at a place ended.
func (t *trail) end(place int, took time.Duration, result attemptResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record := &t.sends[place]
	record.TookMs = took.Milliseconds()
	record.Status = result.status
	record.Outcome = result.outcome
	record.Reason = result.reason
}

// records returns the sends so far.
func (t *trail) records() []sendRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]sendRecord(nil), t.sends...)
}
