package claim_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// inBubble runs a test with a new testEnv in a synctest bubble. It defaults to
// two VMs and a service time of 10 ms.
func inBubble(t *testing.T, options envOptions, test func(*testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		if options.vms == 0 {
			options.vms = 2
		}
		if options.serviceTime == 0 {
			options.serviceTime = 10 * time.Millisecond
		}
		env := newTestEnv(options)
		defer env.close()
		test(env)
	})
}

func TestRetryGetsTheStoredResponse(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		first := env.book(env.vms[0], "k", "{}")
		Expect(first.status).To(Equal(200))
		Expect(first.outcome).To(Equal(outcome.Ran))
		retry := env.book(env.vms[1], "k", "{}")
		Expect(retry.status).To(Equal(200))
		Expect(retry.outcome).To(Equal(outcome.Ran))
		Expect(retry.body).To(Equal(first.body))
		Expect(retry.header.Get("Content-Type")).To(Equal("application/json"))
		Expect(env.runCount("k")).To(Equal(1))
		Expect(env.vms[1].counters.Get(telemetry.GroupClaims, "replayed")).To(Equal(int64(1)))
	})
}

func TestKeyOfAnotherCallIsRefused(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		Expect(env.book(env.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		other := env.book(env.vms[1], "k", "{\"other\":1}")
		Expect(other.status).To(Equal(422))
		Expect(other.outcome).To(Equal(outcome.NotRun))
		Expect(other.reason).To(Equal(outcome.ClaimMismatch))
		Expect(env.requestRan(other.requestID)).To(BeFalse())
	})
}

func TestTwoVMsWithTheSameKeyAtOnce(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		results := env.bookAtOnce("k")
		Expect(results[0].outcome).To(Equal(outcome.Ran))
		Expect(results[1].outcome).To(Equal(outcome.Ran))
		Expect(results[1].body).To(Equal(results[0].body))
		Expect(env.runCount("k")).To(Equal(1))
	})
}

func TestTableDownRefusesOnlyKeyedCalls(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		env.platform.SetFaults(platformstandin.Faults{TableDown: true})
		keyed := env.book(env.vms[0], "k", "{}")
		Expect(keyed.status).To(Equal(503))
		Expect(keyed.outcome).To(Equal(outcome.NotRun))
		Expect(keyed.reason).To(Equal(outcome.ClaimUnavailable))
		Expect(keyed.header.Get("Retry-After")).To(Equal("1"))
		Expect(env.book(env.vms[0], "", "{}").outcome).To(Equal(outcome.Ran))
		env.platform.SetFaults(platformstandin.Faults{})
		Expect(env.book(env.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		Expect(env.runCount("k")).To(Equal(1))
	})
}

func TestClaimWithUnknownWriteResultIsReadBack(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		env.platform.SetFaults(platformstandin.Faults{LoseResponses: 1})
		Expect(env.book(env.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		Expect(env.vms[0].counters.Get(telemetry.GroupClaims, "settled")).To(Equal(int64(1)))
		Expect(env.runCount("k")).To(Equal(1))
	})
}

// unreadableTable refuses reads while isUnreadable is set.
type unreadableTable struct {
	platform.Table
	isUnreadable *atomic.Bool
}

func (u unreadableTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if u.isUnreadable.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return u.Table.Get(ctx, key)
}

func TestRepeatOfABookingThatRanIsNotToldNotRun(t *testing.T) {
	var isUnreadable atomic.Bool
	wrap := func(table platform.Table) platform.Table { return unreadableTable{table, &isUnreadable} }
	inBubble(t, envOptions{wrapTable: wrap}, func(env *testEnv) {
		Expect(env.book(env.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		isUnreadable.Store(true)
		repeat := env.book(env.vms[1], "k", "{}")
		Expect(env.runCount("k")).To(Equal(1))
		Expect(repeat.outcome).To(Equal(outcome.Unknown))
		Expect(repeat.status).To(Equal(502))
		Expect(repeat.header.Get("Retry-After")).To(Equal("1"))
	})
}

func TestClaimAppliedAfterNotRunIsReleased(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		env.platform.SetFaults(platformstandin.Faults{ApplyLate: 3, ApplyLateBy: time.Second})
		refused := env.book(env.vms[0], "k", "{}")
		Expect(refused.outcome).To(Equal(outcome.NotRun))
		Expect(refused.reason).To(Equal(outcome.ClaimUnavailable))
		time.Sleep(10 * time.Second)
		Expect(env.vms[0].store.Pending()).To(BeZero())
		Expect(env.book(env.vms[1], "k", "{}").outcome).To(Equal(outcome.Ran))
		Expect(env.requestRan(refused.requestID)).To(BeFalse())
		Expect(env.runCount("k")).To(Equal(1))
	})
}

func TestShedCallGoesElsewhereOrIsReleased(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		env.upstreams[0].Set(upstreamstandin.Switches{Shed: true})
		Expect(env.book(env.vms[0], "k", "{}").outcome).To(Equal(outcome.Ran))
		env.upstreams[1].Set(upstreamstandin.Switches{Shed: true})
		refused := env.book(env.vms[0], "l", "{}")
		Expect(refused.outcome).To(Equal(outcome.NotRun))
		time.Sleep(time.Second)
		env.upstreams[1].Set(upstreamstandin.Switches{})
		Expect(env.book(env.vms[1], "l", "{}").outcome).To(Equal(outcome.Ran))
		Expect(env.runCount("k")).To(Equal(1))
		Expect(env.runCount("l")).To(Equal(1))
	})
}

