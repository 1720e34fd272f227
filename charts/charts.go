// Package charts embeds the definitions of figfront's state machines.
//
// A chart is an INI file. Section [chart] holds the name, the initial state and
// the comma-separated events. Each section [state NAME] maps events to the next
// state; a state without transitions may set final = true.
package charts

import (
	"embed"
)

// Files holds the charts as NAME.ini at its root.
//
//go:embed *.ini
var Files embed.FS
