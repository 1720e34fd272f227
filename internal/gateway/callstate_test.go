package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/chart"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestOutcomeFollowsTheChart checks for sequences of events which outcome is
// reported to the caller.
func TestOutcomeFollowsTheChart(t *testing.T) {
	for _, test := range []struct {
		name      string
		events    []chart.Event
		requested outcome.Outcome
		want      outcome.Outcome
	}{
		{"refused on arrival", nil, outcome.NotRun, outcome.NotRun},
		{"send not accepted", []chart.Event{eventAdmitted, eventSent}, outcome.NotRun, outcome.NotRun},
		{"answered", []chart.Event{eventAdmitted, eventSent}, outcome.Ran, outcome.Ran},
		{"lost", []chart.Event{eventAdmitted, eventSent, eventMayHaveRun}, outcome.Unknown, outcome.Unknown},
		{"lost, then shed", []chart.Event{eventAdmitted, eventSent, eventMayHaveRun, eventSent}, outcome.NotRun, outcome.Unknown},
		{"lost, then answered", []chart.Event{eventAdmitted, eventSent, eventMayHaveRun, eventSent}, outcome.Ran, outcome.Ran},
		{"lost, then stored", []chart.Event{eventAdmitted, eventSent, eventMayHaveRun}, outcome.Accepted, outcome.Accepted},
		{"retry of a booking that ran", []chart.Event{eventAdmitted}, outcome.Ran, outcome.Ran},
		{"retry of a lost booking", []chart.Event{eventAdmitted}, outcome.Unknown, outcome.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newCallState()
			for _, event := range test.events {
				s.fire(event)
			}
			got, isUnchanged := s.conclude(test.requested)
			g.Expect(got).To(Equal(test.want))
			g.Expect(isUnchanged).To(Equal(test.requested == test.want))
		})
	}
}

// TestEventAfterTheOutcomeHasNoEffect: an event from an abandoned send after the
// outcome was reported does not change the state.
func TestEventAfterTheOutcomeHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	s := newCallState()
	s.fire(eventAdmitted)
	s.fire(eventSent)
	got, _ := s.conclude(outcome.Ran)
	g.Expect(got).To(Equal(outcome.Ran))
	s.fire(eventMayHaveRun)
	g.Expect(s.machine.State()).To(Equal(chart.State("ran")))
}

// TestRefusalAfterASendThatMayHaveRun: "not run" is replaced by "unknown" after a
// send that may have run, and the replacement is counted.
func TestRefusalAfterASendThatMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	counters := telemetry.NewCounters()
	w := httptest.NewRecorder()
	c := newCall(&Gateway{options: Options{Counters: counters, Log: hclog.NewNullLogger()}}, w,
		httptest.NewRequest(http.MethodPost, "/t/s/x", nil))
	c.state.fire(eventAdmitted)
	c.state.fire(eventSent)
	c.state.fire(eventMayHaveRun)
	c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.NoUpstream, ""))
	g.Expect(w.Header().Get(outcome.HeaderOutcome)).To(Equal(string(outcome.Unknown)))
	g.Expect(w.Code).To(Equal(http.StatusBadGateway))
	g.Expect(counters.Get(telemetry.GroupCalls, "outcome_replaced")).To(Equal(int64(1)))
}
