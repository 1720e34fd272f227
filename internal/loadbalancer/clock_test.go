package loadbalancer_test

import (
	"testing"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// TestClockReadBeforeAReportWasRecordedEndsNoProcess is the case of review/1: a call's clock was
// read before the lock, and a report was recorded in between.
func TestClockReadBeforeAReportWasRecordedEndsNoProcess(t *testing.T) {
	p := newPlacementTest(2)
	choice, _ := p.Pick(p.now, loadbalancer.Request{})
	for range 200 {
		p.Sent(p.now, choice)
		p.Done(p.now, choice, loadbalancer.Result{HasReport: true, Report: callheader.Report{Running: 4, Slowness: 1}})
	}
	before := p.now
	p.now = p.now.Add(30 * time.Millisecond)
	p.report("u0", 0, 1)
	p.report("u1", 0, 1)
	choice, verdict := p.Place(before, loadbalancer.Request{Zone: "a"}, loadbalancer.TimeLeft{Objective: time.Second, Deadline: time.Second})
	if verdict != loadbalancer.Send || choice.Basis.Load < 0 {
		t.Fatalf("%v, %+v", verdict, choice.Basis)
	}
}
