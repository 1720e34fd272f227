package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/internal/loopback"
	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// Size and time limits of a run.
const (
	vmCount = 4
	// recoveryTime is how long a VM must have been free of faults before guarantees with
	// a time limit are checked for it.
	recoveryTime = 3 * time.Second
	// startTimeout limits the time until all VMs serve requests.
	startTimeout = 30 * time.Second
	// minServedShare is the smallest share of requests that must succeed after the last
	// fault.
	minServedShare = 0.25
)

// zones are the zones of the site.
var zones = []string{"north", "south"}

// Run is the state of a run in progress.
type Run struct {
	options   Options
	store     *storetest.Store
	ledger    *Ledger
	fleet     *fleet
	configs   configs
	vms       []*VM
	startedAt time.Time
	// kindCount is the number of kinds of faults of the run.
	kindCount int
	// hasDeadly is set while a deadly request comes.
	hasDeadly atomic.Bool
	// standsStill is set while a VM stands still.
	standsStill atomic.Bool
	// hasBusyStop is set while VMs stop under busy servers.
	hasBusyStop atomic.Bool
	// oddEntries is the number of odd entries under new names so far.
	oddEntries int
	// repeating counts the active faults in which callers repeat refused requests, repeats the
	// requests that they sent again.
	repeating, repeats atomic.Int64

	mu sync.Mutex
	// err is the first failure of the test itself, as opposed to a broken guarantee.
	err error
}

// Execute executes the run that options.Seed determines. Broken guarantees are part of
// the result; an error means that the run itself failed.
func Execute(ctx context.Context, options Options) (Result, error) {
	dir, err := os.MkdirTemp("", "figfront-soak-")
	if err != nil {
		return Result{}, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	run := &Run{options: options, store: storetest.New(), ledger: NewLedger(), startedAt: time.Now()}
	run.fleet = newFleet(run.store, run.ledger, rand.New(rand.NewPCG(options.Seed, 1)), options.Slots)
	storeServer := httptest.NewServer(run.store.Handler())
	defer storeServer.CloseClientConnections()
	injected, err := run.execute(ctx, random, vmOptions{binary: options.Binary, dir: dir, host: loopback.NextHost(), store: storeServer.Listener.Addr().String()})
	run.stopAll()
	run.checkOwnEnds()
	finished, served := run.ledger.counts()
	result := Result{
		Seed: options.Seed, Faults: injected, Requests: finished, Served: served, Met: run.fleet.metCounts(), OddReads: run.oddReads(),
		Repeats: run.repeats.Load(), ReturnedElsewhere: run.fleet.returnedElsewhere.Load(), Violations: run.ledger.Violations(),
	}
	if err == nil {
		err = run.err
	}
	if len(result.Violations) == 0 && err == nil {
		return result, os.RemoveAll(dir)
	}
	result.Dir = dir
	return result, err
}

// execute starts the site, runs the callers, injects the faults, performs the checks and
// returns the number of injected faults.
func (run *Run) execute(ctx context.Context, random *rand.Rand, options vmOptions) (int, error) {
	if err := run.start(options); err != nil {
		return 0, err
	}
	workCtx, cancel := context.WithCancel(ctx)
	group, workCtx := errgroup.WithContext(workCtx)
	defer func() {
		cancel()
		run.recordErr(group.Wait())
	}()
	group.Go(func() error { return run.fleet.sendHeartbeats(workCtx) })
	if err := run.waitUntilServing(workCtx); err != nil {
		return 0, err
	}
	for n, v := range run.vms {
		for i := range run.options.Callers {
			c := newCaller(run, v, i, rand.New(rand.NewPCG(run.options.Seed, uint64(n*run.options.Callers+i)+2)))
			group.Go(func() error { c.sendUntilDone(workCtx); return nil })
		}
	}
	sleep(workCtx, run.options.Calm)
	injected := run.inject(workCtx, random)
	calmSince := time.Now()
	run.checkRecovery(workCtx)
	run.recordErr(run.changeWithoutFaults(workCtx))
	run.checkUse(calmSince)
	run.checkLeaving()
	run.checkSilentLeaves()
	return injected, nil
}

// start writes the first configuration and starts the servers and VMs.
func (run *Run) start(options vmOptions) error {
	if err := run.configs.writeNext(run); err != nil {
		return err
	}
	for range serverCount {
		if err := run.fleet.add(); err != nil {
			return err
		}
	}
	addresses := make([]string, vmCount)
	for i := range addresses {
		address, err := loopback.FreeAddress(options.host)
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	options.seeds = strings.Join(addresses[:2], ", ")
	for i, address := range addresses {
		v, err := newVM(fmt.Sprintf("vm-%d", i), zones[i%len(zones)], address, options)
		if err != nil {
			return err
		}
		run.vms = append(run.vms, v)
		if err := v.Start(); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilServing waits until every VM has served a request, at most startTimeout.
func (run *Run) waitUntilServing(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for i, v := range run.vms {
		for n := 0; ; n++ {
			request := sitetest.Request{
				ID: fmt.Sprintf("start-%d-%d", i, n), Kind: sitetest.Safe, Path: sitetest.Prefix(sitetest.Safe), Timeout: callTimeout,
			}
			run.ledger.Sent(request, v)
			if sitetest.Send(ctx, http.DefaultClient, v.ListenAddress, request).IsSuccess() {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("%s does not serve requests", v.Name)
			}
			sleep(ctx, minFaultInterval)
		}
	}
	return nil
}

// inject injects overlapping faults for Options.Duration, waits until all have ended,
// restarts the VMs that are not running and returns the number of faults.
func (run *Run) inject(ctx context.Context, random *rand.Rand) int {
	var pendingEnds sync.WaitGroup
	injected := 0
	kinds := run.kinds(random)
	run.kindCount = len(kinds)
	for until := time.Now().Add(run.options.Duration); time.Now().Before(until) && ctx.Err() == nil; injected++ {
		f := kinds[random.IntN(len(kinds))]
		length := randomDuration(random, minFaultDuration, maxFaultDuration)
		pause := randomDuration(random, minFaultInterval, maxFaultInterval)
		_, _ = fmt.Fprintf(run.options.Log, "%6.2f s  %s, %v\n", time.Since(run.startedAt).Seconds(), f.name, length.Round(time.Millisecond))
		end, err := f.begin(run, random)
		run.recordErr(err)
		if end != nil {
			pendingEnds.Go(func() {
				sleep(ctx, length)
				end()
			})
		}
		sleep(ctx, pause)
	}
	pendingEnds.Wait()
	for _, v := range run.vms {
		run.recordErr(v.Start())
	}
	return injected
}

// recordErr keeps the first failure of the run itself. err may be nil.
func (run *Run) recordErr(err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.err == nil {
		run.err = err
	}
}

// stopAll stops all processes and servers of the run.
func (run *Run) stopAll() {
	var stops sync.WaitGroup
	for _, v := range run.vms {
		stops.Go(func() {
			if !v.Stop() {
				run.addTimedViolation("planned stop", v.Name+" did not exit in time")
			}
			v.store.Close()
			v.peers.Close()
		})
	}
	stops.Wait()
	run.fleet.close()
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
