package claim_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// inBubble runs a test against a rig on virtual time.
func inBubble(t *testing.T, options rigOptions, test func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		if options.vms == 0 {
			options.vms = 2
		}
		if options.serviceTime == 0 {
			options.serviceTime = 10 * time.Millisecond
		}
		r := newRig(options)
		defer r.close()
		test(r)
	})
}

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		first := r.book(r.vms[0], "k", "{}")
		Expect(first.status).To(Equal(200))
		Expect(first.outcome).To(Equal(outcome.Ran))
		repeat := r.book(r.vms[1], "k", "{}")
		Expect(repeat.status).To(Equal(200))
		Expect(repeat.outcome).To(Equal(outcome.Ran))
		Expect(repeat.body).To(Equal(first.body))
		Expect(repeat.header.Get("Content-Type")).To(Equal("application/json"))
		Expect(r.runs("k")).To(Equal(1))
		Expect(r.vms[1].counters.Get(telemetry.GroupClaims, "replayed")).To(Equal(int64(1)))
	})
}

func TestKeyOfAnotherCallIsRefused(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		Expect(r.book(r.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		other := r.book(r.vms[1], "k", "{\"other\":1}")
		Expect(other.status).To(Equal(422))
		Expect(other.outcome).To(Equal(outcome.NotRun))
		Expect(other.reason).To(Equal(outcome.ClaimMismatch))
		Expect(r.hasRun(other.requestID)).To(BeFalse())
	})
}

func TestTwoVMsWithTheSameKeyAtOnce(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		results := r.bookAtOnce("k")
		Expect(results[0].outcome).To(Equal(outcome.Ran))
		Expect(results[1].outcome).To(Equal(outcome.Ran))
		Expect(results[1].body).To(Equal(results[0].body))
		Expect(r.runs("k")).To(Equal(1))
	})
}

func TestTableDownRefusesKeyedCallsAlone(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		r.platform.SetFaults(platformstandin.Faults{TableDown: true})
		keyed := r.book(r.vms[0], "k", "{}")
		Expect(keyed.status).To(Equal(503))
		Expect(keyed.outcome).To(Equal(outcome.NotRun))
		Expect(keyed.reason).To(Equal(outcome.ClaimUnavailable))
		Expect(keyed.header.Get("Retry-After")).To(Equal("1"))
		Expect(r.book(r.vms[0], "", "{}").outcome).To(Equal(outcome.Ran))
		r.platform.SetFaults(platformstandin.Faults{})
		Expect(r.book(r.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		Expect(r.runs("k")).To(Equal(1))
	})
}

func TestClaimWhoseAnswerIsLostIsReadBack(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		r.platform.SetFaults(platformstandin.Faults{LoseResponses: 1})
		Expect(r.book(r.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		Expect(r.vms[0].counters.Get(telemetry.GroupClaims, "settled")).To(Equal(int64(1)))
		Expect(r.runs("k")).To(Equal(1))
	})
}

func TestClaimThatLandsAfterNotRunIsReleased(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		r.platform.SetFaults(platformstandin.Faults{ApplyLate: 3, ApplyLateBy: time.Second})
		refused := r.book(r.vms[0], "k", "{}")
		Expect(refused.outcome).To(Equal(outcome.NotRun))
		Expect(refused.reason).To(Equal(outcome.ClaimUnavailable))
		time.Sleep(10 * time.Second)
		Expect(r.vms[0].store.Pending()).To(BeZero())
		Expect(r.book(r.vms[1], "k", "{}").outcome).To(Equal(outcome.Ran))
		Expect(r.hasRun(refused.requestID)).To(BeFalse())
		Expect(r.runs("k")).To(Equal(1))
	})
}

func TestShedCallGoesElsewhereOrIsReleased(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		r.upstreams[0].Set(upstreamstandin.Switches{Shed: true})
		Expect(r.book(r.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		r.upstreams[1].Set(upstreamstandin.Switches{Shed: true})
		refused := r.book(r.vms[0], "l", "{}")
		Expect(refused.outcome).To(Equal(outcome.NotRun))
		time.Sleep(time.Second)
		r.upstreams[1].Set(upstreamstandin.Switches{})
		Expect(r.book(r.vms[1], "l", "{}").outcome).To(Equal(outcome.Ran))
		Expect(r.runs("k")).To(Equal(1))
		Expect(r.runs("l")).To(Equal(1))
	})
}

func TestRepeatOfARunningCall(t *testing.T) {
	inBubble(t, rigOptions{serviceTime: 1900 * time.Millisecond}, func(r *rig) {
		go r.book(r.vms[0], "k", "{}")
		time.Sleep(10 * time.Millisecond)
		r.vms[0].at(beforeFinish, (*vm).kill)
		repeat := r.book(r.vms[1], "k", "{}")
		Expect(repeat.outcome).To(Equal(outcome.Unknown))
		Expect(repeat.reason).To(Equal(outcome.ClaimRunning))
		Expect(repeat.header.Get("Retry-After")).To(Equal("1"))
		time.Sleep(10 * time.Second)
		later := r.book(r.vms[1], "k", "{}")
		Expect(later.outcome).To(Equal(outcome.Unknown))
		Expect(later.reason).To(Equal(outcome.ClaimUnknown))
		Expect(r.runs("k")).To(Equal(1))
	})
}

