package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/figfront/figfront/platform/sitetest"
	"github.com/figfront/figfront/platform/storetest"
)

// Timing and rate of the faults.
const (
	minFaultInterval = 100 * time.Millisecond
	maxFaultInterval = 600 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// serverFaultRate is the probability of the behavior that a fault made by
	// serverBehavior sets.
	serverFaultRate = 0.3
)

// fault is one kind of fault. begin injects it and returns the function that ends it,
// or nil if the fault needs no end.
type fault struct {
	name  string
	begin func(run *Run, random *rand.Rand) (end func(), err error)
}

// matches reports whether the fault's name contains one of the texts that "|" separates.
func (f fault) matches(texts string) bool {
	return slices.ContainsFunc(strings.Split(texts, "|"), func(text string) bool { return strings.Contains(f.name, text) })
}

// faults are all kinds of faults but restoreFault. A run uses a random subset of them.
var faults = []fault{
	{"vm killed", vmFault(func(v *VM) { v.Signal(syscall.SIGKILL) }, restart)},
	{"vm paused", vmFault(func(v *VM) { v.Signal(syscall.SIGSTOP) }, func(v *VM) { v.Signal(syscall.SIGCONT) })},
	{"vm stopped gracefully", func(run *Run, random *rand.Rand) (func(), error) {
		v := run.vms[random.IntN(len(run.vms))]
		go run.stopAndRestart(v)
		return nil, nil
	}},
	{"vm reloads its settings", vmFault(func(v *VM) { v.Signal(syscall.SIGHUP) }, nil)},
	{"vm's store link slow", storeLink(Slow)},
	{"vm's store link drops requests", storeLink(DropRequests)},
	{"vm's store link drops responses", storeLink(DropResponses)},
	{"vm's store link drops all bytes", storeLink(DropAll)},
	{"vm's store link reset", vmFault(func(v *VM) { v.store.Reset() }, nil)},
	{"server's link slow", serverLink(Slow)},
	{"server's link drops requests", serverLink(DropRequests)},
	{"server's link drops responses", serverLink(DropResponses)},
	{"server's link drops all bytes", serverLink(DropAll)},
	{"server's link reset", serverFault(func(_ *Run, m *member) error { m.proxy.Reset(); return nil })},
	{"server leaves", serverFault(func(run *Run, m *member) error {
		if err := run.fleet.leave(m); err != nil {
			return err
		}
		return run.fleet.add()
	})},
	{"server crashes", serverFault(func(run *Run, m *member) error {
		run.fleet.crash(m)
		return run.fleet.add()
	})},
	{"servers shed", serverBehavior(sitetest.Shed)},
	{"servers reset", serverBehavior(sitetest.Reset)},
	{"servers lose responses", serverBehavior(sitetest.LoseResponse)},
	{"servers truncate responses", serverBehavior(sitetest.CutResponse)},
	{"servers fail", serverBehavior(sitetest.Fail)},
	{"servers run requests and respond 503", serverBehavior(sitetest.UnconfirmedUnavailable)},
	{"servers run requests and respond 429", serverBehavior(sitetest.UnconfirmedTooManyRequests)},
	{"servers run requests and respond 408", serverBehavior(sitetest.UnconfirmedTimeout)},
	{"servers run requests and respond 421", serverBehavior(sitetest.UnconfirmedMisdirected)},
	{"servers run requests and respond without a signature", serverBehavior(sitetest.Unsigned)},
	{"servers refuse requests twice", serverBehavior(sitetest.RepeatRefusal)},
	{"servers refuse health checks twice", serverBehavior(sitetest.RepeatProbeRefusal)},
	{"store refuses", storeFault(storetest.Faults{Status: http.StatusServiceUnavailable})},
	{"store resets", storeFault(storetest.Faults{Reset: true})},
	{"store does not respond", storeFault(storetest.Faults{Silent: true})},
	{"store slow", storeFault(storetest.Faults{Delay: 300 * time.Millisecond})},
	{"store loses writes", storeFault(storetest.Faults{LoseWrites: 5})},
	{"store forgets its history", func(run *Run, _ *rand.Rand) (func(), error) { run.store.DiscardHistory(); return nil, nil }},
	{"configuration changes", func(run *Run, _ *rand.Rand) (func(), error) { return nil, run.configs.writeNext(run) }},
}

