package follow

import (
	"slices"
	"time"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// maxLoggedNames limits the names of upstreams in a log line.
const maxLoggedNames = 20

// retainedLog logs which upstreams stay in use without an entry after an outage of the store,
// and until when.
type retainedLog struct {
	names []string
	since time.Time
}

// observeRetained counts and logs the upstreams that the catalog retains after an update with
// a snapshot.
func (f *UpstreamFollower) observeRetained(now time.Time, snapshot platform.Snapshot) {
	gap := now.Sub(f.updatedAt)
	f.updatedAt = now
	names := f.catalog.Retained()
	f.Counters.Set(telemetry.GroupStore, "upstreams_kept", int64(len(names)))
	added := without(names, f.retained.names)
	removed := without(f.retained.names, names)
	if len(added) > 0 {
		if len(f.retained.names) == 0 {
			f.retained.since = now
		}
		f.Log.Info("upstreams without an entry stay in use", "upstreams", firstNames(added), "count", len(added),
			"gap_ms", gap.Milliseconds(), "store_version", snapshot.Version, "store_ms", snapshot.StoreTime.Milliseconds())
	}
	if len(removed) > 0 {
		f.Log.Info("upstreams no longer stay in use without an entry", "upstreams", firstNames(removed), "count", len(removed),
			"after_ms", now.Sub(f.retained.since).Milliseconds(), "store_version", snapshot.Version, "store_ms", snapshot.StoreTime.Milliseconds())
	}
	f.retained.names = names
}

// shareRetained tells the other VMs which rows are retained when that has changed. adopted
// holds the rows that this VM itself has got from another one.
func (f *UpstreamFollower) shareRetained(snapshot, adopted platform.Snapshot) {
	names := f.catalog.Retained()
	f.retainedRows = rowsOf(names, f.retainedRows, f.lastRows, adopted.Rows)
	f.lastRows = snapshot.Rows
	if !slices.Equal(names, f.retained.names) {
		f.Source.Retain(platform.Snapshot{
			Position: snapshot.Position, StoreTime: f.catalog.RetainedSince(), Rows: f.retainedRows,
		})
	}
}

// rowsOf returns the rows with the given sorted names, each from the first list that has it.
func rowsOf(names []string, lists ...[]platform.Row) []platform.Row {
	var found []platform.Row
	if len(names) == 0 {
		return found
	}
	seen := make(map[string]bool, len(names))
	for _, rows := range lists {
		for _, row := range rows {
			_, isWanted := slices.BinarySearch(names, row.Key)
			if isWanted && !seen[row.Key] {
				seen[row.Key] = true
				found = append(found, row)
			}
		}
	}
	return found
}

// without returns the names that are not among others.
func without(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}

// firstNames returns at most maxLoggedNames names.
func firstNames(names []string) []string {
	return names[:min(len(names), maxLoggedNames)]
}
