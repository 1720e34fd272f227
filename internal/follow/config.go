package follow

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// feedWait is how long one call of the feed waits for a change. It also bounds
// the time for which a connection that has gone silent is not noticed.
const feedWait = 1500 * time.Millisecond

// ConfigFollower puts the operators' configuration in force.
type ConfigFollower struct {
	Records platform.Records
	// Key is the key of the row that holds the configuration.
	Key string
	// Decode reads the row's value.
	Decode func(value []byte) (site.Config, error)
	// Apply puts a configuration in force and returns whether it did.
	Apply    func(c site.Config) bool
	Log      hclog.Logger
	Counters *telemetry.Counters

	source source
	// version is the one of the store from which the feed reads on.
	version uint64
	isRead  bool
}

// Run follows the configuration until ctx ends.
func (f *ConfigFollower) Run(ctx context.Context) error {
	f.source = source{name: "config", log: f.Log, counters: f.Counters}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.isRead = false
			if !errors.Is(err, platform.ErrHistoryGone) {
				f.source.failed(ctx, err)
			}
			continue
		}
		f.source.succeeded()
	}
	return nil
}

// step reads the configuration, or waits for its next change.
func (f *ConfigFollower) step(ctx context.Context) error {
	if !f.isRead {
		return f.read(ctx)
	}
	changes, err := f.Records.Wait(ctx, f.version, feedWait)
	if err != nil {
		return err
	}
	for _, change := range changes.Changes {
		if !change.Deleted {
			f.take(change.Row)
		}
	}
	f.version = max(f.version, changes.Version)
	return nil
}

func (f *ConfigFollower) read(ctx context.Context) error {
	snapshot, err := f.Records.Read(ctx)
	if err != nil {
		return err
	}
	for _, row := range snapshot.Rows {
		f.take(row)
	}
	f.version = snapshot.Version
	f.isRead = true
	return nil
}

// take puts a row's configuration in force. One that can't be read leaves the
// configuration in force as it is.
func (f *ConfigFollower) take(row platform.Row) {
	if row.Key != f.Key {
		return
	}
	config, err := f.Decode(row.Value)
	if err != nil {
		f.Counters.Add(telemetry.GroupConfig, "unreadable", 1)
		f.Log.Error("configuration is not readable, the one in force stays",
			"store_version", row.Version, telemetry.FieldError, err)
		return
	}
	f.Apply(config)
}
