package cmd_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Exit codes that operators and scripts rely on.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "figfront-bin")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "./...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// commandTimeout is the time after which a command that is still running is killed.
const commandTimeout = time.Minute

// run runs a command until it exits and returns its exit code and output. The code
// of a command that was killed after commandTimeout is -1.
func run(t *testing.T, name string, args ...string) (int, string) {
	t.Helper()
	var output bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(binDir, name), args...)
	command.Env = []string{}
	command.Stdout = &output
	command.Stderr = &output
	err := command.Run()
	if command.ProcessState == nil {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), output.String()
}

// servers maps the commands that read a settings file to their section of it.
var servers = map[string]string{
	"figfront-gateway": "gateway",
	"figfront-agent":   "agent",
	"figfront-admin":   "admin",
}

func TestSampleSettingsPassTheCheck(t *testing.T) {
	g := NewWithT(t)
	for name, kind := range servers {
		for _, vm := range []string{"vm1", "vm2"} {
			code, output := run(t, name, "check", "--settings", "../deploy/demo/"+vm+"-"+kind+".ini")
			g.Expect(code).To(Equal(exitOK), output)
			g.Expect(output).To(BeEmpty())
		}
	}
}

// TestFaultsStopCheckAndRun checks that with several faults in the settings both check
// and run print one line for each fault and exit with code 2.
func TestFaultsStopCheckAndRun(t *testing.T) {
	g := NewWithT(t)
	for name, kind := range servers {
		path := filepath.Join(t.TempDir(), kind+".ini")
		content := "[vm]\nname = Entry 1\nzone = fukuoka\nlog_level = loud\n[" + kind + "]\n" +
			"listen = localhost:80\noperators = 127.0.0.1\ncolour = red\n[extra]\nx = 1\n"
		g.Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		for _, verb := range []string{"check", "run"} {
			code, output := run(t, name, verb, "--settings", path)
			g.Expect(code).To(Equal(exitSettings), output)
			for _, want := range []string{
				"section [vm]: key name: \"Entry 1\" is not allowed",
				"section [vm]: key log_level: \"loud\" is not allowed: allowed: one of trace",
				"section [" + kind + "]: key listen: \"localhost:80\" is not allowed: allowed: an IP number and a port",
				"section [" + kind + "]: key operators: \"127.0.0.1\" is not allowed",
				"section [" + kind + "]: key platform: allowed: has to be given",
				"section [" + kind + "]: key colour: allowed: only the keys",
				"section [extra]: allowed: only the sections vm, " + kind,
			} {
				g.Expect(output).To(ContainSubstring(want))
			}
			for line := range strings.SplitSeq(strings.TrimSpace(output), "\n") {
				g.Expect(line).To(HavePrefix(path + ": "))
			}
		}
	}
}

func TestMissingSettingsFile(t *testing.T) {
	g := NewWithT(t)
	for name := range servers {
		code, output := run(t, name, "run", "--settings", "/nowhere.ini")
		g.Expect(code).To(Equal(exitSettings))
		g.Expect(output).To(ContainSubstring("/nowhere.ini"))
	}
}

func TestVersionAndHelp(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{
		"figfront-gateway", "figfront-agent", "figfront-admin", "figfrontctl", "figfront-standin",
	} {
		code, output := run(t, name, "--version")
		g.Expect(code).To(Equal(exitOK), output)
		g.Expect(strings.TrimSpace(output)).NotTo(BeEmpty())
		code, output = run(t, name, "--help")
		g.Expect(code).To(Equal(exitOK))
		g.Expect(output).To(ContainSubstring("Usage: " + name))
		code, _ = run(t, name, "--no-such-flag")
		g.Expect(code).To(Equal(exitSettings))
	}
}

// TestEveryFlagHasHelp checks that the help of every command and subcommand has a text
// for each flag.
func TestEveryFlagHasHelp(t *testing.T) {
	g := NewWithT(t)
	for _, line := range []string{
		"figfront-gateway run", "figfront-agent run", "figfront-admin check",
		"figfront-standin platform", "figfront-standin upstream",
		"figfrontctl get", "figfrontctl diff", "figfrontctl check", "figfrontctl apply",
		"figfrontctl rollback", "figfrontctl history", "figfrontctl status",
	} {
		fields := strings.Fields(line)
		code, output := run(t, fields[0], fields[1], "--help")
		g.Expect(code).To(Equal(exitOK), output)
		lines := strings.Split(output, "\n")
		for i, text := range lines {
			if !strings.HasPrefix(strings.TrimSpace(text), "--") && !strings.HasPrefix(strings.TrimSpace(text), "-s, --") {
				continue
			}
			parts := strings.SplitN(strings.TrimSpace(text), "  ", 2)
			isOnNextLine := i+1 < len(lines) && strings.HasPrefix(lines[i+1], "        ")
			g.Expect(len(parts) == 2 || isOnNextLine).To(BeTrue(), "%s: no help for %q", line, text)
		}
	}
}

// TestFailedComponentEndsTheProcess checks that each server exits with an error, and
// does not keep serving, if the operators' address is already in use.
func TestFailedComponentEndsTheProcess(t *testing.T) {
	g := NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = taken.Close() }()
	for name, kind := range servers {
		content := "[vm]\nname = entry-1\nzone = fukuoka\n[" + kind + "]\n" +
			"listen = 127.0.0.1:0\nplatform = 127.0.0.1:1\noperators = " + taken.Addr().String() + "\n"
		if kind != "agent" {
			content += "agent = 127.0.0.1:1\n"
		}
		if kind == "gateway" {
			content += "stop_lag = 0s\n"
		}
		path := filepath.Join(t.TempDir(), kind+".ini")
		g.Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		code, output := run(t, name, "run", "--settings", path)
		g.Expect(code).To(Equal(exitFailed), "%s: %s", name, output)
		g.Expect(output).To(ContainSubstring("address already in use"))
	}
}
