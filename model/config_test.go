package model_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// configCheckTimeout limits the duration of one check.
const configCheckTimeout = 4 * time.Minute

// configCheck is one run of the model checker on a model of the configuration
// protocol.
type configCheck struct {
	file string
	// variant is the preprocessor macro that breaks the model; empty for the
	// correct model, whose properties must hold.
	variant string
	// violatedAssertion is the assertion that the checker must report as violated;
	// empty for the correct model.
	violatedAssertion string
}

var configChecks = []configCheck{
	{file: "config_commit.pml"},
	{file: "config_commit.pml", variant: "NO_CONDITION", violatedAssertion: "assertion violated (writes["},
	{file: "config_commit.pml", variant: "NO_CHANGE_ROW", violatedAssertion: "assertion violated (becameRevisions[op]==1)"},
	{file: "config_commit.pml", variant: "NO_VOID", violatedAssertion: "assertion violated  !(toldNothing["},
	{file: "config_spread.pml"},
	{file: "config_spread.pml", variant: "APPLY_ANY", violatedAssertion: "assertion violated ( !(serves[v])"},
	{file: "config_spread.pml", variant: "BOOTSTRAP_ONE", violatedAssertion: "assertion violated (rev[3]>=others)"},
	{file: "config_spread.pml", variant: "POSITION_LAST", violatedAssertion: "assertion violated (rev[i]==head)"},
}

// TestConfigurationModels checks that the correct models hold after an exhaustive
// search and that each broken variant violates its assertion.
func TestConfigurationModels(t *testing.T) {
	for _, c := range configChecks {
		t.Run(c.file+" "+c.variant, func(t *testing.T) {
			g := NewWithT(t)
			report := c.run(t)
			if c.violatedAssertion != "" {
				g.Expect(report).To(ContainSubstring(c.violatedAssertion))
				return
			}
			g.Expect(report).To(ContainSubstring("errors: 0"))
			g.Expect(report).NotTo(ContainSubstring("Search not completed"))
			g.Expect(report).NotTo(ContainSubstring("max search depth too small"))
		})
	}
}

// run builds and runs the verifier of the model and returns its report.
func (c configCheck) run(t *testing.T) string {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), configCheckTimeout)
	defer cancel()
	directory := t.TempDir()
	file, err := filepath.Abs(c.file)
	g.Expect(err).NotTo(HaveOccurred())
	run := func(name string, arguments ...string) string {
		command := exec.CommandContext(ctx, name, arguments...)
		command.Dir = directory
		output, err := command.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), string(output))
		return string(output)
	}
	arguments := []string{"-a", file}
	if c.variant != "" {
		arguments = append([]string{"-D" + c.variant}, arguments...)
	}
	run("spin", arguments...)
	run("gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=2048", "-o", "pan", "pan.c")
	return run("./pan", "-m200000")
}
