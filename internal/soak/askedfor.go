package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// What servers ask VMs for, and the bounds on what they get then.
const (
	// askTime is how long a server asks, and restSeconds the rest that it asks for.
	askTime     = 8 * time.Second
	restSeconds = 2.5
	// restGrace is the time after a refusal from which on at most maxRestSends requests of the
	// VM may arrive within the rest.
	restGrace    = 500 * time.Millisecond
	maxRestSends = 2
)

// askForRest makes a random server turn all requests away and ask for rest. Its end checks what
// it got from VMs without faults.
func askForRest(run *Run, _ *rand.Rand) (func(), error) {
	m := run.fleet.pick()
	if m == nil || m.isAsking.Swap(true) {
		return nil, nil
	}
	began := time.Now()
	m.server.AskForRest(strconv.FormatFloat(restSeconds, 'f', -1, 64))
	return func() {
		time.Sleep(time.Until(began.Add(askTime)))
		m.server.AskForRest("")
		run.checkRests(m.server.ID, began)
		m.isAsking.Store(false)
	}, nil
}

// checkRests checks the refusals of a server since a time: none may be followed by more than
// maxRestSends of the same VM within the rest that it asked for.
func (run *Run) checkRests(server string, since time.Time) {
	refusals := run.ledger.refusalsOf(server, since)
	for _, asked := range refusals {
		count := 0
		until := asked.at.Add(time.Duration(restSeconds * float64(time.Second)))
		for _, r := range refusals {
			if r.vm == asked.vm && r.at.After(asked.at.Add(restGrace)) && r.at.Before(until) {
				count++
			}
		}
		if count > maxRestSends && asked.vm.isFaultFreeSince(since.Add(-recoveryTime)) {
			run.addTimedViolation("rest", fmt.Sprintf("%s asked %s for %g s of rest and got %d requests", server, asked.vm.Name, restSeconds, count))
			return
		}
	}
}

// sayLeaving makes a random server say in its answers that it leaves, while its entry stays as
// it is. Its end checks that no VM without faults sent it anything drainBound after the first
// such answer, and ends the server.
func sayLeaving(run *Run, _ *rand.Rand) (func(), error) {
	m := run.fleet.pick()
	if m == nil || m.isAsking.Swap(true) {
		return nil, nil
	}
	began := time.Now()
	m.server.Drain()
	return func() {
		time.Sleep(time.Until(began.Add(askTime)))
		run.checkSaidLeaving(m.server.ID, began)
		run.fleet.crash(m)
		run.recordErr(run.fleet.add())
	}, nil
}

// checkSaidLeaving checks the runs of a server that says since a time that it leaves.
func (run *Run) checkSaidLeaving(server string, since time.Time) {
	told := make(map[*VM]time.Time)
	for _, r := range run.ledger.runsAfter(server, since) {
		if first, ok := told[r.vm]; !ok || r.at.Before(first) {
			told[r.vm] = r.at
		}
	}
	for _, r := range run.ledger.runsAfter(server, since) {
		isLate := r.at.After(told[r.vm].Add(serviceTime + drainBound))
		if isLate && r.vm.isFaultFreeSince(since.Add(-recoveryTime)) {
			run.addTimedViolation("leaving said in answers", fmt.Sprintf("%s ran %s, sent by %s", server, r.id, r.vm.Name))
			return
		}
	}
}
