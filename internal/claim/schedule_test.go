package claim_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

const (
	scheduleCount = 1200
	// callersPerSchedule is the number of callers that book with the same key.
	callersPerSchedule = 3
	// callsPerCaller is how often a caller calls before it gives up.
	callsPerCaller = 4
	scheduleVMs    = 3
)

// TestSchedules runs random schedules, each derived from a seed, in which VMs,
// upstreams and the platform fail at the same time, and checks the guarantees
// to callers after each.
func TestSchedules(t *testing.T) {
	var total scheduleStats
	for seed := range uint64(scheduleCount) {
		inBubble(t, envOptions{vms: scheduleVMs}, func(env *testEnv) {
			run := newSchedule(env, seed)
			run.execute()
			Expect(run.violations()).To(BeEmpty(), "seed %d", seed)
			total.add(run)
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %+v", scheduleCount, total)
	// The checks are only meaningful if each outcome occurs often enough.
	g := NewWithT(t)
	g.Expect(total.Ran).To(BeNumerically(">", scheduleCount/2))
	g.Expect(total.NotRun).To(BeNumerically(">", scheduleCount/10))
	g.Expect(total.Unknown).To(BeNumerically(">", scheduleCount/10))
	g.Expect(total.Killed).To(BeNumerically(">", scheduleCount/20))
}

// scheduleStats contains the totals of all schedules.
type scheduleStats struct {
	Calls, Ran, NotRun, Unknown, NoAnswer, Killed, Runs int
}

func (s *scheduleStats) add(run *schedule) {
	s.Runs += run.env.runCount(scheduleKey)
	for _, v := range run.env.vms {
		if v.wasKilled() {
			s.Killed++
		}
	}
	for _, result := range run.allResults() {
		s.Calls++
		switch result.outcome {
		case outcome.Ran:
			s.Ran++
		case outcome.NotRun:
			s.NotRun++
		case outcome.Unknown:
			s.Unknown++
		default:
			s.NoAnswer++
		}
	}
}

const scheduleKey = "k"

// schedule is a random mix of callers and faults, derived from a seed.
type schedule struct {
	env    *testEnv
	random *rand.Rand

	mu      sync.Mutex
	results []callResult
}

func newSchedule(env *testEnv, seed uint64) *schedule {
	return &schedule{env: env, random: rand.New(rand.NewPCG(seed, 4))}
}

// randomDuration returns a random duration below d.
func (s *schedule) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// chance returns true with a probability of percent/100.
func (s *schedule) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

// execute generates the whole schedule before it runs it, so that a seed always
// results in the same one, and then waits until all timeouts have passed.
func (s *schedule) execute() {
	var running sync.WaitGroup
	for _, v := range s.env.vms {
		s.injectFaults(v)
	}
	allShed := s.chance(10)
	for _, upstream := range s.env.upstreams {
		switches := s.drawSwitches()
		switches.Shed = switches.Shed || allShed
		upstream.Set(switches)
	}
	faults := s.drawFaults()
	for caller := range callersPerSchedule {
		plan := s.drawCaller(caller)
		running.Go(func() { s.runCaller(plan) })
	}
	running.Go(func() {
		for _, f := range faults {
			s.env.platform.SetFaults(f.faults)
			time.Sleep(f.duration)
		}
		s.env.platform.SetFaults(platformstandin.Faults{})
	})
	running.Wait()
	time.Sleep(settleTime)
}

// injectFaults sets up to two random faults of a VM, each at a random step.
func (s *schedule) injectFaults(v *vm) {
	for range 2 {
		if !s.chance(35) {
			continue
		}
		at := steps[s.random.IntN(len(steps))]
		vmFault := vmFaults[s.random.IntN(len(vmFaults))]
		v.setHook(at, vmFault.do)
	}
}

func (s *schedule) drawSwitches() upstreamstandin.Switches {
	switches := upstreamstandin.Switches{ServiceTime: s.randomDuration(30 * time.Millisecond)}
	if s.chance(10) {
		switches.SlowFactor = 100
	}
	if s.chance(15) {
		switches.Shed = true
	}
	if s.chance(10) {
		switches.CutBodyAfter = 5
	}
	return switches
}

// fault is a fault of the platform and its duration.
type fault struct {
	faults   platformstandin.Faults
	duration time.Duration
}

func (s *schedule) drawFaults() []fault {
	all := []fault{{duration: s.randomDuration(20 * time.Millisecond)}}
	for range s.random.IntN(4) {
		f := fault{duration: s.randomDuration(3 * time.Second)}
		switch s.random.IntN(5) {
		case 0:
			f.faults.LoseResponses = 1 + s.random.IntN(4)
		case 1:
			f.faults.ApplyLate = 1 + s.random.IntN(4)
			f.faults.ApplyLateBy = s.randomDuration(5 * time.Second)
		case 2:
			f.faults.TableDown = true
		case 3:
			f.faults.Delay = s.randomDuration(3 * time.Second)
		case 4:
			f.faults.ApplyLate = 1 + s.random.IntN(2)
			f.faults.ApplyLateBy = s.randomDuration(time.Second)
			f.faults.LoseResponses = 1 + s.random.IntN(2)
			f.faults.Delay = s.randomDuration(100 * time.Millisecond)
		}
		all = append(all, f)
	}
	return all
}

// callerPlan is the planned calls of one caller.
type callerPlan struct {
	startDelay time.Duration
	calls      []plannedCall
}

// plannedCall is a call to a VM and the pause after it.
type plannedCall struct {
	vm    int
	pause time.Duration
}

func (s *schedule) drawCaller(number int) callerPlan {
	var plan callerPlan
	// The first two callers call different VMs at the same time.
	if number > 1 {
		plan.startDelay = s.randomDuration(200 * time.Millisecond)
	}
	for i := range callsPerCaller {
		next := plannedCall{vm: s.random.IntN(scheduleVMs), pause: s.randomDuration(4 * time.Second)}
		if i == 0 {
			next.vm = number % scheduleVMs
		}
		plan.calls = append(plan.calls, next)
	}
	return plan
}

// runCaller books until the call has run or all planned calls are made.
func (s *schedule) runCaller(plan callerPlan) {
	time.Sleep(plan.startDelay)
	for _, planned := range plan.calls {
		result := s.env.book(s.env.vms[planned.vm], scheduleKey, "{}")
		s.mu.Lock()
		s.results = append(s.results, result)
		s.mu.Unlock()
		if result.outcome == outcome.Ran {
			return
		}
		time.Sleep(planned.pause)
	}
}

func (s *schedule) allResults() []callResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.results
}

// violations returns a description of each violated guarantee. It is called
// after execute.
func (s *schedule) violations() []string {
	found := violations(s.env, scheduleKey, s.allResults())
	killed := 0
	for _, v := range s.env.vms {
		if v.wasKilled() {
			killed++
			continue
		}
		if pending := v.store.Pending(); pending > 0 {
			found = append(found, fmt.Sprintf("%s has %d unconfirmed final writes", v.name, pending))
		}
	}
	for _, result := range s.allResults() {
		if result.outcome == "" && killed == 0 {
			found = append(found, "no response from a running VM")
		}
	}
	if killed == 0 {
		found = append(found, s.checkKeyUsable()...)
	}
	return found
}

// checkKeyUsable books once more if all earlier calls were reported as not run
// or were refused because of another attempt's claim. The booking has to run:
// no claim may be left that blocks the key.
func (s *schedule) checkKeyUsable() []string {
	for _, result := range s.allResults() {
		isOtherClaim := result.reason == outcome.ClaimRunning || result.reason == outcome.ClaimUnknown
		if result.outcome != outcome.NotRun && !isOtherClaim {
			return nil
		}
	}
	for _, upstream := range s.env.upstreams {
		upstream.Set(upstreamstandin.Switches{})
	}
	last := s.env.book(s.env.vms[0], scheduleKey, "{}")
	if last.outcome != outcome.Ran || s.env.runCount(scheduleKey) != 1 {
		return []string{"the claim of a call that did not run blocks its key: " + string(last.reason)}
	}
	return nil
}
