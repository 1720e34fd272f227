// Command knownred reads the output of go test -json, prints the failures and
// fails unless each failing test stands in the list of known faults.
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

// modulePath is the module that the list's package paths are below.
const modulePath = "github.com/figfront/figfront/"

// maxLine is the longest line of test output, in bytes.
const maxLine = 16 << 20

// event is one line of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// testID names a test; a package that failed as a whole has an empty name.
type testID struct {
	pkg  string
	name string
}

func (id testID) String() string {
	return strings.TrimPrefix(id.pkg, modulePath) + " " + id.name
}

// report is what a run of the tests showed.
type report struct {
	passed  map[testID]bool
	failed  map[testID]bool
	skipped map[testID]bool
	output  map[testID][]string
}

func main() {
	list := flag.String("list", "KNOWN-RED.txt", "file with the known faults")
	flag.Parse()
	known, err := readList(*list)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := read(os.Stdin, os.Stdout)
	if !r.judge(known, os.Stdout) {
		os.Exit(1)
	}
}

// readList returns the tests of the list.
func readList(path string) ([]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var known []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			known = append(known, strings.TrimSpace(name))
		}
	}
	return known, nil
}

// read reads the events and prints what is not an event.
func read(in io.Reader, out io.Writer) *report {
	r := &report{
		passed: map[testID]bool{}, failed: map[testID]bool{}, skipped: map[testID]bool{},
		output: map[testID][]string{},
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
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

func (r *report) add(e event, out io.Writer) {
	id := testID{pkg: e.Package, name: e.Test}
	switch e.Action {
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

// judge prints the verdict and returns whether the run passes.
func (r *report) judge(known []string, out io.Writer) bool {
	unexpected := 0
	tests := 0
	for _, id := range sorted(r.failed) {
		if r.isExplained(id) {
			continue
		}
		tests++
		if slices.Contains(known, id.String()) {
			fmt.Fprintln(out, "KNOWN RED:", id)
			continue
		}
		unexpected++
		fmt.Fprintln(out, "FAILED:", id)
		for _, line := range r.output[id] {
			fmt.Fprint(out, line)
		}
	}
	for _, id := range sorted(r.passed) {
		if slices.Contains(known, id.String()) {
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
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", passed, tests, skipped)
	return unexpected == 0 && passed > 0
}

// sorted returns the tests in the order of their names.
func sorted(set map[testID]bool) []testID {
	return slices.SortedFunc(maps.Keys(set), func(a, b testID) int {
		return strings.Compare(a.String(), b.String())
	})
}

// isExplained tells whether a failure only follows from that of a test within
// it: a package or a test whose subtest failed.
func (r *report) isExplained(id testID) bool {
	for other := range r.failed {
		isWithin := other.pkg == id.pkg && other != id
		if isWithin && (id.name == "" || strings.HasPrefix(other.name, id.name+"/")) {
			return true
		}
	}
	return false
}
