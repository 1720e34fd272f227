package main

import (
	"io"
	"strings"
	"testing"
)

const passLine = `{"Action":"pass","Package":"github.com/figfront/figfront/a","Test":"TestOK"}` + "\n"

func verdict(t *testing.T, known []string, lines string) (bool, string) {
	t.Helper()
	r := read(strings.NewReader(lines), io.Discard)
	var out strings.Builder
	ok := r.judge(known, &out)
	return ok, out.String()
}

func fail(pkg, test string) string {
	return `{"Action":"fail","Package":"github.com/figfront/figfront/` + pkg + `","Test":"` + test + `"}` + "\n"
}

func TestFailureFails(t *testing.T) {
	if ok, out := verdict(t, nil, passLine+fail("a", "TestX")); ok || !strings.Contains(out, "FAILED: a TestX") {
		t.Fatalf("a failing test passed: %s", out)
	}
}

func TestKnownFailurePassesAndIsPrinted(t *testing.T) {
	lines := passLine + fail("a", "TestX") + fail("a", "")
	if ok, out := verdict(t, []string{"a TestX"}, lines); !ok || !strings.Contains(out, "KNOWN RED: a TestX") {
		t.Fatalf("a known failure was not passed over: %s", out)
	}
}

func TestKnownFailureOfAnotherPackageFails(t *testing.T) {
	if ok, out := verdict(t, []string{"b TestX"}, passLine+fail("a", "TestX")); ok {
		t.Fatalf("the entry of another package let it pass: %s", out)
	}
}

func TestKnownSubtestDoesNotHideAnother(t *testing.T) {
	lines := passLine + fail("a", "TestX/one") + fail("a", "TestX/two") + fail("a", "TestX")
	if ok, out := verdict(t, []string{"a TestX/one"}, lines); ok || !strings.Contains(out, "FAILED: a TestX/two") {
		t.Fatalf("another subtest's failure passed: %s", out)
	}
}

func TestPackageFailureWithoutTestFails(t *testing.T) {
	if ok, out := verdict(t, []string{"a TestX"}, passLine+fail("a", "")); ok {
		t.Fatalf("a package that failed as a whole passed: %s", out)
	}
}

func TestEntryThatPassesIsReported(t *testing.T) {
	ok, out := verdict(t, []string{"a TestOK"}, passLine)
	if !ok || !strings.Contains(out, "KNOWN RED BUT PASSES, take it off the list: a TestOK") {
		t.Fatalf("an entry that passes was not reported: %s", out)
	}
}

func TestNoTestsFails(t *testing.T) {
	if ok, _ := verdict(t, nil, ""); ok {
		t.Fatal("a run without tests passed")
	}
}

func TestBuildFailureFails(t *testing.T) {
	lines := passLine + `{"ImportPath":"github.com/figfront/figfront/a","Action":"build-fail"}` + "\n"
	if ok, _ := verdict(t, nil, lines); ok {
		t.Fatal("a package that does not build passed")
	}
}
