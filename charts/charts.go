// Package charts holds the state charts of figfront as files.
//
// A chart is an INI file. Section [chart] names the chart, its first state and
// its events. Each section [state NAME] maps events to the next state and may
// say final = true.
package charts

import (
	"embed"
)

// Files holds the charts.
//
//go:embed *.ini
var Files embed.FS
