//go:build review

package main

import (
	_ "embed"
	"strings"
)

//go:embed wire.txt
var wireFile string

// wire holds the platform's names by those that this program uses.
var wire = parseWire(wireFile)

// parseWire reads lines with a name of this program and the platform's name.
func parseWire(text string) map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(text) {
		if name, platformName, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[name] = platformName
		}
	}
	return names
}
