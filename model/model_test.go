// Package model_test checks the Promela models in this directory with Spin.
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

// checkTimeout limits the duration of each command of a check.
const checkTimeout = 5 * time.Minute

// check is one run of the model checker.
type check struct {
	name string
	file string
	// defines are preprocessor macros: the size of the model and the variant.
	defines []string
	// violatedAssertion is the assertion that the checker must report as violated;
	// empty for a model that must hold after an exhaustive search.
	violatedAssertion string
}

// Parts of Spin's messages about the properties P1, P2 and P3 of claims.pml.
const (
	atMostOnceViolation       = "assertion violated (runs<=1)"
	sentAfterNotRunViolation  = "assertion violated  !(toldNotRun[me])"
	claimNotReleasedViolation = "toldNotRun[holder])&& !(dead[holder])"
)

var checks = []check{
	{name: "claims, 2 VMs, 1 call each", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1"}},
	{name: "claims, 2 VMs, 2 calls each, 2 lost answers", file: "claims.pml", defines: []string{"VMS=2", "CALLS=2", "LOSSES=2"}},
	{name: "claims, 3 VMs, 1 call each, 2 lost answers", file: "claims.pml", defines: []string{"VMS=3", "CALLS=1", "LOSSES=2"}},
	{name: "claims, sent before the write is confirmed", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "SEND_UNSETTLED"}, violatedAssertion: atMostOnceViolation},
	{name: "claims, takeover by lease", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "LEASE_TAKEOVER"}, violatedAssertion: atMostOnceViolation},
	{name: "claims, not run without a final write", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "NOT_RUN_OPEN"}, violatedAssertion: claimNotReleasedViolation},
	{name: "claims, unknown released", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "RELEASE_UNKNOWN"}, violatedAssertion: atMostOnceViolation},
	{name: "claims, no condition", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "NO_CONDITION", "NO_MONITOR"}, violatedAssertion: atMostOnceViolation},
	{name: "claims, sent after refusal", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "SEND_AFTER_REFUSAL"}, violatedAssertion: sentAfterNotRunViolation},
	{name: "claims, refused rewrite treated as not written", file: "claims.pml", defines: []string{"VMS=2", "CALLS=1", "FORGET_REWRITE"}, violatedAssertion: claimNotReleasedViolation},
}

// TestModels checks that the claim model holds after an exhaustive search and that each
// broken variant violates its assertion.
func TestModels(t *testing.T) {
	for _, c := range checks {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			report := runSpin(t, c)
			if c.violatedAssertion != "" {
				g.Expect(report).To(ContainSubstring(c.violatedAssertion))
				return
			}
			g.Expect(report).To(ContainSubstring("errors: 0"))
			g.Expect(report).NotTo(ContainSubstring("Search not completed"))
			g.Expect(report).NotTo(ContainSubstring("max search depth too small"))
			t.Log(storedStates(report))
		})
	}
}

// runSpin builds and runs the verifier of a model and returns its report.
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

func storedStates(report string) string {
	for line := range strings.SplitSeq(report, "\n") {
		if strings.Contains(line, "states, stored") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// stepPattern matches STEP(from, event, to) in a model. A trailing underscore
// distinguishes a state from another identifier of the model with the same name.
var stepPattern = regexp.MustCompile(`STEP\((\w+?)_?, (\w+), (\w+?)_?\)`)

// modelSteps returns the transitions that a model contains, in the order of the file.
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

// chartCheck compares the transitions of a chart with those of a model.
type chartCheck struct {
	chart string
	model string
	// notModelled are events of the chart that the model omits.
	notModelled []chart.Event
}

var chartChecks = []chartCheck{
	// All calls of the model have the same key and content, so a key never belongs to
	// a different call.
	{chart: "claim.ini", model: "claims.pml", notModelled: []chart.Event{"row_mismatch"}},
}

// TestChartsFollowTheModels checks that the chart and its model have the same
// transitions, except for the events that the model omits.
func TestChartsFollowTheModels(t *testing.T) {
	for _, c := range chartChecks {
		t.Run(c.chart, func(t *testing.T) {
			g := NewWithT(t)
			loaded, err := chart.Load(charts.Files, c.chart)
			g.Expect(err).NotTo(HaveOccurred())
			var modelled []chart.Transition
			for _, transition := range loaded.Transitions() {
				if !isNotModelled(c, transition.Event) {
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

func isNotModelled(c chartCheck, event chart.Event) bool {
	for _, omitted := range c.notModelled {
		if event == omitted {
			return true
		}
	}
	return false
}
