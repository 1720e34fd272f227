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
	// decoded holds the entries of the last reading, so that one that has not
	// changed is not decoded again.
	decoded map[string]decodedEntry
}

// decodedEntry is an entry as of a version; err tells why it names no upstream.
type decodedEntry struct {
	version  uint64
	upstream site.Upstream
	err      error
}

// Run follows the upstreams until ctx ends.
func (f *UpstreamFollower) Run(ctx context.Context) error {
	f.catalog = catalog.New(f.Heartbeat)
	f.decoded = make(map[string]decodedEntry)
	return newLoop("upstreams", f.Source, f.Log, f.Counters, f.Clock).run(ctx, f.take)
}

// take decodes a reading and hands over the upstreams in use.
func (f *UpstreamFollower) take(snapshot platform.Snapshot) {
	reading := catalog.Reading{Version: snapshot.Version}
	decoded := make(map[string]decodedEntry, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		entry := f.decode(row)
		decoded[row.Key] = entry
		if entry.err != nil {
			f.Counters.Add(telemetry.GroupStore, "upstreams_malformed", 1)
			continue
		}
		reading.Upstreams = append(reading.Upstreams, entry.upstream)
	}
	f.decoded = decoded
	if !f.catalog.Read(time.Now(), reading) {
		f.Counters.Add(telemetry.GroupStore, "upstreams_older", 1)
		return
	}
	f.Counters.Set(telemetry.GroupStore, "upstreams_kept", int64(f.catalog.Kept()))
	f.Apply(f.catalog.Upstreams())
}

// decode reads an entry that has changed since the last reading. One that names no
// upstream is logged once a version.
func (f *UpstreamFollower) decode(row platform.Row) decodedEntry {
	if known, ok := f.decoded[row.Key]; ok && known.version == row.Version {
		return known
	}
	upstream, err := f.Decode(row.Key, row.Value)
	if err != nil {
		f.Log.Warn("entry names no upstream", telemetry.FieldUpstream, row.Key,
			"store_version", row.Version, telemetry.FieldError, err)
	}
	return decodedEntry{version: row.Version, upstream: upstream, err: err}
}