// restoreFault is added to the selected kinds of a run with Options.StoreRestores. It is not
// one of faults, so that seeds select the same kinds as before it existed.
var restoreFault = fault{"store comes back from a copy", storeRestore}

// rateLimitFault is added to the selected kinds of a run with Options.RateLimits.
var rateLimitFault = fault{"server names a rate limit", rateLimit}

// deadlyFault is added to the selected kinds of a run with Options.DeadlyRequests, askFaults
// with Options.Asks.
var (
	deadlyFault = fault{"request ends servers", deadlyRequest}
	askFaults   = []fault{{"server asks for rest", askForRest}, {"server says that it leaves", sayLeaving}}
)

// headFaults are added to the selected kinds of a run with Options.BrokenHeads.
var headFaults = []fault{
	{"servers break off in a head", serverBehavior(sitetest.CutHead)},
	{"servers refuse in the head of a success", serverBehavior(sitetest.MixRefusal)},
	{"servers repeat a success in a head", serverBehavior(sitetest.MixSuccess)},
	{"servers succeed in the head of a refusal", serverBehavior(sitetest.MixIntoRefusal)},
	{"servers leave lines of a refusal in the head of a success", serverBehavior(sitetest.LeftoverInSuccess)},
	{"servers leave lines of a refusal in the head of a failure", serverBehavior(sitetest.LeftoverInFailure)},
	{"servers leave lines of a refusal without its ID in the head of a failure", serverBehavior(sitetest.NamelessLeftoverInFailure)},
}

// answerFaults are added to the selected kinds of a run with Options.WrongAnswers.
var answerFaults = []fault{
	{"servers repeat answers, refusals at once", serverBehavior(sitetest.RepeatRefusalAtOnce)},
	{"servers repeat answers, refusals before the next", serverBehavior(sitetest.RepeatRefusalBetween)},
	{"servers repeat answers, successes before the next", serverBehavior(sitetest.RepeatSuccess)},
	{"servers repeat answers, health checks before the next", serverBehavior(sitetest.RepeatProbeSuccess)},
	{"servers answer as to another request", serverBehavior(sitetest.RefuseAsOther)},
	{"servers answer without an ID", serverBehavior(sitetest.RefuseNameless)},
	{"servers answer with the ID in capitals", serverBehavior(sitetest.RefuseInCapitals)},
	{"servers answer before the body", serverBehavior(sitetest.RefuseEarly)},
	{"servers answer with a reset when full", serverBehavior(sitetest.ResetWhenFull)},
	{"server starts again under its name", serverFault(func(run *Run, m *member) error { return run.fleet.startAgain(m) })},
}

// restart starts the process of a VM again.
func restart(v *VM) {
	// Start fails only if the machine is out of resources; requests to this VM
	// then fail until the end of the run.
	_ = v.Start()
}

// vmFault returns a fault that applies begin and later end to a random VM. end may be nil.
func vmFault(begin, end func(v *VM)) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, random *rand.Rand) (func(), error) {
		v := run.vms[random.IntN(len(run.vms))]
		v.recordFault()
		begin(v)
		if end == nil {
			return nil, nil
		}
		return func() { end(v); v.recordFault() }, nil
	}
}

// storeLink returns a fault that sets the state of a random VM's link to the store.
func storeLink(state LinkState) func(*Run, *rand.Rand) (func(), error) {
	return vmFault(func(v *VM) { v.store.Set(state) }, func(v *VM) { v.store.Set(Healthy) })
}

