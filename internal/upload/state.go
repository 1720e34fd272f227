package upload

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/quarantine"
)

// Events of the chart upload.ini.
const (
	EventAcknowledged   chart.Event = "acknowledged"
	EventRejected       chart.Event = "rejected"
	EventUpstreamLost   chart.Event = "upstream_lost"
	EventCallerLost     chart.Event = "caller_lost"
	EventStored         chart.Event = "stored"
	EventStoreFailed    chart.Event = "store_failed"
	EventLeased         chart.Event = "leased"
	EventDeliveryFailed chart.Event = "delivery_failed"
)

// States of the chart upload.ini that a stored record can have.
const (
	StatePending    chart.State = "pending"
	StateDelivering chart.State = "delivering"
	StateDelivered  chart.State = "delivered"
	StateFailed     chart.State = "failed"
)

// Times of a delivery.
const (
	// LeaseTime is how long a lease is valid without renewal.
	LeaseTime = 30 * time.Second
	// minBackoff and maxBackoff limit the retry delay after a failed delivery.
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// Chart returns the state chart of an upload. It returns an error if the chart
// upload.ini is invalid.
func Chart() (*chart.Chart, error) {
	return chart.Load(charts.Files, "upload.ini")
}

func isStoredState(state chart.State) bool {
	return slices.Contains([]chart.State{StatePending, StateDelivering, StateDelivered, StateFailed}, state)
}

// IsFinal reports whether the delivery of the upload has ended.
func (r Record) IsFinal() bool {
	return r.State == StateDelivered || r.State == StateFailed
}

// StateMachine implements the transitions of a stored upload. It does no I/O.
// It is safe for concurrent use.
type StateMachine struct {
	transitions []chart.Transition
}

// NewStateMachine returns the StateMachine of the chart upload.ini.
func NewStateMachine() (*StateMachine, error) {
	c, err := Chart()
	if err != nil {
		return nil, err
	}
	return &StateMachine{transitions: c.Transitions()}, nil
}

// ErrTransition is returned when an event is not allowed in the state of an
// upload.
var ErrTransition = errors.New("upload: no such transition")

// fire applies an event to the state of a record.
func (m *StateMachine) fire(r *Record, event chart.Event) error {
	for _, t := range m.transitions {
		if t.From == r.State && t.Event == event {
			r.State = t.To
			return nil
		}
	}
	return errors.Wrapf(ErrTransition, "state %q, event %q", r.State, event)
}

// IsHeld reports whether no further delivery is started, because the upload may be what ends
// the upstreams or VMs that handle it. It ends with Retry.
func (r Record) IsHeld() bool {
	return isExhausted(r.Ended) || r.State == StateDelivering && isExhausted(r.lapsesIfLost())
}

// lapsesIfLost returns the lapses if the present lease lapses, too.
func (r Record) lapsesIfLost() int {
	return r.Lapses + 1
}

// isExhausted reports whether so many deliveries have ended badly that none is left.
func isExhausted(ended int) bool {
	_, ok := badEndDelay(ended)
	return !ok
}

// badEndDelay returns the time until the next delivery after a number of deliveries that
// ended badly; false if there is none.
func badEndDelay(ended int) (time.Duration, bool) {
	if ended < quarantine.MaxEnded {
		return 0, true
	}
	return quarantine.TrialDelay(ended - quarantine.MaxEnded)
}

// IsDue reports whether a delivery may be started: the upload is pending and its
// retry delay has passed, or it is being delivered and the lease has expired. A held upload
// is never due.
func (m *StateMachine) IsDue(now time.Time, r Record) bool {
	if r.IsHeld() {
		return false
	}
	switch r.State {
	case StatePending:
		return !now.Before(r.NotBefore)
	case StateDelivering:
		delay, _ := badEndDelay(r.lapsesIfLost())
		return now.After(r.Lease.Until.Add(delay))
	default:
		return false
	}
}

// Retry returns the record of a held or waiting upload, due at once and with nothing held
// against it.
func (m *StateMachine) Retry(now time.Time, r Record) (Record, error) {
	if r.IsFinal() {
		return r, errors.Wrapf(ErrTransition, "state %q", r.State)
	}
	r.Ended, r.Lapses = 0, 0
	if r.State == StatePending {
		r.NotBefore = now
	}
	return r, nil
}

// Lease starts a delivery: it returns the record with a lease for holder. It
// returns ErrTransition if no delivery is due.
func (m *StateMachine) Lease(now time.Time, r Record, holder string) (Record, error) {
	if !m.IsDue(now, r) {
		return r, errors.Wrap(ErrTransition, "not due")
	}
	if r.State == StateDelivering {
		r.Lapses++
	}
	if err := m.fire(&r, EventLeased); err != nil {
		return r, err
	}
	r.Attempts++
	r.Lease = Lease{Holder: holder, Until: now.Add(LeaseTime)}
	return r, nil
}

// Renew returns the record with its lease extended.
func (m *StateMachine) Renew(now time.Time, r Record) (Record, error) {
	if err := m.fire(&r, EventLeased); err != nil {
		return r, err
	}
	r.Lease.Until = now.Add(LeaseTime)
	return r, nil
}

// Result is the result of sending an upload to an upstream.
type Result struct {
	// Status is the HTTP status of the response; 0 means that there was none.
	Status int
	// BodySent reports whether the whole body was sent before the response.
	BodySent bool
	// Upstream is the upstream that the upload was sent to; empty means none.
	Upstream string
	// UpstreamEnded means that the upstream has ended under the upload.
	UpstreamEnded bool
}

// Event returns the event for the result. A 2xx response acknowledges the upload
// only if the whole body was sent before it.
func (r Result) Event() chart.Event {
	switch {
	case r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices:
		if r.BodySent {
			return EventAcknowledged
		}
		return EventUpstreamLost
	case isTransient(r.Status):
		return EventUpstreamLost
	case r.Status >= http.StatusMultipleChoices && r.Status < http.StatusInternalServerError:
		return EventRejected
	default:
		return EventUpstreamLost
	}
}

// isTransient reports whether a 4xx status describes the current condition or the
// address of the upstream and not the upload, so that a retry may succeed.
func isTransient(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooEarly, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}

// Finish returns the record after a delivery. random adds jitter to the retry
// delay, so that many failed uploads are not retried at the same time.
func (m *StateMachine) Finish(now time.Time, r Record, result Result, random *rand.Rand) (Record, error) {
	event := result.Event()
	if event == EventUpstreamLost {
		event = EventDeliveryFailed
	}
	if err := m.fire(&r, event); err != nil {
		return r, err
	}
	r.Lease = Lease{}
	r.Lapses = 0
	r.Status = result.Status
	if result.UpstreamEnded {
		r.Ended++
	}
	if r.IsFinal() {
		r.Finished = now
		return r, nil
	}
	r.Avoid = result.Upstream
	delay, _ := badEndDelay(r.Ended)
	r.NotBefore = now.Add(max(backoff(r.Attempts, random), delay))
	return r, nil
}

// Release returns the record without a lease and due immediately, so that any VM
// can deliver the upload.
func (m *StateMachine) Release(now time.Time, r Record) (Record, error) {
	if err := m.fire(&r, EventDeliveryFailed); err != nil {
		return r, err
	}
	r.Lease = Lease{}
	r.Lapses = 0
	r.NotBefore = now
	return r, nil
}

// backoff returns the retry delay after a number of attempts. It doubles from
// minBackoff to maxBackoff and is then reduced at random by up to half.
func backoff(attempts int, random *rand.Rand) time.Duration {
	delay := minBackoff
	for i := 1; i < attempts && delay < maxBackoff; i++ {
		delay *= 2
	}
	delay = min(delay, maxBackoff)
	return delay - time.Duration(random.Int64N(int64(delay/2)))
}
