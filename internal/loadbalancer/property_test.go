package loadbalancer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/loadbalancer"
)

// The seed is fixed, so that every run checks the same cases; the flag -rapid.seed
// overrides it. The histories are long enough for slow averages to move.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "200")
}

// history is a random history of a balancer. It keeps its own account of what is known
// of each upstream.
type history struct {
	*loadbalancer.Balancer
	t         *rapid.T
	now       time.Time
	upstreams []loadbalancer.Upstream
	sends     []historySend
	// idleSince is when an upstream last had a call that was known. slowUntil is
	// until when its last report that it is slow counts.
	idleSince map[string]time.Time
	slowUntil map[string]time.Time
	// hasOthers means that other VMs send calls too, of which only reports tell.
	hasOthers bool
}

// historySend is a send in flight.
type historySend struct {
	choice loadbalancer.Choice
	at     time.Time
}

func newHistory(t *rapid.T) *history {
	h := &history{
		Balancer: loadbalancer.New(loadbalancer.Options{VM: "vm", Zone: "a"}, rand.New(rand.NewPCG(1, 2))),
		t:        t, now: time.Unix(1000, 0),
		idleSince: make(map[string]time.Time), slowUntil: make(map[string]time.Time),
	}
	h.hasOthers = rapid.Bool().Draw(t, "has others")
	slots := rapid.IntRange(1, 6).Draw(t, "slots")
	for i := range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		name := fmt.Sprintf("u%d", i)
		h.upstreams = append(h.upstreams, loadbalancer.Upstream{Name: name, Address: name, Zone: "a", Slots: slots})
		h.idleSince[name] = h.now
	}
	h.SetUpstreams(h.now, h.upstreams)
	return h
}

// duration draws a duration, in milliseconds.
func (h *history) duration(low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(h.t, label)) * time.Millisecond
}

// pass lets time pass.
func (h *history) pass(*rapid.T) {
	h.now = h.now.Add(h.duration(0, 3000, "passed"))
}

// report draws the report of an upstream and records it.
func (h *history) report(name string) callheader.Report {
	own := 0
	for _, s := range h.sends {
		if s.choice.Name == name {
			own++
		}
	}
	others := 0
	if h.hasOthers {
		others = rapid.IntRange(0, 4).Draw(h.t, "others")
	}
	if others > 0 {
		h.idleSince[name] = h.now
	}
	slowness := rapid.SampledFrom([]float64{1, 1, 1, 1.3, 5}).Draw(h.t, "slowness")
	h.slowUntil[name] = time.Time{}
	if slowness >= loadbalancer.ReportedSlow {
		h.slowUntil[name] = h.now.Add(loadbalancer.SlownessDecay)
	}
	return callheader.Report{Running: own + others, Slowness: slowness}
}

// probe answers a probe, with a report or without.
func (h *history) probe(t *rapid.T) {
	name := rapid.SampledFrom(h.upstreams).Draw(t, "probed").Name
	result := loadbalancer.ProbeResult{Sent: h.now, IsHealthy: true, HasReport: rapid.Bool().Draw(t, "has report")}
	if result.HasReport {
		result.Report = h.report(name)
	}
	h.Probed(h.now, name, result)
}

// end ends a send after any time.
func (h *history) end(t *rapid.T) {
	if len(h.sends) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(h.sends)-1).Draw(t, "ended")
	ended := h.sends[i]
	h.now = h.now.Add(h.duration(1, 3000, "took"))
	h.sends = append(h.sends[:i], h.sends[i+1:]...)
	h.idleSince[ended.choice.Name] = h.now
	latency := h.now.Sub(ended.at)
	result := loadbalancer.Result{Latency: latency}
	switch rapid.IntRange(0, 9).Draw(t, "outcome") {
	case 0:
		h.Cancelled(h.now, ended.choice, latency)
		return
	case 1:
		result.Failed = true
	case 2:
		result.Shed = true
	case 3:
		result.HasReport = true
		result.Report = h.report(ended.choice.Name)
		result.Report.Running++
	}
	h.Done(h.now, ended.choice, result)
}

// place places a call. If it is not sent, it checks that no upstream stands empty.
func (h *history) place(t *rapid.T) {
	request := loadbalancer.Request{Zone: "a", Bulk: rapid.Bool().Draw(t, "bulk"), NoTrial: rapid.Bool().Draw(t, "no trial")}
	left := loadbalancer.TimeLeft{
		Objective: h.duration(-100, 3000, "objective"), Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"),
	}
	left.Deadline = max(left.Objective, 0) + h.duration(1, 3000, "after the objective")
	choice, verdict := h.Place(h.now, request, left)
	if verdict == loadbalancer.Send {
		h.Sent(h.now, choice)
		h.sends = append(h.sends, historySend{choice: choice, at: h.now})
		return
	}
	h.checkEmpty(left, verdict)
}

// checkEmpty checks that no upstream stands empty that the call should have got.
func (h *history) checkEmpty(left loadbalancer.TimeLeft, verdict loadbalancer.Verdict) {
	empty := 0
	for _, u := range h.upstreams {
		if !h.isEmpty(u.Name) {
			continue
		}
		idleTime, limit := h.now.Sub(h.idleSince[u.Name]), loadbalancer.MaxIdleTime
		isReportedSlow := !h.now.After(h.slowUntil[u.Name])
		if isReportedSlow {
			limit = loadbalancer.MaxSlowIdleTime
		}
		if idleTime >= limit {
			h.t.Fatalf("%s has been empty for %s", u.Name, idleTime)
		}
		if !h.hasOthers && !isReportedSlow && h.Fastest() <= left.Deadline {
			empty++
		}
	}
	if empty > 0 && verdict == loadbalancer.Wait {
		h.t.Fatalf("%d upstreams are empty, and the call waits", empty)
	}
	if empty > left.Waiting {
		h.t.Fatalf("%d upstreams are empty, %d other calls wait", empty, left.Waiting)
	}
}

// isEmpty reports whether an upstream may take calls and none is known there.
func (h *history) isEmpty(name string) bool {
	for _, s := range h.sends {
		if s.choice.Name == name {
			return false
		}
	}
	return h.IsReady(name)
}

// TestNoEstimateWithholdsAnEmptyUpstream draws histories of placements, ends, probes
// and pauses.
func TestNoEstimateWithholdsAnEmptyUpstream(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		t.Repeat(map[string]func(*rapid.T){"pass": h.pass, "probe": h.probe, "end": h.end, "place": h.place})
	})
}