// serverFault returns a fault, without an end, that applies begin to a random server.
func serverFault(begin func(run *Run, m *member) error) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		m := run.fleet.pick()
		if m == nil {
			return nil, nil
		}
		return nil, begin(run, m)
	}
}

// serverLink returns a fault that sets the state of the VMs' link to a random server.
func serverLink(state LinkState) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		m := run.fleet.pick()
		if m == nil {
			return nil, nil
		}
		m.proxy.Set(state)
		return func() { m.proxy.Set(Healthy) }, nil
	}
}

// serverBehavior returns a fault in which all servers handle a share of their requests,
// serverFaultRate, with the given behavior.
func serverBehavior(behavior sitetest.Behavior) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		run.fleet.setRate(behavior, serverFaultRate)
		return func() { run.fleet.setRate(behavior, 0) }, nil
	}
}

// storeFault returns a fault of the store, which affects all VMs.
func storeFault(f storetest.Faults) func(*Run, *rand.Rand) (func(), error) {
	return func(run *Run, _ *rand.Rand) (func(), error) {
		run.recordFaultOnAll()
		run.store.SetFaults(f)
		return func() {
			run.store.SetFaults(storetest.Faults{})
			run.recordFaultOnAll()
		}, nil
	}
}

// awayTime is how long the store is away before it comes back from a copy.
const awayTime = 300 * time.Millisecond

// storeRestore copies the store. Its end makes the store unavailable for awayTime and lets
// it come back from the copy; the operators then write their configuration again.
func storeRestore(run *Run, _ *rand.Rand) (func(), error) {
	run.recordFaultOnAll()
	old := run.store.Copy()
	return func() {
		run.store.SetFaults(storetest.Faults{Reset: true})
		time.Sleep(awayTime)
		run.store.Restore(old)
		run.store.SetFaults(storetest.Faults{})
		run.recordErr(run.configs.writeAgain(run))
		time.AfterFunc(entryTTL, run.fleet.deleteSilent)
		run.recordFaultOnAll()
	}, nil
}

func (run *Run) recordFaultOnAll() {
	for _, v := range run.vms {
		v.recordFault()
	}
}

// kinds returns the kinds of faults of the run.
func (run *Run) kinds(random *rand.Rand) []fault {
	kinds := pickKinds(random, run.options.Only)
	optional := []struct {
		isEnabled bool
		faults    []fault
	}{
		{run.options.StoreRestores, []fault{restoreFault}},
		{run.options.LinkLosses, linkFaults},
		{run.options.LinkLosses, []fault{standstillFault}},
		{run.options.RateLimits, []fault{rateLimitFault}},
		{run.options.DeadlyRequests, []fault{deadlyFault}},
		{run.options.Asks, askFaults},
		{run.options.SilentLeaves, silentLeaveFaults},
		{run.options.BrokenHeads, headFaults},
		{run.options.WrongAnswers, answerFaults},
		{run.options.OddEntries, oddEntryFaults},
		{run.options.SameIDs, sameIDFaults},
		{run.options.Crowds, crowdFaults},
		{run.options.BusyStops, []fault{busyStopFault, carriedStopFault}},
	}
	for _, o := range optional {
		for _, f := range o.faults {
			if o.isEnabled && f.matches(run.options.Only) {
				kinds = append(kinds, f)
			}
		}
	}
	return kinds
}

// minKinds is the smallest number of kinds of faults in a run.
const minKinds = 3

// pickKinds selects the kinds of faults of a run: those that match only, or a
// random selection if only is empty. With only a few kinds their interactions are easier to
// see, and guarantees that require the absence of other faults are actually checked.
func pickKinds(random *rand.Rand, only string) []fault {
	kinds := slices.Clone(faults)
	if only != "" {
		return slices.DeleteFunc(kinds, func(f fault) bool { return !f.matches(only) })
	}
	random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds[:minKinds+random.IntN(len(kinds)-minKinds+1)]
}

// randomDuration returns a random duration from low up to, but not including, high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
