package entry

import (
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// newEraObserver returns an observer that logs and counts when the store comes back from
// an older copy and when a response has no usable era.
func newEraObserver(log hclog.Logger, counters *telemetry.Counters) platform.EraObserver {
	return platform.EraObserver{
		Risen: func(from, to platform.Era) {
			counters.Add(telemetry.GroupStore, "restored", 1)
			log.Warn("store came back from an older copy, reading all records again", "era_from", from, "era", to)
		},
		Invalid: func(problem error, isFirst bool) {
			counters.Add(telemetry.GroupStore, "era_invalid", 1)
			if isFirst {
				log.Error("store reports no usable era, assuming the latest one", telemetry.FieldError, problem)
			}
		},
	}
}
