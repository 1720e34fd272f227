package follow

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// VMFollower maintains the list of VMs and registers this VM in it.
type VMFollower struct {
	Source Source
	// Self is this VM's entry.
	Self platform.VM
	// Announce writes this VM's entry.
	Announce func(ctx context.Context, vm platform.VM) error
	// Decode decodes the entry that a VM wrote under its name.
	Decode func(name string, value []byte) (platform.VM, error)
	// Apply replaces the list of VMs.
	Apply    func(vms []platform.VM)
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Clock is shared by the followers of a store; it is updated with each snapshot
	// unless it is nil.
	Clock *StoreClock
}

// Run follows the list until ctx ends.
func (f *VMFollower) Run(ctx context.Context) error {
	f.announce(ctx)
	return newLoop("vms", f.Source, f.Log, f.Counters, f.Clock).run(ctx, func(snapshot platform.Snapshot) {
		f.applySnapshot(ctx, snapshot)
	})
}

// announce writes this VM's entry. After a failure the entry is missing from the next
// snapshot and is written again then.
func (f *VMFollower) announce(ctx context.Context) {
	if err := f.Announce(ctx, f.Self); err != nil && ctx.Err() == nil {
		f.Counters.Add(telemetry.GroupStore, "announce_failed", 1)
		f.Log.Warn("failed to announce VM", telemetry.FieldError, err)
	}
}

// applySnapshot passes the decoded list to Apply and writes this VM's entry again if
// it is missing or differs. Malformed entries are counted and left out.
func (f *VMFollower) applySnapshot(ctx context.Context, snapshot platform.Snapshot) {
	isAnnounced := false
	var vms []platform.VM
	for _, row := range snapshot.Rows {
		vm, err := f.Decode(row.Key, row.Value)
		if err != nil {
			f.Counters.Add(telemetry.GroupStore, "vms_malformed", 1)
			f.Log.Warn("failed to decode VM entry", telemetry.FieldVM, row.Key, telemetry.FieldError, err)
			continue
		}
		isAnnounced = isAnnounced || vm == f.Self
		vms = append(vms, vm)
	}
	f.Apply(vms)
	if !isAnnounced {
		f.Counters.Add(telemetry.GroupStore, "announced_again", 1)
		f.Log.Info("own entry is missing from the list of VMs or outdated, writing it again", "store_version", snapshot.Version)
		f.announce(ctx)
	}
}
