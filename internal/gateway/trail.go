package gateway

import (
	"sync"
	"time"

	"github.com/figfront/figfront/internal/outcome"
)

// trail records the sends of a call for its log line. It is safe for concurrent
// use.
type trail struct {
	mu    sync.Mutex
	sends []sendRecord
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
