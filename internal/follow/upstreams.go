package follow

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/catalog"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// UpstreamFollower keeps the list of upstreams.
type UpstreamFollower struct {
	Source Source
	// Decode reads the entry that an upstream wrote under its name.
	Decode func(name string, value []byte) (site.Upstream, error)
	// Apply takes over the upstreams that take new calls.
	Apply func(upstreams []site.Upstream)
	// Heartbeat is the time between two writes of an upstream's entry.
	Heartbeat time.Duration
	Log       hclog.Logger
	Counters  *telemetry.Counters
	// Clock is shared by the followers of a store; nil measures no times.
	Clock *StoreClock

	catalog *catalog.Catalog
	// malformed holds the versions of the entries that could not be read.
	malformed map[string]uint64
}

// Run follows the upstreams until ctx ends.
func (f *UpstreamFollower) Run(ctx context.Context) error {
	f.catalog = catalog.New(f.Heartbeat)
	f.malformed = make(map[string]uint64)
	return newLoop("upstreams", f.Source, f.Log, f.Counters, f.Clock).run(ctx, f.take)
}

// take decodes a reading and hands over the upstreams in use.
func (f *UpstreamFollower) take(snapshot platform.Snapshot) {
	reading := catalog.Reading{Version: snapshot.Version}
	for _, row := range snapshot.Rows {
		upstream, err := f.Decode(row.Key, row.Value)
		if err != nil {
			f.countMalformed(row, err)
			continue
		}
		reading.Upstreams = append(reading.Upstreams, upstream)
	}
	if !f.catalog.Read(time.Now(), reading) {
		f.Counters.Add(telemetry.GroupStore, "upstreams_older", 1)
		return
	}
	f.Counters.Set(telemetry.GroupStore, "upstreams_kept", int64(f.catalog.Kept()))
	f.Apply(f.catalog.Upstreams())
}

// countMalformed counts an entry that names no upstream and logs each version
// of it once.
func (f *UpstreamFollower) countMalformed(row platform.Row, err error) {
	f.Counters.Add(telemetry.GroupStore, "upstreams_malformed", 1)
	if f.malformed[row.Key] == row.Version {
		return
	}
	f.malformed[row.Key] = row.Version
	f.Log.Warn("entry names no upstream", telemetry.FieldUpstream, row.Key,
		"store_version", row.Version, telemetry.FieldError, err)
}
