package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of a VM that stands still.
const (
	// standstillTime is how long it stands still, which is longer than its calls may be in flight
	// at the VM that placed them.
	standstillTime = 8 * time.Second
	// inFlightTime is how long after the standstill began its calls may take slots: their timeout
	// and what the report of an end may take.
	inFlightTime = callTimeout + 500*time.Millisecond
)

// standstillName is the name of the fault.
const standstillName = "vm stands still"

// standstillFault is added to the selected kinds of a run with Options.LinkLosses.
var standstillFault = fault{standstillName, standStill}

// standStill stops the process of a random VM for standstillTime. Its end waits for that and, if
// the run has no other faults, checks what the callers of the other VMs got.
func standStill(run *Run, random *rand.Rand) (func(), error) {
	v := run.vms[random.IntN(len(run.vms))]
	if run.standsStill.Swap(true) {
		return nil, nil
	}
	v.recordFault()
	v.Signal(syscall.SIGSTOP)
	began := time.Now()
	return func() {
		time.Sleep(time.Until(began.Add(standstillTime)))
		if run.options.Only == standstillName {
			run.checkStandstill(v, began.Add(inFlightTime), time.Now().Add(-callTimeout))
		}
		v.Signal(syscall.SIGCONT)
		v.recordFault()
		run.standsStill.Store(false)
	}, nil
}

// checkStandstill checks the requests that were sent to the VMs other than v within a span.
func (run *Run) checkStandstill(v *VM, from, until time.Time) {
	for _, other := range run.vms {
		if other == v || !other.isFaultFreeSince(from.Add(-recoveryTime)) {
			continue
		}
		finished, served := run.ledger.servedBy(other, from, until)
		if finished-served > lossSlack+finished/lossSlackPart {
			run.addTimedViolation("VM stands still", fmt.Sprintf("%s served %d of %d requests while %s stood still",
				other.Name, served, finished, v.Name))
		}
	}
}
