package dispatch

import (
	"time"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// closedAfter is the time for which a service refuses all calls while an upstream is
// free until it counts as closed. A closed service is reported as often.
const closedAfter = time.Second

// closedWatch recognizes a service that refuses all calls although upstreams are free.
type closedWatch struct {
	// since is the first refusal since the last send, or since the last report;
	// zero when there was none.
	since time.Time
}

// sent records that a call was sent.
func (w *closedWatch) sent() {
	w.since = time.Time{}
}

// refused records a refusal while a number of upstreams were free. It reports whether
// the service has been closed for closedAfter since the last report.
func (w *closedWatch) refused(now time.Time, free int) bool {
	switch {
	case free == 0:
		w.since = time.Time{}
		return false
	case w.since.IsZero():
		w.since = now
		return false
	case now.Sub(w.since) < closedAfter:
		return false
	default:
		w.since = now
		return true
	}
}

// watchRefusalLocked reports a service that refuses all calls although upstreams are
// free; estimate is that for the refused call.
func (d *Dispatcher) watchRefusalLocked(now time.Time, refusal Refusal, estimate loadbalancer.BaseEstimate) {
	if !d.closed.refused(now, refusal.Basis.Free) {
		return
	}
	d.options.Counters.Add(telemetry.GroupDispatch, "closed", 1)
	d.options.Log.Warn("service refuses all calls while upstreams are free", telemetry.FieldService, d.options.Service,
		telemetry.FieldReason, refusal.Reason, "upstreams", refusal.Basis.Upstreams, "free", refusal.Basis.Free,
		"unit_ms", estimate.Latency.Milliseconds(), "unit_age_ms", estimate.Age.Milliseconds(), "unit_samples", estimate.Samples)
}
