package follow

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// SnapshotFollower passes on the snapshots of a record set.
type SnapshotFollower struct {
	// Name is the name of the record set in log lines and counters.
	Name     string
	Source   Source
	Apply    func(snapshot platform.Snapshot)
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Clock is shared by the followers of a store; it is updated with each snapshot
	// unless it is nil.
	Clock *StoreClock
}

// Run follows the record set until ctx ends.
func (f *SnapshotFollower) Run(ctx context.Context) error {
	return newLoop(f.Name, f.Source, f.Log, f.Counters, f.Clock).run(ctx, f.Apply)
}
