package follow

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// ConfigFollower puts the operators' configuration in force.
type ConfigFollower struct {
	Source Source
	// Key is the key of the row that holds the configuration.
	Key string
	// Decode reads the row's value.
	Decode func(value []byte) (site.Config, error)
	// Apply puts a configuration in force and returns whether it did.
	Apply    func(c site.Config) bool
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Clock is shared by the followers of a store; nil measures no times.
	Clock *StoreClock

	// taken is the version of the row that was looked at last.
	taken uint64
}

// Run follows the configuration until ctx ends.
func (f *ConfigFollower) Run(ctx context.Context) error {
	return newLoop("config", f.Source, f.Log, f.Counters, f.Clock).run(ctx, f.take)
}

// take puts the configuration of a reading in force. One that can't be read
// leaves the configuration in force as it is.
func (f *ConfigFollower) take(snapshot platform.Snapshot) {
	for _, row := range snapshot.Rows {
		if row.Key != f.Key || row.Version <= f.taken {
			continue
		}
		isFirst := f.taken == 0
		f.taken = row.Version
		config, err := f.Decode(row.Value)
		if err != nil {
			f.Counters.Add(telemetry.GroupConfig, "unreadable", 1)
			f.Log.Error("configuration is not readable, the one in force stays",
				"store_version", row.Version, telemetry.FieldError, err)
			continue
		}
		if f.Apply(config) && !isFirst {
			f.observeAge(snapshot)
		}
	}
}

// observeAge records how old the reading that held a change was when the change
// came in force. The store answers a waiting reader at once, so that this is the
// time since the change was written, unless the store was out of reach then.
func (f *ConfigFollower) observeAge(snapshot platform.Snapshot) {
	if f.Clock == nil {
		return
	}
	if age, ok := f.Clock.since(snapshot.StoreTime, time.Now()); ok {
		f.Counters.Observe(telemetry.HistogramConfigAge, age)
	}
}
