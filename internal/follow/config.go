package follow

import (
	"context"

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

	// taken is the version of the row that was looked at last.
	taken uint64
}

// Run follows the configuration until ctx ends.
func (f *ConfigFollower) Run(ctx context.Context) error {
	return newLoop("config", f.Source, f.Log, f.Counters).run(ctx, f.take)
}

// take puts the configuration of a reading in force. One that can't be read
// leaves the configuration in force as it is.
func (f *ConfigFollower) take(snapshot platform.Snapshot) {
	for _, row := range snapshot.Rows {
		if row.Key != f.Key || row.Version <= f.taken {
			continue
		}
		f.taken = row.Version
		config, err := f.Decode(row.Value)
		if err != nil {
			f.Counters.Add(telemetry.GroupConfig, "unreadable", 1)
			f.Log.Error("configuration is not readable, the one in force stays",
				"store_version", row.Version, telemetry.FieldError, err)
			continue
		}
		f.Apply(config)
	}
}
