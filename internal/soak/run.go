package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// Figures of a run.
const (
	vmCount = 4
	// contactTime is how long a VM has to be left alone before promises with a time
	// hold for it.
	contactTime = 3 * time.Second
	// startTimeout limits the time until all VMs serve.
	startTimeout = 30 * time.Second
	// leastServed is the share of requests that is served after the last fault.
	leastServed = 0.25
)

// zones are those of the site.
var zones = []string{"north", "south"}

// Options are what a run is drawn from.
type Options struct {
	// Binary is the path of figfront-entry.
	Binary string
	Seed   uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Calm is the time without faults before and after them.
	Calm time.Duration
	// Times checks the promises that have a time as well. They may break on a
	// machine that is busy.
	Times bool
	// Log takes a line for each fault.
	Log io.Writer
}

// Result is what a run came to.
type Result struct {
	Seed       uint64      `json:"seed"`
	Faults     int         `json:"faults"`
	Requests   int         `json:"requests"`
	Served     int         `json:"served"`
	Violations []Violation `json:"violations"`
	// Dir holds the processes' logs when a promise was broken.
	Dir string `json:"dir,omitempty"`
}

// Run is one run under way.
type Run struct {
	options Options
	store   *storetest.Store
	ledger  *Ledger
	fleet   *fleet
	configs configs
	vms     []*VM
	began   time.Time

	mu sync.Mutex
	// err is the first failure of the run itself.
	err error
}

// Play plays the run of a seed. An error means that it could not be played.
func Play(ctx context.Context, options Options) (Result, error) {
	dir, err := os.MkdirTemp("", "figfront-soak-")
	if err != nil {
		return Result{}, err
	}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	run := &Run{options: options, store: storetest.New(), ledger: NewLedger(), began: time.Now()}
	run.fleet = newFleet(run.store, run.ledger, rand.New(rand.NewPCG(options.Seed, 1)))
	storeServer := httptest.NewServer(run.store.Handler())
	defer storeServer.CloseClientConnections()
	injected, err := run.play(ctx, random, vmOptions{binary: options.Binary, dir: dir, host: newHost(), store: storeServer.Listener.Addr().String()})
	run.end()
	told, served := run.ledger.counts()
	result := Result{Seed: options.Seed, Faults: injected, Requests: told, Served: served, Violations: run.ledger.Violations()}
	if err == nil {
		err = run.err
	}
	if len(result.Violations) == 0 && err == nil {
		return result, os.RemoveAll(dir)
	}
	result.Dir = dir
	return result, err
}

// play starts the site, injects the faults and returns their number.
func (run *Run) play(ctx context.Context, random *rand.Rand, options vmOptions) (int, error) {
	if err := run.start(options); err != nil {
		return 0, err
	}
	work, endWork := context.WithCancel(ctx)
	group, work := errgroup.WithContext(work)
	defer func() {
		endWork()
		run.keep(group.Wait())
	}()
	group.Go(func() error { return run.fleet.beat(work) })
	if err := run.awaitService(work); err != nil {
		return 0, err
	}
	for n, v := range run.vms {
		for i := range callersPerVM {
			c := newCaller(run, v, i, rand.New(rand.NewPCG(run.options.Seed, uint64(n*callersPerVM+i)+2)))
			group.Go(func() error { c.work(work); return nil })
		}
	}
	wait(work, run.options.Calm)
	injected := run.inject(work, random)
	run.checkRecovery(work)
	run.keep(run.changeInCalm(work))
	run.checkLeaving()
	return injected, nil
}

// start starts servers and VMs.
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
		address, err := freeAddress(options.host)
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

// awaitService waits until every VM serves.
func (run *Run) awaitService(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for i, v := range run.vms {
		for n := 0; ; n++ {
			request := sitetest.Request{
				ID: fmt.Sprintf("start-%d-%d", i, n), Kind: sitetest.Safe, Path: sitetest.Prefix(sitetest.Safe), Timeout: callTimeout,
			}
			run.ledger.Sent(request, v)
			if sitetest.Send(ctx, http.DefaultClient, v.Front, request).IsSuccess() {
				break
			}
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("%s does not serve", v.Name)
			}
			wait(ctx, minFaultPause)
		}
	}
	return nil
}

// inject injects faults, which overlap, and returns their number once all have
// ended.
func (run *Run) inject(ctx context.Context, random *rand.Rand) int {
	var ends sync.WaitGroup
	injected := 0
	kinds := drawKinds(random)
	for until := time.Now().Add(run.options.Duration); time.Now().Before(until) && ctx.Err() == nil; injected++ {
		f := kinds[random.IntN(len(kinds))]
		length := between(random, minFaultTime, maxFaultTime)
		pause := between(random, minFaultPause, maxFaultPause)
		_, _ = fmt.Fprintf(run.options.Log, "%6.2f s  %s, %v\n", time.Since(run.began).Seconds(), f.name, length.Round(time.Millisecond))
		end, err := f.begin(run, random)
		run.keep(err)
		if end != nil {
			ends.Go(func() {
				wait(ctx, length)
				end()
			})
		}
		wait(ctx, pause)
	}
	ends.Wait()
	for _, v := range run.vms {
		run.keep(v.Start())
	}
	return injected
}

// checkRecovery expects that the site serves again after the last fault.
func (run *Run) checkRecovery(ctx context.Context) {
	wait(ctx, run.options.Calm)
	toldBefore, servedBefore := run.ledger.counts()
	wait(ctx, run.options.Calm)
	told, served := run.ledger.counts()
	if share := float64(served-servedBefore) / float64(max(told-toldBefore, 1)); share < leastServed {
		run.breakTimed("recovery", fmt.Sprintf("%.2f of %d requests served after the last fault", share, told-toldBefore))
	}
}

// changeInCalm lets a server leave and writes a version while nothing else happens.
func (run *Run) changeInCalm(ctx context.Context) error {
	wait(ctx, contactTime)
	if m := run.fleet.pick(); m != nil {
		if err := run.fleet.leave(m); err != nil {
			return err
		}
	}
	if err := run.configs.writeNext(run); err != nil {
		return err
	}
	wait(ctx, drainBound+lingerTime)
	return nil
}

// checkLeaving expects that no VM that was left alone sent a request to a server
// after the bound of its leaving.
func (run *Run) checkLeaving() {
	for _, m := range run.fleet.members {
		if m.leftAt.IsZero() {
			continue
		}
		for id, vm := range run.ledger.runsAfter(m.server.ID, m.leftAt.Add(drainBound)) {
			if vm.isCalmSince(m.leftAt.Add(-contactTime)) {
				run.breakTimed("leaving server", fmt.Sprintf("%s ran %s, sent by %s", m.server.ID, id, vm.Name))
			}
		}
	}
}

// breakTimed records a broken promise that has a time.
func (run *Run) breakTimed(promise, detail string) {
	if run.options.Times {
		run.ledger.Break(promise, "", detail)
	}
}

// keep keeps the first failure of the run itself.
func (run *Run) keep(err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.err == nil {
		run.err = err
	}
}

// end stops all processes and servers that the run has started.
func (run *Run) end() {
	var stops sync.WaitGroup
	for _, v := range run.vms {
		stops.Go(func() {
			if !v.Stop() {
				run.breakTimed("planned stop", v.Name+" did not end in time")
			}
			v.store.Close()
		})
	}
	stops.Wait()
	run.fleet.close()
}

// wait waits until a time has passed or ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