func TestRetryOfARunningCall(t *testing.T) {
	inBubble(t, envOptions{serviceTime: 1900 * time.Millisecond}, func(env *testEnv) {
		go env.book(env.vms[0], "k", "{}")
		time.Sleep(10 * time.Millisecond)
		env.vms[0].setHook(beforeFinalWrite, (*vm).kill)
		retry := env.book(env.vms[1], "k", "{}")
		Expect(retry.outcome).To(Equal(outcome.Unknown))
		Expect(retry.reason).To(Equal(outcome.ClaimRunning))
		Expect(retry.header.Get("Retry-After")).To(Equal("1"))
		time.Sleep(10 * time.Second)
		later := env.book(env.vms[1], "k", "{}")
		Expect(later.outcome).To(Equal(outcome.Unknown))
		Expect(later.reason).To(Equal(outcome.ClaimUnknown))
		Expect(env.runCount("k")).To(Equal(1))
	})
}

func TestResponseThatIsNotStored(t *testing.T) {
	inBubble(t, envOptions{}, func(env *testEnv) {
		env.upstreams[0].Set(upstreamstandin.Switches{CutBodyAfter: 5})
		env.upstreams[1].Set(upstreamstandin.Switches{CutBodyAfter: 5})
		first := env.book(env.vms[0], "k", "{}")
		Expect(first.outcome).To(Equal(outcome.Ran))
		Expect(first.reason).To(Equal(outcome.UpstreamTruncated))
		retry := env.book(env.vms[1], "k", "{}")
		Expect(retry.status).To(Equal(409))
		Expect(retry.outcome).To(Equal(outcome.Ran))
		Expect(retry.reason).To(Equal(outcome.ClaimAnswerLost))
		Expect(env.runCount("k")).To(Equal(1))
	})
}

// vmFaults are the faults that a test can inject into a VM at a step.
var vmFaults = []struct {
	name string
	do   func(*vm)
}{
	{"killed", (*vm).kill},
	{"cut off from upstreams", (*vm).closeConns},
	{"frozen for 500 ms", freezeFor(500 * time.Millisecond)},
	{"frozen until all others gave up", freezeFor(time.Minute)},
}

func TestOwnerFailsAtEachStep(t *testing.T) {
	for _, s := range steps {
		for _, vmFault := range vmFaults {
			t.Run(fmt.Sprintf("%s %s", vmFault.name, s), func(t *testing.T) {
				inBubble(t, envOptions{}, func(env *testEnv) {
					env.vms[0].setHook(s, vmFault.do)
					ownerResult := make(chan callResult, 1)
					go func() { ownerResult <- env.book(env.vms[0], "k", "{}") }()
					time.Sleep(time.Millisecond)
					results := []callResult{env.book(env.vms[1], "k", "{}")}
					time.Sleep(2 * time.Minute)
					results = append(results, env.book(env.vms[1], "k", "{}"))
					results = append(results, <-ownerResult)
					Expect(env.vms[0].allHooksRan()).To(BeTrue())
					expectAtMostOnce(env, "k", results)
				})
			})
		}
	}
}

// expectAtMostOnce checks that the results that callers received match the
// calls that ran.
func expectAtMostOnce(env *testEnv, key string, results []callResult) {
	Expect(violations(env, key, results)).To(BeEmpty())
}

// violations returns a description of each violated guarantee: a key runs at
// most once, and each outcome reported to a caller is correct.
func violations(env *testEnv, key string, results []callResult) []string {
	var found []string
	runs := env.runCount(key)
	if runs > 1 {
		found = append(found, fmt.Sprintf("key %s ran %d times", key, runs))
	}
	for _, result := range results {
		switch result.outcome {
		case outcome.NotRun:
			if env.requestRan(result.requestID) {
				found = append(found, "outcome not run, but the call ran: "+string(result.reason))
			}
		case outcome.Ran:
			if runs == 0 {
				found = append(found, "outcome ran, but the call did not run")
			}
		case outcome.Unknown, "":
		default:
			found = append(found, "unexpected outcome "+string(result.outcome))
		}
		if result.status != 0 && result.outcome == "" {
			found = append(found, "response without an outcome")
		}
	}
	return found
}

func TestVMSuspendedBetweenClaimAndSend(t *testing.T) {
	// While a VM is suspended, its monotonic clock and timers stop. This is
	// simulated by moving only the wall clock; the bubble's time does not pass.
	var jump time.Duration
	wallClock := func() time.Time { return time.Now().Add(jump) }
	monotonicClock := time.Now
	for _, clock := range []struct {
		name     string
		now      func() time.Time
		runCount int
	}{{"wall clock", wallClock, 0}, {"without the mechanism: monotonic clock", monotonicClock, 1}} {
		t.Run(clock.name, func(t *testing.T) {
			jump = 0
			inBubble(t, envOptions{now: clock.now}, func(env *testEnv) {
				env.vms[0].setHook(afterClaim, func(*vm) { jump = 10 * time.Minute })
				result := env.book(env.vms[0], "k", "{}")
				Expect(env.runCount("k")).To(Equal(clock.runCount))
				if clock.runCount == 0 {
					Expect(result.outcome).To(Equal(outcome.NotRun))
					Expect(result.reason).To(Equal(outcome.DeadlinePassed))
				}
			})
		})
	}
}

func TestDeadlineTravelsToTheUpstream(t *testing.T) {
	// The request is delayed in the network and arrives after its deadline. The
	// upstream must refuse it.
	inBubble(t, envOptions{}, func(env *testEnv) {
		env.vms[0].writeDelay = time.Minute
		result := env.book(env.vms[0], "k", "{}")
		Expect(result.outcome).To(Equal(outcome.Unknown))
		time.Sleep(2 * time.Minute)
		Expect(env.upstreams[0].Counts().Received + env.upstreams[1].Counts().Received).To(Equal(int64(1)))
		Expect(env.runCount("k")).To(BeZero())
	})
}
