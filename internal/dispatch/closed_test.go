package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestLoneWaitingCallIsNotRefusedForItself has one call at a time at upstreams that
// report that they are too slow for its objective.
func TestLoneWaitingCallIsNotRefusedForItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := keptDesk
		model.slowShare = 1
		f := newFleet(model, fleetSize, 1)
		place, end := asCoordinator(f.dispatcher("vm", 1))
		l := deskLoad(0.5, 1)
		l.duration = time.Minute
		l.objective = 250 * time.Millisecond
		results := f.run(l, place)
		end()
		time.Sleep(time.Minute)
		NewWithT(t).Expect(share(results, func(r result) bool { return r.isRefused })).To(BeZero())
	})
}
