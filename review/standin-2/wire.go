package main

import (
	_ "embed"
	"strings"
)

// wireNames holds a line for each name of the platform's protocol: a name of this program and the
// platform's.
//
//go:embed wire.txt
var wireNames string

// wire holds the platform's names by those of this program.
var wire = parseWire(wireNames)

func parseWire(text string) map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(text) {
		if own, platform, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[own] = platform
		}
	}
	return names
}
