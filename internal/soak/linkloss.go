package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Losses of links between a VM and all servers, and the bound on what its callers notice.
const (
	// lossTime is how long the links are lost, and lossNoticeTime the time after which the
	// bound holds.
	lossTime       = 7 * time.Second
	lossNoticeTime = 3 * time.Second
	// minLossShare is the least share of requests served at the VM, as a part of the share at
	// the others, unless no more than lossSlack requests and one in lossSlackPart failed.
	minLossShare  = 2.0 / 3
	lossSlack     = 10
	lossSlackPart = 50
	// maxWithoutLinks is the number of VMs that may have no links to servers at a time.
	maxWithoutLinks = vmCount / 2
)

// linkFaults are added to the selected kinds of a run with Options.LinkLosses.
var linkFaults = []fault{
	{"vm's links to servers drop all bytes", linkLoss(DropAll)},
	{"vm's links to servers reset", linkLoss(ResetAll)},
	{"links to a vm slow", peerLink(Slow)},
	{"links to a vm drop requests", peerLink(DropRequests)},
	{"links to a vm drop responses", peerLink(DropResponses)},
	{"links to a vm drop all bytes", peerLink(DropAll)},
	{"links to a vm reset", vmFault(func(v *VM) { v.peers.Reset() }, nil)},
}

// peerLink returns a fault that sets the state of the links over which other VMs reach a
// random VM.
func peerLink(state LinkState) func(*Run, *rand.Rand) (func(), error) {
	return vmFault(func(v *VM) { v.peers.Set(state) }, func(v *VM) { v.peers.Set(Healthy) })
}

// linkLoss returns a fault that sets the state of the links of a random VM to all servers for
// lossTime. Its end waits for that and checks what the VM's callers got.
func linkLoss(state LinkState) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, random *rand.Rand) (func(), error) {
		v := run.vms[random.IntN(len(run.vms))]
		if run.withoutLinks() >= maxWithoutLinks || v.hasLostLinks.Swap(true) {
			return nil, nil
		}
		run.fleet.setLinks(v.source, state)
		began := time.Now()
		return func() {
			time.Sleep(time.Until(began.Add(lossTime)))
			run.checkLinkLoss(v, began, time.Now().Add(-callTimeout))
			run.fleet.setLinks(v.source, Healthy)
			v.linksRestoredAt.Store(time.Now().UnixNano())
			v.hasLostLinks.Store(false)
		}, nil
	}
}

// withoutLinks returns the number of VMs that have no links to servers.
func (run *Run) withoutLinks() int {
	count := 0
	for _, v := range run.vms {
		if v.hasLostLinks.Load() {
			count++
		}
	}
	return count
}

// hadLinksSince reports whether the VM had its links to servers since t.
func (v *VM) hadLinksSince(t time.Time) bool {
	return !v.hasLostLinks.Load() && v.linksRestoredAt.Load() < t.UnixNano()
}

// checkLinkLoss checks the requests that were sent to a VM without links until a time, by those
// of the VMs that had no fault. With other faults of the VM, or fewer than two VMs without
// faults, it checks nothing.
func (run *Run) checkLinkLoss(v *VM, began, until time.Time) {
	from := began.Add(lossNoticeTime)
	finished, served := run.ledger.servedBy(v, from, until)
	others, othersFinished, othersServed := 0, 0, 0
	for _, other := range run.vms {
		if other == v || !other.hadLinksSince(began) || !other.isFaultFreeSince(began) {
			continue
		}
		n, s := run.ledger.servedBy(other, from, until)
		others++
		othersFinished += n
		othersServed += s
	}
	if others < 2 || !v.isFaultFreeSince(began) || finished == 0 || othersFinished == 0 {
		return
	}
	share, othersShare := float64(served)/float64(finished), float64(othersServed)/float64(othersFinished)
	if share < minLossShare*othersShare && finished-served > lossSlack+finished/lossSlackPart {
		run.addTimedViolation("links lost", fmt.Sprintf("%s served %d of %d requests, the others %d of %d",
			v.Name, served, finished, othersServed, othersFinished))
	}
}
