package follow

import (
	"bytes"
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// ConfigFollower applies the operators' configuration as it changes.
type ConfigFollower struct {
	Source Source
	// Key is the key of the row that holds the configuration.
	Key string
	// Decode decodes the row's value.
	Decode func(value []byte) (site.Config, error)
	// Apply makes a configuration the active one and returns whether it did.
	Apply    func(c site.Config) bool
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Clock is shared by the followers of a store; nil disables the measurement of
	// the configuration's age.
	Clock *StoreClock

	// position is the version of the last row that was processed, even if it could not be
	// decoded, and the era in which it was read; value is its value.
	position platform.Position
	value    []byte
}

// Run follows the configuration until ctx ends.
func (f *ConfigFollower) Run(ctx context.Context) error {
	return newLoop("config", f.Source, f.Log, f.Counters, f.Clock).run(ctx, f.applySnapshot)
}

// applySnapshot applies the configuration in a snapshot if its row is newer than the
// last one, or as new with another value: other VMs may know a newer configuration than a
// store that has come back from an older copy. The row may hold an older one, which Apply
// has to refuse. If the row can't be decoded, the active configuration stays.
func (f *ConfigFollower) applySnapshot(snapshot platform.Snapshot) {
	for _, row := range snapshot.Rows {
		position := platform.Position{Era: snapshot.Era, Version: row.Version}
		isProcessed := position == f.position && bytes.Equal(row.Value, f.value)
		if row.Key != f.Key || position.IsBefore(f.position) || isProcessed {
			continue
		}
		isFirst := f.position == platform.Position{}
		f.position, f.value = position, row.Value
		config, err := f.Decode(row.Value)
		if err != nil {
			f.Counters.Add(telemetry.GroupConfig, "unreadable", 1)
			f.Log.Error("failed to decode configuration, keeping the active one",
				"store_version", row.Version, telemetry.FieldError, err)
			continue
		}
		if f.Apply(config) && !isFirst {
			f.observeConfigAge(snapshot)
		}
	}
}

// observeConfigAge records how old the snapshot with a change is now that the change
// is active. The store answers a waiting long poll at once, so this is also the age of
// the change, unless this VM could not reach the store when the change was written.
func (f *ConfigFollower) observeConfigAge(snapshot platform.Snapshot) {
	if f.Clock == nil {
		return
	}
	if age, ok := f.Clock.since(snapshot.StoreTime, time.Now()); ok {
		f.Counters.Observe(telemetry.HistogramConfigAge, age)
	}
}

// ConfigVersion returns a function that returns the version of the configuration in a row. It
// returns false for rows with another key and for those that can't be decoded.
func ConfigVersion(key string, decode func(value []byte) (site.Config, error)) func(row platform.Row) (uint64, bool) {
	return func(row platform.Row) (uint64, bool) {
		if row.Key != key {
			return 0, false
		}
		config, err := decode(row.Value)
		return config.Version, err == nil
	}
}
