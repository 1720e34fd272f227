package upload

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
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

// States of the chart upload.ini in which a record is stored.
const (
	StatePending    chart.State = "pending"
	StateDelivering chart.State = "delivering"
	StateDelivered  chart.State = "delivered"
	StateFailed     chart.State = "failed"
)

// Times of a delivery.
const (
	// LeaseTime is how long a lease holds without renewal.
	LeaseTime = 30 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed delivery.
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// Chart returns the chart of an upload. It returns an error when the file is at
// fault.
func Chart() (*chart.Chart, error) {
	return chart.Load(charts.Files, "upload.ini")
}

func isStoredState(state chart.State) bool {
	return slices.Contains([]chart.State{StatePending, StateDelivering, StateDelivered, StateFailed}, state)
}

// IsFinal tells whether the delivery of the upload has ended.
func (r Record) IsFinal() bool {
	return r.State == StateDelivered || r.State == StateFailed
}

// Rules are the transitions of a stored upload.
type Rules struct {
	transitions []chart.Transition
}

// NewRules returns the rules of the chart upload.ini.
func NewRules() (*Rules, error) {
	c, err := Chart()
	if err != nil {
		return nil, err
	}
	return &Rules{transitions: c.Transitions()}, nil
}

// ErrTransition means that the state of an upload does not take an event.
var ErrTransition = errors.New("upload: no such transition")

func (l *Rules) fire(r *Record, event chart.Event) error {
	for _, t := range l.transitions {
		if t.From == r.State && t.Event == event {
			r.State = t.To
			return nil
		}
	}
	return errors.Wrapf(ErrTransition, "state %q, event %q", r.State, event)
}

// IsDue tells whether a delivery may be started: the upload waits and its pause
// is over, or its holder's lease has lapsed.
func (l *Rules) IsDue(now time.Time, r Record) bool {
	switch r.State {
	case StatePending:
		return !now.Before(r.NotBefore)
	case StateDelivering:
		return now.After(r.Lease.Until)
	default:
		return false
	}
}

// Lease returns the record with a delivery started by holder.
func (l *Rules) Lease(now time.Time, r Record, holder string) (Record, error) {
	if !l.IsDue(now, r) {
		return r, errors.Wrap(ErrTransition, "not due")
	}
	if err := l.fire(&r, EventLeased); err != nil {
		return r, err
	}
	r.Attempts++
	r.Lease = Lease{Holder: holder, Until: now.Add(LeaseTime)}
	return r, nil
}

// Renew returns the record with its holder's lease prolonged.
func (l *Rules) Renew(now time.Time, r Record) (Record, error) {
	if err := l.fire(&r, EventLeased); err != nil {
		return r, err
	}
	r.Lease.Until = now.Add(LeaseTime)
	return r, nil
}

// Result is how a delivery ended.
type Result struct {
	// Status is the status of the upstream's answer; 0 means that none came.
	Status int
	// Whole means that the upstream was sent the whole body before it answered.
	Whole bool
	// Upstream is the upstream that was sent to; empty means none.
	Upstream string
}

// Event returns what an upstream's answer to an upload means.
func (s Result) Event() chart.Event {
	switch {
	case s.Status >= http.StatusOK && s.Status < http.StatusMultipleChoices:
		if s.Whole {
			return EventAcknowledged
		}
		return EventUpstreamLost
	case isPassing(s.Status):
		return EventUpstreamLost
	case s.Status >= http.StatusMultipleChoices && s.Status < http.StatusInternalServerError:
		return EventRejected
	default:
		return EventUpstreamLost
	}
}

// isPassing tells whether a status speaks of the upstream at this moment and
// not of the upload.
func isPassing(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooEarly ||
		status == http.StatusTooManyRequests
}

// End returns the record after a delivery. random spreads the next attempts of
// many uploads.
func (l *Rules) End(now time.Time, r Record, result Result, random *rand.Rand) (Record, error) {
	event := result.Event()
	if event == EventUpstreamLost {
		event = EventDeliveryFailed
	}
	if err := l.fire(&r, event); err != nil {
		return r, err
	}
	r.Lease = Lease{}
	r.Status = result.Status
	if r.IsFinal() {
		r.Finished = now
		return r, nil
	}
	r.Avoid = result.Upstream
	r.NotBefore = now.Add(backoff(r.Attempts, random))
	return r, nil
}

// Release returns the record with its lease given back, free for any VM.
func (l *Rules) Release(now time.Time, r Record) (Record, error) {
	if err := l.fire(&r, EventDeliveryFailed); err != nil {
		return r, err
	}
	r.Lease = Lease{}
	r.NotBefore = now
	return r, nil
}

// backoff returns the pause after an attempt: doubled each time, with up to
// half of it taken off at random.
func backoff(attempts int, random *rand.Rand) time.Duration {
	pause := minBackoff
	for i := 1; i < attempts && pause < maxBackoff; i++ {
		pause *= 2
	}
	pause = min(pause, maxBackoff)
	return pause - time.Duration(random.Int64N(int64(pause/2)))
}
