package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

const (
	// silentLinger is how long a server that left without a report keeps serving.
	silentLinger = 10 * time.Second
	// outageDelay is the time from its removal to the outage of the store, which lasts at least
	// minOutage and less than maxOutage.
	outageDelay = 100 * time.Millisecond
	minOutage   = 2 * time.Second
	maxOutage   = 3 * time.Second
	// calmTime is how long the VMs are watched once they have been without faults for
	// recoveryTime.
	calmTime = 1500 * time.Millisecond
)

// silentLeaveFaults are added to the selected kinds of a run with Options.SilentLeaves.
var silentLeaveFaults = []fault{
	{"server leaves without a report", serverFault((*Run).leaveSilently)},
	{"server leaves without a report before the store is away", leaveBeforeOutage},
}

// leaveSilently removes the entry of a server, which goes on serving for a while, and replaces
// the server.
func (run *Run) leaveSilently(m *member) error {
	run.fleet.mu.Lock()
	m.isLeaving = true
	m.goneSince = time.Now()
	run.fleet.mu.Unlock()
	sitetest.DeleteEntry(run.store, m.server.ID)
	time.AfterFunc(silentLinger, func() { run.fleet.remove(m) })
	return run.fleet.add()
}

// leaveBeforeOutage lets a server leave without a report shortly before an outage of the store.
// It injects nothing else until the VMs have been without faults for a while, so that the server
// can be seen to get nothing then.
func leaveBeforeOutage(run *Run, random *rand.Rand) (func(), error) {
	m := run.fleet.pick()
	if m == nil {
		return nil, nil
	}
	if err := run.leaveSilently(m); err != nil {
		return nil, err
	}
	outages := []storetest.Faults{{Status: http.StatusServiceUnavailable}, {Reset: true}, {Silent: true}}
	outage, length := outages[random.IntN(len(outages))], randomDuration(random, minOutage, maxOutage)
	time.Sleep(outageDelay)
	end, err := storeFault(outage)(run, random)
	time.Sleep(length)
	end()
	time.Sleep(recoveryTime + calmTime)
	return nil, err
}

// checkSilentLeaves checks that no VM passed on, to a server that had left without a report for
// longer than drainBound, a request that it got after recoveryTime without faults.
func (run *Run) checkSilentLeaves() {
	for _, m := range run.fleet.members {
		if m.goneSince.IsZero() {
			continue
		}
		bound := m.goneSince.Add(drainBound)
		for _, r := range run.ledger.runsAfter(m.server.ID, bound) {
			if r.sentAt.After(bound) && r.vm.isFaultFree(r.sentAt.Add(-recoveryTime), r.at) {
				run.addTimedViolation("server that left without a report",
					fmt.Sprintf("%s ran %s %v after it had left, sent by %s", m.server.ID, r.id, r.at.Sub(m.goneSince), r.vm.Name))
			}
		}
	}
}
