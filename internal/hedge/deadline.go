package hedge

import (
	"time"
)

const (
	// typicalMargin is the factor by which the time that a second send gets
	// exceeds the typical latency.
	typicalMargin = 1.2
	// minFirstShare is the least time that a first send gets before a hedge, as a
	// multiple of the typical latency. It keeps most calls from being sent twice.
	minFirstShare = 1.3
)

// LatestStart returns the latest time, from the first send, at which a second
// send is expected to be answered within the objective. objective is the time from
// the first send to the objective, typical the latency of a send to an upstream
// that is not slow. It returns false when most first sends would not be answered
// by then.
func LatestStart(objective, typical time.Duration) (time.Duration, bool) {
	latest := objective - time.Duration(typicalMargin*float64(typical))
	if typical <= 0 || latest < time.Duration(minFirstShare*float64(typical)) {
		return 0, false
	}
	return latest, true
}
