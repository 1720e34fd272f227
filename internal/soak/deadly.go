package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
)

// A request that ends each server that runs it, and the bound on its sends.
const (
	// deadlyTime is how long it comes again and again, deadlyMaxPause the longest pause.
	deadlyTime     = 10 * time.Second
	deadlyMaxPause = 700 * time.Millisecond
	// maxDeadlySends is the number of sends that may arrive later than recoveryTime after it
	// has ended deadlyServers servers.
	deadlyServers  = 3
	maxDeadlySends = 3
	// deadlyPath is a part of its path.
	deadlyPath = "deadly-"
)

// isDeadly reports whether a request ends the server that runs it.
func isDeadly(path, _ string) bool {
	return strings.Contains(path, deadlyPath)
}

// diesOf ends a server under a request. Another one takes its place.
func (f *fleet) diesOf(m *member) {
	f.mu.Lock()
	isOver := m.isStopped
	m.isStopped = true
	f.mu.Unlock()
	if isOver {
		return
	}
	f.crash(m)
	time.AfterFunc(entryTTL, func() {
		f.mu.Lock()
		isClosed := f.isClosed
		f.mu.Unlock()
		if !isClosed {
			// add fails only if the machine is out of ports; the run then goes on with fewer.
			_ = f.add()
		}
	})
}

// deadlyRequest sends a deadly request to random VMs again and again, one at a time. Its end
// waits until deadlyTime is over and checks how many servers ran it.
func deadlyRequest(run *Run, random *rand.Rand) (func(), error) {
	if run.hasDeadly.Swap(true) {
		return nil, nil
	}
	path := fmt.Sprintf("%s%s%d", sitetest.Prefix(sitetest.Safe), deadlyPath, random.Uint64())
	local := rand.New(rand.NewPCG(random.Uint64(), 1))
	began := time.Now()
	var sent sync.WaitGroup
	sent.Go(func() {
		for n := 0; time.Since(began) < deadlyTime; n++ {
			v := run.vms[local.IntN(len(run.vms))]
			request := sitetest.Request{ID: fmt.Sprintf("%s-%d", path, n), Kind: sitetest.Safe, Path: path, Timeout: callTimeout}
			run.ledger.Sent(request, v)
			sent.Go(func() {
				run.ledger.Finished(request.ID, sitetest.Send(context.Background(), http.DefaultClient, v.ListenAddress, request))
			})
			time.Sleep(time.Duration(local.Int64N(int64(deadlyMaxPause))))
		}
	})
	return func() {
		sent.Wait()
		run.checkDeadly(path)
		run.hasDeadly.Store(false)
	}, nil
}

// checkDeadly checks the bound on the sends of a deadly request. It counts those of VMs without
// faults since recoveryTime before.
func (run *Run) checkDeadly(path string) {
	runs := run.ledger.runsOf(path)
	if len(runs) < deadlyServers {
		return
	}
	slices.SortFunc(runs, func(a, b sentRun) int { return a.at.Compare(b.at) })
	since := runs[deadlyServers-1].at.Add(recoveryTime)
	late := 0
	for _, r := range runs {
		if r.at.After(since) && r.vm.isFaultFreeSince(r.at.Add(-recoveryTime)) {
			late++
		}
	}
	if late > maxDeadlySends {
		run.addTimedViolation("deadly request", fmt.Sprintf("%s reached %d servers after it had ended %d, %d in all", path, late, deadlyServers, len(runs)))
	}
}
