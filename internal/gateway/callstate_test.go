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

// TestOutcomeFollowsTheChart checks for sequences of steps which outcome is
// reported to the caller.
func TestOutcomeFollowsTheChart(t *testing.T) {
	admitted := func(s *callState) { s.fire(eventAdmitted) }
	begin := (*callState).beginSend
	end := func(out outcome.Outcome) func(*callState) {
		return func(s *callState) { s.endSend(out) }
	}
	shed, lost := end(outcome.NotRun), end(outcome.Unknown)
	for _, test := range []struct {
		name      string
		steps     []func(*callState)
		requested outcome.Outcome
		want      outcome.Outcome
	}{
		{"refused on arrival", nil, outcome.NotRun, outcome.NotRun},
		{"not sent", steps(admitted), outcome.NotRun, outcome.NotRun},
		{"send not accepted", steps(admitted, begin, shed), outcome.NotRun, outcome.NotRun},
		{"send without a result", steps(admitted, begin), outcome.NotRun, outcome.Unknown},
		{"shed, second send without a result", steps(admitted, begin, shed, begin), outcome.NotRun, outcome.Unknown},
		{"one of two sends without a result", steps(admitted, begin, begin, shed), outcome.NotRun, outcome.Unknown},
		{"both sends shed", steps(admitted, begin, begin, shed, shed), outcome.NotRun, outcome.NotRun},
		{"one of two sends lost", steps(admitted, begin, begin, lost, shed), outcome.NotRun, outcome.Unknown},
		{"answered", steps(admitted, begin), outcome.Ran, outcome.Ran},
		{"lost", steps(admitted, begin, lost), outcome.Unknown, outcome.Unknown},
		{"lost, then shed", steps(admitted, begin, lost, begin, shed), outcome.NotRun, outcome.Unknown},
		{"lost, then answered", steps(admitted, begin, lost, begin), outcome.Ran, outcome.Ran},
		{"lost, then stored", steps(admitted, begin, lost), outcome.Accepted, outcome.Accepted},
		{"shed, then stored", steps(admitted, begin, shed), outcome.Accepted, outcome.Accepted},
		{"retry of a booking that ran", steps(admitted), outcome.Ran, outcome.Ran},
		{"retry of a lost booking", steps(admitted), outcome.Unknown, outcome.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newCallState()
			for _, step := range test.steps {
				step(s)
			}
			got, isUnchanged := s.conclude(test.requested)
			g.Expect(got).To(Equal(test.want))
			g.Expect(isUnchanged).To(Equal(test.requested == test.want))
		})
	}
}

func steps(s ...func(*callState)) []func(*callState) { return s }

// TestEventAfterTheOutcomeHasNoEffect: an event from an abandoned send after the
// outcome was reported does not change the state.
func TestEventAfterTheOutcomeHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	s := newCallState()
	s.fire(eventAdmitted)
	s.beginSend()
	s.beginSend()
	got, _ := s.conclude(outcome.Ran)
	g.Expect(got).To(Equal(outcome.Ran))
	s.endSend(outcome.Unknown)
	s.endSend(outcome.NotRun)
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
	c.state.beginSend()
	c.state.endSend(outcome.Unknown)
	c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.NoUpstream, ""))
	g.Expect(w.Header().Get(outcome.HeaderOutcome)).To(Equal(string(outcome.Unknown)))
	g.Expect(w.Code).To(Equal(http.StatusBadGateway))
	g.Expect(counters.Get(telemetry.GroupCalls, "outcome_replaced")).To(Equal(int64(1)))
}
