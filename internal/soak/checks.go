package soak

import (
	"context"
	"fmt"
)

// checkRecovery checks that at least minServedShare of the requests succeed again once
// Options.Calm has passed since the last fault.
func (run *Run) checkRecovery(ctx context.Context) {
	sleep(ctx, run.options.Calm)
	finishedBefore, servedBefore := run.ledger.counts()
	sleep(ctx, run.options.Calm)
	finished, served := run.ledger.counts()
	if share := float64(served-servedBefore) / float64(max(finished-finishedBefore, 1)); share < minServedShare {
		run.addTimedViolation("recovery", fmt.Sprintf("a share of %.2f of %d requests succeeded after the last fault", share, finished-finishedBefore))
	}
}

// changeWithoutFaults lets a server leave and writes a new configuration version while no
// faults are active.
func (run *Run) changeWithoutFaults(ctx context.Context) error {
	sleep(ctx, recoveryTime)
	if m := run.fleet.pick(); m != nil {
		if err := run.fleet.leave(m); err != nil {
			return err
		}
	}
	if err := run.configs.writeNext(run); err != nil {
		return err
	}
	sleep(ctx, drainBound+lingerTime)
	return nil
}

// checkLeaving checks that no fault-free VM sent a request to a leaving server later than
// drainBound after it began to leave.
func (run *Run) checkLeaving() {
	for _, m := range run.fleet.members {
		if m.leavingSince.IsZero() {
			continue
		}
		for _, r := range run.ledger.runsAfter(m.server.ID, m.leavingSince.Add(drainBound)) {
			if r.vm.isFaultFreeSince(m.leavingSince.Add(-recoveryTime)) {
				run.addTimedViolation("leaving server", fmt.Sprintf("%s ran %s, sent by %s", m.server.ID, r.id, r.vm.Name))
			}
		}
	}
}

// addTimedViolation records a violation of a guarantee with a time limit, if these checks
// are enabled.
func (run *Run) addTimedViolation(promise, detail string) {
	if run.options.CheckTimed {
		run.ledger.AddViolation(promise, "", detail)
	}
}
