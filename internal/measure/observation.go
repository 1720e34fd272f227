package measure

import (
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// ProbeResult is the result of one probe.
type ProbeResult struct {
	Address string `json:"address"`
	// Sent is when the probe was sent.
	Sent time.Time `json:"sent"`
	// IsHealthy means that the upstream answered and accepts calls.
	IsHealthy bool `json:"is_healthy"`
	// Report is the upstream's load report; HasReport reports whether there is
	// one.
	Report    callheader.Report `json:"report"`
	HasReport bool              `json:"has_report"`
}
