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

// UpstreamFollower maintains the list of upstreams.
type UpstreamFollower struct {
	Source UpstreamSource
	// Decode decodes the entry that an upstream wrote under its name.
	Decode func(name string, value []byte) (site.Upstream, error)
	// Apply replaces the list of upstreams that accept new calls.
	Apply func(upstreams []site.Upstream)
	// HeartbeatInterval is the time between two writes of an upstream's entry.
	HeartbeatInterval time.Duration
	// ReadInterval is the usual time between two snapshots.
	ReadInterval time.Duration
	Log          hclog.Logger
	Counters     *telemetry.Counters
	// Clock is shared by the followers of a store; it is updated with each snapshot
	// unless it is nil.
	Clock *StoreClock

	loop    *loop
	catalog *catalog.Catalog
	// updatedAt is the time of the last update of the catalog.
	updatedAt time.Time
	retained  retainedLog
	// lastRows holds the rows of the last snapshot, retainedRows those of the retained
	// upstreams.
	lastRows, retainedRows []platform.Row
	// decoded caches the decoded entries of the last snapshot, so that unchanged ones
	// are not decoded again.
	decoded map[string]decodedEntry
}

// decodedEntry is the result of decoding one version of an entry; err is set when the
// entry is malformed.
type decodedEntry struct {
	position platform.Position
	upstream site.Upstream
	err      error
}

// lateFactor is the multiple of the read interval after which a snapshot is late.
const lateFactor = 1.25

// Run follows the upstreams until ctx ends.
func (f *UpstreamFollower) Run(ctx context.Context) error {
	late := time.Duration(lateFactor * float64(f.ReadInterval))
	f.catalog = catalog.New(f.HeartbeatInterval, late)
	f.decoded = make(map[string]decodedEntry)
	f.loop = newLoop("upstreams", f.Source, f.Log, f.Counters, f.Clock)
	return f.loop.run(ctx, f.applySnapshot)
}

// applySnapshot decodes a snapshot, updates the catalog and calls Apply with the
// upstreams in use. A snapshot older than the last one is ignored.
func (f *UpstreamFollower) applySnapshot(snapshot platform.Snapshot) {
	upstreams := catalog.Snapshot{
		Position: snapshot.Position, StoreTime: snapshot.StoreTime, IsAfterFailure: f.loop.isAfterFailure,
	}
	decoded := make(map[string]decodedEntry, len(snapshot.Rows))
	upstreams.Upstreams = f.decodeRows(snapshot, decoded)
	f.decoded = decoded
	retained := f.Source.Retained()
	upstreams.Retained = catalog.Retained{Era: retained.Era, Since: retained.StoreTime, Upstreams: f.decodeRows(retained, nil)}
	now := time.Now()
	if !f.catalog.Update(now, upstreams) {
		f.Counters.Add(telemetry.GroupStore, "upstreams_older", 1)
		return
	}
	f.shareRetained(snapshot, retained)
	f.observeRetained(now, snapshot)
	f.Source.ReadAt(f.catalog.RetainUntil())
	f.Apply(f.catalog.Upstreams())
}

// decodeRows returns the upstreams of a snapshot's rows and records the results in decoded
// unless it is nil. Malformed entries are counted and left out.
func (f *UpstreamFollower) decodeRows(snapshot platform.Snapshot, decoded map[string]decodedEntry) []site.Upstream {
	var upstreams []site.Upstream
	for _, row := range snapshot.Rows {
		entry := f.decode(platform.Position{Era: snapshot.Era, Version: row.Version}, row)
		if decoded != nil {
			decoded[row.Key] = entry
		}
		if entry.err != nil {
			f.Counters.Add(telemetry.GroupStore, "upstreams_malformed", 1)
			continue
		}
		upstreams = append(upstreams, entry.upstream)
	}
	return upstreams
}

// decode returns the cached result for an unchanged entry and decodes a changed one.
// position is the entry's version and the era in which it was read. A malformed entry
// is logged once per position.
func (f *UpstreamFollower) decode(position platform.Position, row platform.Row) decodedEntry {
	if cached, ok := f.decoded[row.Key]; ok && cached.position == position {
		return cached
	}
	upstream, err := f.Decode(row.Key, row.Value)
	if err != nil {
		f.Log.Warn("failed to decode upstream entry", telemetry.FieldUpstream, row.Key,
			"store_version", row.Version, telemetry.FieldError, err)
	}
	return decodedEntry{position: position, upstream: upstream, err: err}
}
