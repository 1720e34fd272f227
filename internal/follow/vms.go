package follow

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// VMFollower keeps the list of VMs and this VM's entry in it.
type VMFollower struct {
	Source Source
	// Self is this VM's entry.
	Self platform.VM
	// Announce writes this VM's entry.
	Announce func(ctx context.Context, vm platform.VM) error
	// Decode reads the entry of a VM.
	Decode func(value []byte) (platform.VM, error)
	// Apply takes over the list.
	Apply    func(vms []platform.VM)
	Log      hclog.Logger
	Counters *telemetry.Counters
	// Clock is shared by the followers of a store; nil measures no times.
	Clock *StoreClock
}

// Run follows the list until ctx ends.
func (f *VMFollower) Run(ctx context.Context) error {
	f.announce(ctx)
	return newLoop("vms", f.Source, f.Log, f.Counters, f.Clock).run(ctx, func(snapshot platform.Snapshot) {
		f.take(ctx, snapshot)
	})
}

// announce writes this VM's entry. One that fails is written again after the
// next reading, in which it is missing.
func (f *VMFollower) announce(ctx context.Context) {
	if err := f.Announce(ctx, f.Self); err != nil && ctx.Err() == nil {
		f.Counters.Add(telemetry.GroupStore, "announce_failed", 1)
		f.Log.Warn("VM not announced", telemetry.FieldError, err)
	}
}

func (f *VMFollower) take(ctx context.Context, snapshot platform.Snapshot) {
	isAnnounced := false
	var vms []platform.VM
	for _, row := range snapshot.Rows {
		vm, err := f.Decode(row.Value)
		if err != nil {
			f.Counters.Add(telemetry.GroupStore, "vms_malformed", 1)
			f.Log.Warn("entry names no VM", telemetry.FieldVM, row.Key, telemetry.FieldError, err)
			continue
		}
		isAnnounced = isAnnounced || vm == f.Self
		vms = append(vms, vm)
	}
	f.Apply(vms)
	if !isAnnounced {
		f.announce(ctx)
	}
}
