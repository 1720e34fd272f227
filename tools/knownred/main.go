// Command knownred reads the output of go test -json from standard input, prints
// the failures and exits with 1 if a test fails that is not in the list of known
// failures, if a package can't be built or if no test passes.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// modulePath is the prefix that is removed from package paths in the list and in the
// output.
const modulePath = "github.com/figfront/figfront/"

// maxLineBytes is the length of the longest input line that can be read, in bytes.
const maxLineBytes = 16 << 20

// event is one line of the output of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// testID identifies a test; the name is empty for the result of a whole package.
type testID struct {
	pkg  string
	name string
}

// String returns the test as the list names it.
func (id testID) String() string {
	return strings.TrimPrefix(id.pkg, modulePath) + " " + id.name
}

// results holds the outcome and the output of each test of a run.
type results struct {
	started map[testID]bool
	passed  map[testID]bool
	failed  map[testID]bool
	skipped map[testID]bool
	output  map[testID][]string
}

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file with the known failures")
	flag.Parse()
	knownFailures, err := readList(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := readResults(os.Stdin, os.Stdout)
	if !r.evaluate(knownFailures, os.Stdout) {
		os.Exit(1)
	}
}

// readList returns the tests in the list: the values of the lines that start with
// "test: ".
func readList(path string) ([]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var knownFailures []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			knownFailures = append(knownFailures, strings.TrimSpace(name))
		}
	}
	return knownFailures, nil
}

// readResults reads the events from in. It copies lines that are not events and the
// output of builds to out.
func readResults(in io.Reader, out io.Writer) *results {
	r := &results{
		started: map[testID]bool{},
		passed:  map[testID]bool{}, failed: map[testID]bool{}, skipped: map[testID]bool{},
		output: map[testID][]string{},
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			fmt.Fprintln(out, scanner.Text())
			continue
		}
		r.add(e, out)
	}
	if err := scanner.Err(); err != nil {
		fmt.Fprintln(out, "test output can't be read:", err)
		r.failed[testID{name: "(output)"}] = true
	}
	return r
}

// add records one event.
func (r *results) add(e event, out io.Writer) {
	id := testID{pkg: e.Package, name: e.Test}
	switch e.Action {
	case "run":
		r.started[id] = true
	case "output":
		r.output[id] = append(r.output[id], e.Output)
	case "build-output":
		fmt.Fprint(out, e.Output)
	case "build-fail":
		r.failed[testID{pkg: e.ImportPath, name: "(build)"}] = true
	case "pass":
		r.passed[id] = true
		if e.Test == "" {
			fmt.Fprintln(out, "ok  ", strings.TrimPrefix(e.Package, modulePath))
		}
	case "fail":
		r.failed[id] = true
	case "skip":
		r.skipped[id] = true
	}
}

// evaluate prints the failures, the entries of the list that pass and a summary. It
// reports whether at least one test passed and every failure is in the list.
func (r *results) evaluate(knownFailures []string, out io.Writer) bool {
	unexpected := 0
	failed := 0
	for _, id := range sorted(r.failed) {
		if r.hasFailedDescendant(id) {
			continue
		}
		failed++
		if slices.Contains(knownFailures, id.String()) {
			fmt.Fprintln(out, "KNOWN RED:", id)
			continue
		}
		unexpected++
		fmt.Fprintln(out, "FAILED:", id)
		r.printOutput(id, out)
	}
	unended := r.printUnended(out)
	failed += unended
	unexpected += unended
	for _, id := range sorted(r.passed) {
		if slices.Contains(knownFailures, id.String()) {
			fmt.Fprintln(out, "KNOWN RED BUT PASSES, take it off the list:", id)
		}
	}
	skipped := 0
	for id := range r.skipped {
		if id.name != "" {
			skipped++
		}
	}
	passed := 0
	for id := range r.passed {
		if id.name != "" {
			passed++
		}
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	return unexpected == 0 && passed > 0
}

// printOutput prints the output of a test.
func (r *results) printOutput(id testID, out io.Writer) {
	for _, line := range r.output[id] {
		fmt.Fprint(out, line)
	}
}

// printUnended prints the tests that started and did not end, with their output, and
// returns their number. A process that crashes reports none of its tests as failed, and
// runs none of those after it, so the list excuses none of them.
func (r *results) printUnended(out io.Writer) int {
	unended := 0
	for _, id := range sorted(r.started) {
		if r.passed[id] || r.failed[id] || r.skipped[id] {
			continue
		}
		unended++
		fmt.Fprintln(out, "DID NOT END:", id)
		r.printOutput(id, out)
	}
	return unended
}

// sorted returns the tests sorted by package and name.
func sorted(set map[testID]bool) []testID {
	return slices.SortedFunc(maps.Keys(set), func(a, b testID) int {
		return strings.Compare(a.String(), b.String())
	})
}

// hasFailedDescendant reports whether a failure follows from another one: that of a
// package from a failed test in it, that of a test from a failed subtest.
func (r *results) hasFailedDescendant(id testID) bool {
	for other := range r.failed {
		isWithin := other.pkg == id.pkg && other != id
		if isWithin && (id.name == "" || strings.HasPrefix(other.name, id.name+"/")) {
			return true
		}
	}
	return false
}
