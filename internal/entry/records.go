package entry

import (
	"time"

	"github.com/figfront/figfront/internal/follow"
	"github.com/figfront/figfront/internal/mesh"
)

// Shares of DrainBound and ConfigBound, the longest times until a leaving upstream
// gets no new calls and until a new configuration is active. The interval is the time
// between two reads of the store or, with long polling, the longest wait of one read.
// The staleness is a limit on the age of the zone's last snapshot: once it is reached,
// the VM assumes that the zone's reader no longer delivers and reads the store itself.
const (
	drainIntervalShare   = 0.475
	drainStalenessShare  = 0.7
	configIntervalShare  = 0.6
	configStalenessShare = 0.8
)

// upstreamRetryInterval limits how late the upstreams' entries are read after the store has
// come back.
const upstreamRetryInterval = 300 * time.Millisecond

// vmRecordOptions holds the read interval and the staleness limit of the list of VMs.
var vmRecordOptions = mesh.RecordOptions{Interval: 4 * time.Second, Staleness: 6 * time.Second}

// UpstreamRecordOptions returns how the upstreams' records are read if a leaving upstream may
// get no new calls later than drainBound.
func UpstreamRecordOptions(drainBound time.Duration) mesh.RecordOptions {
	return mesh.RecordOptions{
		Interval: scale(drainBound, drainIntervalShare), Staleness: scale(drainBound, drainStalenessShare),
		RetryInterval: upstreamRetryInterval,
	}
}

// configRecordOptions returns the read interval and the staleness limit of the
// configuration, which is read by long polling.
func (e *entry) configRecordOptions() mesh.RecordOptions {
	bound := e.settings.ConfigBound
	return mesh.RecordOptions{
		Interval: scale(bound, configIntervalShare), Staleness: scale(bound, configStalenessShare), LongPoll: true,
		ValueVersion: follow.ConfigVersion(e.adapter.ConfigKey, e.adapter.DecodeConfig),
	}
}

// scale returns d multiplied by share.
func scale(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}
