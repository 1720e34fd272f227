package main

import (
	"io"
	"strings"
	"testing"
)

const passLine = `{"Action":"pass","Package":"github.com/figfront/figfront/a","Test":"TestOK"}` + "\n"

// evaluate returns the result of results.evaluate for the given list and events, and
// its output.
func evaluate(t *testing.T, known []string, lines string) (bool, string) {
	t.Helper()
	r := readResults(strings.NewReader(lines), io.Discard)
	var out strings.Builder
	ok := r.evaluate(known, &out)
	return ok, out.String()
}

// failEvent returns the event of a failed test, or of a failed package if test is "".
func failEvent(pkg, test string) string {
	return `{"Action":"fail","Package":"github.com/figfront/figfront/` + pkg + `","Test":"` + test + `"}` + "\n"
}

func TestFailureFails(t *testing.T) {
	if ok, out := evaluate(t, nil, passLine+failEvent("a", "TestX")); ok || !strings.Contains(out, "FAILED: a TestX") {
		t.Fatalf("a failing test passed: %s", out)
	}
}

func TestKnownFailurePassesAndIsPrinted(t *testing.T) {
	lines := passLine + failEvent("a", "TestX") + failEvent("a", "")
	if ok, out := evaluate(t, []string{"a TestX"}, lines); !ok || !strings.Contains(out, "KNOWN RED: a TestX") {
		t.Fatalf("a known failure failed the run: %s", out)
	}
}

func TestKnownFailureOfAnotherPackageFails(t *testing.T) {
	if ok, out := evaluate(t, []string{"b TestX"}, passLine+failEvent("a", "TestX")); ok {
		t.Fatalf("an entry for another package excused the failure: %s", out)
	}
}

func TestKnownSubtestDoesNotHideAnother(t *testing.T) {
	lines := passLine + failEvent("a", "TestX/one") + failEvent("a", "TestX/two") + failEvent("a", "TestX")
	if ok, out := evaluate(t, []string{"a TestX/one"}, lines); ok || !strings.Contains(out, "FAILED: a TestX/two") {
		t.Fatalf("another subtest's failure passed: %s", out)
	}
}

func TestPackageFailureWithoutTestFails(t *testing.T) {
	if ok, out := evaluate(t, []string{"a TestX"}, passLine+failEvent("a", "")); ok {
		t.Fatalf("a package that failed as a whole passed: %s", out)
	}
}

func TestEntryThatPassesIsReported(t *testing.T) {
	ok, out := evaluate(t, []string{"a TestOK"}, passLine)
	if !ok || !strings.Contains(out, "KNOWN RED BUT PASSES, take it off the list: a TestOK") {
		t.Fatalf("an entry whose test passes was not reported: %s", out)
	}
}

func TestNoTestsFails(t *testing.T) {
	if ok, _ := evaluate(t, nil, ""); ok {
		t.Fatal("a run without tests passed")
	}
}

func TestBuildFailureFails(t *testing.T) {
	lines := passLine + `{"ImportPath":"github.com/figfront/figfront/a","Action":"build-fail"}` + "\n"
	if ok, _ := evaluate(t, nil, lines); ok {
		t.Fatal("a package that does not build passed")
	}
}

// outputEvent returns an event of a test with an output.
func outputEvent(action, pkg, test, output string) string {
	return `{"Action":"` + action + `","Package":"github.com/figfront/figfront/` + pkg + `","Test":"` + test +
		`","Output":"` + output + `"}` + "\n"
}

func TestOutputOfATestThatNeverEndedIsPrinted(t *testing.T) {
	lines := passLine + outputEvent("run", "a", "TestOK", "") + outputEvent("output", "a", "TestOK", "quiet") +
		outputEvent("run", "a", "TestX", "") + outputEvent("output", "a", "TestX", "fatal error: out of order") +
		failEvent("a", "")
	ok, out := evaluate(t, nil, lines)
	if ok || !strings.Contains(out, "DID NOT END: a TestX") || !strings.Contains(out, "fatal error: out of order") {
		t.Fatalf("the cause of a package's failure is missing: %s", out)
	}
	if strings.Contains(out, "quiet") {
		t.Fatalf("the output of a test that passed was printed: %s", out)
	}
}

func TestKnownFailureDoesNotExcuseACrashOfItsPackage(t *testing.T) {
	lines := passLine + failEvent("a", "TestX") + outputEvent("run", "a", "TestY", "") + failEvent("a", "")
	if ok, out := evaluate(t, []string{"a TestX"}, lines); ok || !strings.Contains(out, "DID NOT END: a TestY") {
		t.Fatalf("a crash after a known failure passed: %s", out)
	}
}
