//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns the violations of its rule.
var cases = map[string]func(s *site, hasTrouble bool) ([]string, error){
	"commits": playCommits,
	"paths":   playPaths,
	"stop":    playStop,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays a case and returns the exit code. The arguments are the name of the case, 0 to leave the
// disruption out, and the file of the record.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE TROUBLE RECORD")
		return exitNotRun
	}
	record, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	s, err := newSite(record)
	if err != nil {
		record.add("could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	closeOnSignal(s)
	violations, err := cases[args[0]](s, args[1] != "0")
	if err != nil {
		record.add("could not run: %v", err)
		return exitNotRun
	}
	for _, violation := range violations {
		record.add("BROKEN %s", violation)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	record.add("held")
	return exitHeld
}

// closeOnSignal ends the site's processes when this one is asked to end.
func closeOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.record.add("ended by a signal")
		s.close()
		os.Exit(exitNotRun)
	}()
}
