package decisionbench

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/retry"
)

// The chain of services that the calls go down.
const (
	chainDepth    = 14
	chainRate     = 200
	chainLength   = 30 * time.Second
	chainDeadline = 800 * time.Millisecond
	chainHedge    = 30 * time.Millisecond
	chainHop      = time.Millisecond
	chainShare    = 0.05
	chainTarget   = 1.2
)

// chain is a chain of services, a figfront before each. The deepest is down.
type chain struct {
	clock
	// passMarks tells that the services pass on the marks of calls and of
	// failures.
	passMarks bool
	// hasBrake tells that the budgets learn how sends end.
	hasBrake bool
	// isSilent tells that the deepest service takes calls and never answers;
	// else it refuses them at once.
	isSilent bool

	budgets [chainDepth]*retry.Budget
	sends   [chainDepth]int
	calls   int
}

// hopCall is a call at one hop of the chain.
type hopCall struct {
	hop   int
	call  retry.Call
	sends int
	open  int
	ended bool
	// end runs once, when the call has failed.
	end func()
}

// start takes a call at a hop.
func (c *chain) start(hop, attempt int, end func()) {
	h := &hopCall{hop: hop, call: retry.Call{IsIdempotent: true, Attempt: attempt}, end: end}
	c.budgets[hop].FirstSend(c.Now())
	c.send(h)
	if !c.isSilent {
		return
	}
	c.After(chainHedge, func() {
		isMarked := h.call.Attempt > 1
		if !h.ended && !isMarked && h.sends == 1 && c.budgets[hop].Take(c.Now()) {
			c.send(h)
		}
	})
}

// send sends a call to the service of its hop.
func (c *chain) send(h *hopCall) {
	h.sends++
	h.open++
	c.sends[h.hop]++
	if h.hop == chainDepth-1 {
		c.atDeepest(h)
		return
	}
	attempt := 1
	if c.passMarks {
		attempt = h.call.Mark(h.sends)
	}
	failure := retry.Failure{Outcome: outcome.Ran, Reason: outcome.UpstreamFailed, IsFromBelow: c.passMarks}
	c.After(chainHop, func() {
		c.start(h.hop+1, attempt, func() { c.failed(h, failure) })
	})
}

// atDeepest fails a send at the service that is down.
func (c *chain) atDeepest(h *hopCall) {
	if c.isSilent {
		failure := retry.Failure{Outcome: outcome.Unknown, Reason: outcome.DeadlinePassed}
		c.After(chainDeadline, func() { c.failed(h, failure) })
		return
	}
	failure := retry.Failure{Outcome: outcome.NotRun, Reason: outcome.UpstreamShed}
	c.After(chainHop, func() { c.failed(h, failure) })
}

// failed handles the failure of one send.
func (c *chain) failed(h *hopCall, failure retry.Failure) {
	h.open--
	budget := c.budgets[h.hop]
	if c.hasBrake {
		budget.Answered(false)
	}
	isAgain := !h.ended && h.sends < maxSends && retry.Decide(h.call, failure) == retry.Resend && budget.Take(c.Now())
	if isAgain {
		c.send(h)
		return
	}
	if h.open == 0 && !h.ended {
		h.ended = true
		h.end()
	}
}

// run makes calls at the top and returns the sends at the deepest service for
// each of them.
func (c *chain) run(seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 7))
	for i := range c.budgets {
		c.budgets[i] = retry.NewBudget(chainShare)
	}
	for at := time.Duration(0); at < chainLength; {
		at += time.Duration(random.ExpFloat64() / chainRate * float64(time.Second))
		c.After(at, func() {
			c.calls++
			c.start(0, 1, func() {})
		})
	}
	c.runUntil(chainLength + 2*chainDeadline)
	return float64(c.sends[chainDepth-1]) / float64(c.calls)
}

// amplification returns the median over the seeds.
func amplification(build func() *chain) float64 {
	return middle(runEach(func(seed uint64) float64 { return build().run(seed) }))
}

// TestChain measures how a chain of services multiplies calls while the deepest
// is down.
func TestChain(t *testing.T) {
	t.Logf("computed: 3 sends at each hop %.3g, %g at each hop %.2f, %g at each hop %.2f",
		math.Pow(3, chainDepth), 1+retry.MaxShare, math.Pow(1+retry.MaxShare, chainDepth),
		1+chainShare, math.Pow(1+chainShare, chainDepth))
	for _, silent := range []bool{false, true} {
		name := "refusing"
		if silent {
			name = "silent"
		}
		for _, variant := range []struct {
			name             string
			marks, brake     bool
			isTargetRequired bool
		}{
			{"budget alone", false, false, false},
			{"marks", true, false, false},
			{"brake", false, true, true},
			{"marks and brake", true, true, true},
		} {
			ratio := amplification(func() *chain {
				return &chain{passMarks: variant.marks, hasBrake: variant.brake, isSilent: silent}
			})
			t.Logf("%-8s %-16s %.3f sends at the deepest for each call at the top", name, variant.name, ratio)
			if variant.isTargetRequired && ratio > chainTarget {
				t.Errorf("%s, %s: %.3f sends at the deepest, want %.2f", name, variant.name, ratio, chainTarget)
			}
		}
	}
}
