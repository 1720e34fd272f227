package measure

import (
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// Observation is what a probe told of an upstream.
type Observation struct {
	Address string `json:"address"`
	// Sent is the time at which the probe was sent.
	Sent time.Time `json:"sent"`
	// IsHealthy means that the upstream answered and wants calls.
	IsHealthy bool `json:"is_healthy"`
	// Report is the upstream's load report; HasReport tells whether it came.
	Report    callheader.Report `json:"report"`
	HasReport bool              `json:"has_report"`
}
