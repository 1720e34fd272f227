package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Rate limits that servers name, and the bound on the requests that they get meanwhile.
const (
	// limitTime is how long a server names a limit, and limitNoticeTime the time after
	// which the bound holds.
	limitTime       = 9 * time.Second
	limitNoticeTime = 3 * time.Second
	// limitWindow is the length of the windows in which requests are counted. In each of
	// them limitFactor times the limit and limitSlack requests are allowed.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// rateLimit makes a random server name a rate limit for limitTime. Its end waits for that and
// checks what the server got from the VMs that had no fault.
func rateLimit(run *Run, random *rand.Rand) (func(), error) {
	m := run.fleet.pick()
	if m == nil || m.isLimited.Swap(true) {
		return nil, nil
	}
	perSecond := []float64{0, 1, 2.5}[random.IntN(3)]
	m.server.NameRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	named := time.Now()
	return func() {
		time.Sleep(time.Until(named.Add(limitTime)))
		m.server.NameRateLimit("")
		run.checkRateLimit(m.server.ID, named, perSecond)
		m.isLimited.Store(false)
	}, nil
}

// checkRateLimit checks the requests that a server got since it named a limit.
func (run *Run) checkRateLimit(server string, named time.Time, perSecond float64) {
	var times []time.Time
	for _, e := range run.ledger.runsAfter(server, named.Add(limitNoticeTime)) {
		if e.vm.isFaultFreeSince(named) {
			times = append(times, e.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		if count := i - first + 1; float64(count) > allowed {
			run.addTimedViolation("rate limit", fmt.Sprintf("%s named %g a second and got %d requests in %v", server, perSecond, count, limitWindow))
			return
		}
	}
}
