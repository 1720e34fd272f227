package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// Numbers of a writer that leaves odd entries beside the servers.
const (
	// manyOddEntries is the number of entries that are left at once.
	manyOddEntries = 40
	// stayShare is the share of new entries that stay until the end of the run.
	stayShare = 0.3
)

// oddEntryFaults are added to the selected kinds of a run with Options.OddEntries.
var oddEntryFaults = []fault{
	{"odd entry under a new name", func(run *Run, random *rand.Rand) (func(), error) { return run.leaveOddEntries(random, 1), nil }},
	{"odd entries, many at once", func(run *Run, random *rand.Rand) (func(), error) {
		return run.leaveOddEntries(random, manyOddEntries), nil
	}},
	{"odd entry over a live server's", func(run *Run, random *rand.Rand) (func(), error) {
		if m := run.fleet.pick(); m != nil {
			run.putOddEntry(random, m, m.server.ID)
		}
		return nil, nil
	}},
	{"odd entry, and a server leaves without a report", func(run *Run, random *rand.Rand) (func(), error) {
		end := run.leaveOddEntries(random, 1)
		if m := run.fleet.pick(); m != nil {
			return end, run.leaveSilently(m)
		}
		return end, nil
	}},
}

// leaveOddEntries writes odd entries under new names and returns the function that removes those
// that don't stay.
func (run *Run) leaveOddEntries(random *rand.Rand, count int) func() {
	m := run.fleet.pick()
	if m == nil {
		return nil
	}
	var removed []string
	for range count {
		run.oddEntries++
		key := fmt.Sprintf("odd-%04d", run.oddEntries)
		run.putOddEntry(random, m, key)
		if random.Float64() >= stayShare {
			removed = append(removed, key)
		}
	}
	return func() {
		for _, key := range removed {
			sitetest.DeleteEntry(run.store, key)
		}
	}
}

// putOddEntry writes a random odd entry, which may be at the address of a server, under a key.
func (run *Run) putOddEntry(random *rand.Rand, m *member, key string) {
	kinds := sitetest.OddEntries(serviceName, m.entry.Address)
	kinds[random.IntN(len(kinds))].Put(run.store, key)
}

// oddReads returns how often rows with each kind of odd entry were read.
func (run *Run) oddReads() map[string]int {
	reads := make(map[string]int)
	for _, kind := range sitetest.OddEntries(serviceName, "") {
		if count := run.store.Reads(kind.Name); count > 0 {
			reads[kind.Name] = count
		}
	}
	return reads
}

// checkUse checks that each live server ran a request in the time without faults.
func (run *Run) checkUse(since time.Time) {
	for _, m := range run.fleet.members {
		isLive := !m.isLeaving && !m.isStopped && m.goneSince.IsZero()
		if isLive && len(run.ledger.runsAfter(m.server.ID, since)) == 0 {
			run.addTimedViolation("live server in use", m.server.ID+" got no request after the last fault")
		}
	}
}

// checkOwnEnds checks that no process of a VM ended without a signal that ends it.
func (run *Run) checkOwnEnds() {
	for _, v := range run.vms {
		for _, end := range v.OwnEnds() {
			run.ledger.AddViolation("process ends by itself", "", v.Name+": "+end)
		}
	}
}
