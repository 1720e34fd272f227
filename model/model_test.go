// Package model_test checks the specifications in this directory with spin.
package model_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/charts"
	"github.com/figfront/figfront/internal/chart"
)

// checkTimeout ends a check that does not come to an end by itself.
const checkTimeout = 5 * time.Minute

// check is one run of the model checker.
type check struct {
	name    string
	file    string
	defines []string
	// violates is the assertion that the checker has to find violated; empty
	// for a model that has to be accepted after an exhaustive search.
	violates string
}

const (
	runsOnce     = "assertion violated (runs<=1)"
	keepsWord    = "assertion violated  !(toldNotRun[me])"
	leavesNoHold = "toldNotRun[holder])&& !(dead[holder])"
)

var checks = []check{
	{name: "claims, 2 VMs, 1 call each", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1"}},
	{name: "claims, 2 VMs, 2 calls each, 2 lost answers", file: "claims.pml", defines: []string{"VMS=2", "CALLS=2", "LOSSES=2"}},
	{name: "claims, 3 VMs, 1 call each, 2 lost answers", file: "claims.pml", defines: []string{"VMS=3", "CALLS=1", "LOSSES=2"}},
	{name: "claims, sent unsettled", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "SEND_UNSETTLED"}, violates: runsOnce},
	{name: "claims, takeover by lease", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "LEASE_TAKEOVER"}, violates: runsOnce},
	{name: "claims, not run without closing", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "NOT_RUN_OPEN"}, violates: leavesNoHold},
	{name: "claims, unknown released", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "RELEASE_UNKNOWN"}, violates: runsOnce},
	{name: "claims, no condition", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "NO_CONDITION", "NO_MONITOR"}, violates: runsOnce},
	{name: "claims, sent after refusal", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "SEND_AFTER_REFUSAL"}, violates: keepsWord},
	{name: "claims, rewrite forgotten", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "FORGET_REWRITE"}, violates: leavesNoHold},
}

func TestModels(t *testing.T) {
	for _, c := range checks {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			report := runSpin(t, c)
			if c.violates != "" {
				g.Expect(report).To(ContainSubstring(c.violates))
				return
			}
			g.Expect(report).To(ContainSubstring("errors: 0"))
			g.Expect(report).NotTo(ContainSubstring("Search not completed"))
			g.Expect(report).NotTo(ContainSubstring("max search depth too small"))
			t.Log(statesLine(report))
		})
	}
}

// runSpin builds the verifier of a model and returns its report.
func runSpin(t *testing.T, c check) string {
	t.Helper()
	g := NewWithT(t)
	directory := t.TempDir()
	content, err := os.ReadFile(c.file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(directory, c.file), content, 0o600)).To(Succeed())
	arguments := []string{"-a"}
	for _, define := range c.defines {
		arguments = append(arguments, "-D"+define)
	}
	output, err := runIn(t, directory, "spin", append(arguments, c.file)...)
	g.Expect(err).NotTo(HaveOccurred(), output)
	output, err = runIn(t, directory, "gcc", "-O1", "-w", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=2048", "-o", "pan", "pan.c")
	g.Expect(err).NotTo(HaveOccurred(), output)
	output, err = runIn(t, directory, "./pan", "-m1000000")
	g.Expect(err).NotTo(HaveOccurred(), output)
	return output
}

func runIn(t *testing.T, directory, name string, arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), checkTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, name, arguments...)
	command.Dir = directory
	output, err := command.CombinedOutput()
	return string(output), err
}

func statesLine(report string) string {
	for line := range strings.SplitSeq(report, "\n") {
		if strings.Contains(line, "states, stored") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// stepPattern matches STEP(from, event, to) in a model. A trailing underscore
// keeps a state's name apart from another name of the model.
var stepPattern = regexp.MustCompile(`STEP\((\w+?)_?, (\w+), (\w+?)_?\)`)

// modelSteps returns the transitions that a model allows.
func modelSteps(t *testing.T, file string) []chart.Transition {
	t.Helper()
	content, err := os.ReadFile(file)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var steps []chart.Transition
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.HasPrefix(line, "#define") {
			continue
		}
		for _, match := range stepPattern.FindAllStringSubmatch(line, -1) {
			steps = append(steps, chart.Transition{
				From: chart.State(match[1]), Event: chart.Event(match[2]), To: chart.State(match[3]),
			})
		}
	}
	return steps
}

// chartCheck compares a chart with the steps of a model.
type chartCheck struct {
	chart string
	model string
	// beyondModel are events that the model leaves out.
	beyondModel []chart.Event
}

var chartChecks = []chartCheck{
	// The model has one call per key, so no key belongs to another call.
	{chart: "claim.ini", model: "claims.pml", beyondModel: []chart.Event{"row_mismatch"}},
}

func TestChartsFollowTheModels(t *testing.T) {
	for _, c := range chartChecks {
		t.Run(c.chart, func(t *testing.T) {
			g := NewWithT(t)
			loaded, err := chart.Load(charts.Files, c.chart)
			g.Expect(err).NotTo(HaveOccurred())
			var modelled []chart.Transition
			for _, transition := range loaded.Transitions() {
				if !isBeyond(c, transition.Event) {
					modelled = append(modelled, transition)
				}
			}
			steps := modelSteps(t, c.model)
			for _, transition := range modelled {
				g.Expect(steps).To(ContainElement(transition))
			}
			for _, step := range steps {
				g.Expect(modelled).To(ContainElement(step))
			}
		})
	}
}

func isBeyond(c chartCheck, event chart.Event) bool {
	for _, beyond := range c.beyondModel {
		if event == beyond {
			return true
		}
	}
	return false
}
