// Command standin plays the stand-ins of a review case: the platform's store, servers and
// clients on loopback, around processes that it starts with the command of the deploy file.
// It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	binary := flag.String("binary", "target/figfront-entry", "program to run")
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, run and answered")
	hasTrouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	cases := map[string]func(*site) (bool, error){"crash": playCrash, "memory": playMemory, "drain": playDrain}
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(2)
	}
	os.Exit(run(*binary, *path, *hasTrouble, play))
}

// run plays a case and returns the exit code.
func run(binary, path string, hasTrouble bool, play func(*site) (bool, error)) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer log.close()
	s, err := newSite(binary, log, hasTrouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	isBroken, err := play(s)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		log.line("the case could not run: %v", err)
		return 2
	case isBroken:
		return 1
	default:
		return 0
	}
}
