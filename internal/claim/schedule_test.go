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
	// callersPerSchedule callers book with the same key.
	callersPerSchedule = 3
	// triesPerCaller is how often a caller asks again before it gives up.
	triesPerCaller = 4
	scheduleVMs    = 3
)

// TestSchedules runs seeded mixes of everything that can fail at once.
func TestSchedules(t *testing.T) {
	var total scheduleTally
	for seed := range uint64(scheduleCount) {
		inBubble(t, rigOptions{vms: scheduleVMs}, func(r *rig) {
			run := newSchedule(r, seed)
			run.play()
			Expect(run.check()).To(BeEmpty(), "seed %d", seed)
			total.add(run)
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d schedules: %+v", scheduleCount, total)
	// A mix in which no outcome occurs would prove nothing about it.
	g := NewWithT(t)
	g.Expect(total.Ran).To(BeNumerically(">", scheduleCount/2))
	g.Expect(total.NotRun).To(BeNumerically(">", scheduleCount/10))
	g.Expect(total.Unknown).To(BeNumerically(">", scheduleCount/10))
	g.Expect(total.Killed).To(BeNumerically(">", scheduleCount/20))
}

// scheduleTally sums what the schedules saw.
type scheduleTally struct {
	Calls, Ran, NotRun, Unknown, NoAnswer, Killed, Runs int
}

func (s *scheduleTally) add(run *schedule) {
	s.Runs += run.rig.runs(scheduleKey)
	for _, v := range run.rig.vms {
		if v.wasKilled() {
			s.Killed++
		}
	}
	for _, result := range run.all() {
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

// schedule is one seeded mix of callers and faults.
type schedule struct {
	rig    *rig
	random *rand.Rand

	mu      sync.Mutex
	results []told
}

func newSchedule(r *rig, seed uint64) *schedule {
	return &schedule{rig: r, random: rand.New(rand.NewPCG(seed, 4))}
}

func (s *schedule) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

// chance is true in percent of 100 cases.
func (s *schedule) chance(percent int) bool {
	return s.random.IntN(100) < percent
}

// play draws the whole schedule first, so that a seed means the same one every
// time, then runs it and waits until everything has settled.
func (s *schedule) play() {
	var running sync.WaitGroup
	for _, v := range s.rig.vms {
		s.interfere(v)
	}
	isAllShed := s.chance(10)
	for _, upstream := range s.rig.upstreams {
		switches := s.drawSwitches()
		switches.Shed = switches.Shed || isAllShed
		upstream.Set(switches)
	}
	faults := s.drawFaults()
	for caller := range callersPerSchedule {
		plan := s.drawCaller(caller)
		running.Go(func() { s.call(plan) })
	}
	running.Go(func() {
		for _, f := range faults {
			s.rig.platform.SetFaults(f.faults)
			time.Sleep(f.lasts)
		}
		s.rig.platform.SetFaults(platformstandin.Faults{})
	})
	running.Wait()
	time.Sleep(settleTime)
}

// interfere sets what happens to a VM at one step.
func (s *schedule) interfere(v *vm) {
	for range 2 {
		if !s.chance(35) {
			continue
		}
		at := steps[s.random.IntN(len(steps))]
		do := interferences[s.random.IntN(len(interferences))]
		v.at(at, do.do)
	}
}

func (s *schedule) drawSwitches() upstreamstandin.Switches {
	switches := upstreamstandin.Switches{ServiceTime: s.upTo(30 * time.Millisecond)}
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

// fault is a fault of the platform that lasts for a time.
type fault struct {
	faults platformstandin.Faults
	lasts  time.Duration
}

func (s *schedule) drawFaults() []fault {
	all := []fault{{lasts: s.upTo(20 * time.Millisecond)}}
	for range s.random.IntN(4) {
		f := fault{lasts: s.upTo(3 * time.Second)}
		switch s.random.IntN(5) {
		case 0:
			f.faults.LoseResponses = 1 + s.random.IntN(4)
		case 1:
			f.faults.ApplyLate = 1 + s.random.IntN(4)
			f.faults.ApplyLateBy = s.upTo(5 * time.Second)
		case 2:
			f.faults.TableDown = true
		case 3:
			f.faults.Delay = s.upTo(3 * time.Second)
		case 4:
			f.faults.ApplyLate = 1 + s.random.IntN(2)
			f.faults.ApplyLateBy = s.upTo(time.Second)
			f.faults.LoseResponses = 1 + s.random.IntN(2)
			f.faults.Delay = s.upTo(100 * time.Millisecond)
		}
		all = append(all, f)
	}
	return all
}

// callerPlan is what one caller does: when and where it calls.
type callerPlan struct {
	start time.Duration
	tries []callerTry
}

// callerTry is one call and the time after it.
type callerTry struct {
	vm    int
	pause time.Duration
}

func (s *schedule) drawCaller(number int) callerPlan {
	var plan callerPlan
	// The first two call different VMs at the same moment.
	if number > 1 {
		plan.start = s.upTo(200 * time.Millisecond)
	}
	for try := range triesPerCaller {
		next := callerTry{vm: s.random.IntN(scheduleVMs), pause: s.upTo(4 * time.Second)}
		if try == 0 {
			next.vm = number % scheduleVMs
		}
		plan.tries = append(plan.tries, next)
	}
	return plan
}

// call books until the call has run or the caller gives up.
func (s *schedule) call(plan callerPlan) {
	time.Sleep(plan.start)
	for _, try := range plan.tries {
		result := s.rig.book(s.rig.vms[try.vm], scheduleKey, "{}")
		s.mu.Lock()
		s.results = append(s.results, result)
		s.mu.Unlock()
		if result.outcome == outcome.Ran {
			return
		}
		time.Sleep(try.pause)
	}
}

func (s *schedule) all() []told {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.results
}

// check returns what contradicts the promises, after everything has settled.
func (s *schedule) check() []string {
	found := violations(s.rig, scheduleKey, s.all())
	killed := 0
	for _, v := range s.rig.vms {
		if v.wasKilled() {
			killed++
			continue
		}
		if left := v.store.Pending(); left > 0 {
			found = append(found, fmt.Sprintf("%s holds %d claims that are not closed", v.name, left))
		}
	}
	for _, result := range s.all() {
		if result.outcome == "" && killed == 0 {
			found = append(found, "no answer from a VM that lives")
		}
	}
	if killed == 0 {
		found = append(found, s.checkNotBlocked()...)
	}
	return found
}

// checkNotBlocked books once more when no call was sent without an answer: no
// claim may be left behind.
func (s *schedule) checkNotBlocked() []string {
	for _, result := range s.all() {
		isOther := result.reason == outcome.ClaimRunning || result.reason == outcome.ClaimUnknown
		if result.outcome != outcome.NotRun && !isOther {
			return nil
		}
	}
	for _, upstream := range s.rig.upstreams {
		upstream.Set(upstreamstandin.Switches{})
	}
	last := s.rig.book(s.rig.vms[0], scheduleKey, "{}")
	if last.outcome != outcome.Ran || s.rig.runs(scheduleKey) != 1 {
		return []string{"a claim that ran nothing blocks its key: " + string(last.reason)}
	}
	return nil
}