func TestAnswerThatIsNotKept(t *testing.T) {
	inBubble(t, rigOptions{}, func(r *rig) {
		r.upstreams[0].Set(upstreamstandin.Switches{CutBodyAfter: 5})
		r.upstreams[1].Set(upstreamstandin.Switches{CutBodyAfter: 5})
		first := r.book(r.vms[0], "k", "{}")
		Expect(first.outcome).To(Equal(outcome.Ran))
		Expect(first.reason).To(Equal(outcome.UpstreamTruncated))
		repeat := r.book(r.vms[1], "k", "{}")
		Expect(repeat.status).To(Equal(409))
		Expect(repeat.outcome).To(Equal(outcome.Ran))
		Expect(repeat.reason).To(Equal(outcome.ClaimAnswerLost))
		Expect(r.runs("k")).To(Equal(1))
	})
}

// interferences are what happens to the owner of a claim at a step.
var interferences = []struct {
	name string
	do   func(*vm)
}{
	{"killed", (*vm).kill},
	{"cut off from upstreams", (*vm).cut},
	{"frozen for 500 ms", freezeFor(500 * time.Millisecond)},
	{"frozen until all others gave up", freezeFor(time.Minute)},
}

func TestOwnerFailsAtEachStep(t *testing.T) {
	for _, s := range steps {
		for _, interference := range interferences {
			t.Run(fmt.Sprintf("%s %s", interference.name, s), func(t *testing.T) {
				inBubble(t, rigOptions{}, func(r *rig) {
					r.vms[0].at(s, interference.do)
					results := make(chan told, 1)
					go func() { results <- r.book(r.vms[0], "k", "{}") }()
					time.Sleep(time.Millisecond)
					all := []told{r.book(r.vms[1], "k", "{}")}
					time.Sleep(2 * time.Minute)
					all = append(all, r.book(r.vms[1], "k", "{}"))
					all = append(all, <-results)
					Expect(r.vms[0].hasReached()).To(BeTrue())
					expectAtMostOnce(r, "k", all)
				})
			})
		}
	}
}

// expectAtMostOnce checks what callers were told against what ran.
func expectAtMostOnce(r *rig, key string, all []told) {
	Expect(violations(r, key, all)).To(BeEmpty())
}

// violations returns what contradicts the promises to callers.
func violations(r *rig, key string, all []told) []string {
	var found []string
	runs := r.runs(key)
	if runs > 1 {
		found = append(found, fmt.Sprintf("key %s ran %d times", key, runs))
	}
	for _, result := range all {
		switch result.outcome {
		case outcome.NotRun:
			if r.hasRun(result.requestID) {
				found = append(found, "ran after not run: "+string(result.reason))
			}
		case outcome.Ran:
			if runs == 0 {
				found = append(found, "told ran, but nothing ran")
			}
		case outcome.Unknown, "":
		default:
			found = append(found, "outcome "+string(result.outcome))
		}
		if result.status != 0 && result.outcome == "" {
			found = append(found, "an answer without outcome")
		}
	}
	return found
}

func TestVMSuspendedBetweenClaimAndSend(t *testing.T) {
	// While a VM is suspended the monotonic clock and its timers stand still:
	// in the bubble no time passes and the wall clock alone jumps.
	var jump time.Duration
	wallClock := func() time.Time { return time.Now().Add(jump) }
	monotonicClock := time.Now
	for _, clock := range []struct {
		name string
		now  func() time.Time
		runs int
	}{{"wall clock", wallClock, 0}, {"without the mechanism: monotonic clock", monotonicClock, 1}} {
		t.Run(clock.name, func(t *testing.T) {
			jump = 0
			inBubble(t, rigOptions{now: clock.now}, func(r *rig) {
				r.vms[0].at(afterClaim, func(*vm) { jump = 10 * time.Minute })
				result := r.book(r.vms[0], "k", "{}")
				Expect(r.runs("k")).To(Equal(clock.runs))
				if clock.runs == 0 {
					Expect(result.outcome).To(Equal(outcome.NotRun))
					Expect(result.reason).To(Equal(outcome.DeadlinePassed))
				}
			})
		})
	}
}

func TestDeadlineTravelsToTheUpstream(t *testing.T) {
	// The request is on its way while the VM stands still, and arrives after its
	// deadline; the upstream refuses it.
	inBubble(t, rigOptions{}, func(r *rig) {
		r.vms[0].deliverAfter = time.Minute
		result := r.book(r.vms[0], "k", "{}")
		Expect(result.outcome).To(Equal(outcome.Unknown))
		time.Sleep(2 * time.Minute)
		Expect(r.upstreams[0].Counts().Received + r.upstreams[1].Counts().Received).To(Equal(int64(1)))
		Expect(r.runs("k")).To(BeZero())
	})
}
