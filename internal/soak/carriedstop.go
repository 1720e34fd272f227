package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Stops of the VMs through which another one, without links, reaches the servers.
const (
	// nextCarrierStop is the time between two of them.
	nextCarrierStop = 1500 * time.Millisecond
	// maxRunDelay is how long after its caller sent it a request may begin to run, to be ended in time.
	maxRunDelay = time.Second
)

// carriedStopFault is added to the selected kinds of a run with Options.BusyStops.
var carriedStopFault = fault{"vms that carry for another one stop", carriedStop}

// carriedStop takes the links of a random VM to the servers and then stops two others one after the other. Its
// end checks what became of the requests that servers ran, if there is no other kind of fault.
func carriedStop(run *Run, random *rand.Rand) (func(), error) {
	first := random.IntN(len(run.vms))
	v := run.vms[first]
	if run.withoutLinks() > 0 || v.hasLostLinks.Swap(true) {
		return nil, nil
	}
	run.fleet.setLinks(v.source, ResetAll)
	return func() {
		time.Sleep(lossNoticeTime)
		began := time.Now()
		var stops sync.WaitGroup
		for n := 1; n <= maxWithoutLinks; n++ {
			stops.Go(func() { run.stopAndRestart(run.vms[(first+n)%len(run.vms)]) })
			time.Sleep(nextCarrierStop)
		}
		stops.Wait()
		run.checkCarried(v, began, time.Now().Add(-callTimeout))
		run.fleet.setLinks(v.source, Healthy)
		v.linksRestoredAt.Store(time.Now().UnixNano())
		v.hasLostLinks.Store(false)
	}, nil
}

// checkCarried checks that the requests that were sent to a VM between two times, and that servers ran in time,
// succeeded. With other kinds of faults it checks nothing.
func (run *Run) checkCarried(v *VM, from, to time.Time) {
	if run.kindCount != 1 {
		return
	}
	failed := run.ledger.failedRuns(v, from, to)
	if len(failed) > 0 {
		run.addTimedViolation("carried", fmt.Sprintf("%s: %d requests that ran were not answered with success, first %s",
			v.Name, len(failed), failed[0]))
	}
}
