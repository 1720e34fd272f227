package decisionbench

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/retry"
)

// Parameters of the chain of services. chainRate is in calls per second.
const (
	chainDepth       = 14
	chainRate        = 200
	chainLength      = 30 * time.Second
	chainDeadline    = 800 * time.Millisecond
	chainHedgeDelay  = 30 * time.Millisecond
	chainHopDelay    = time.Millisecond
	chainRetryShare  = 0.05
	maxAmplification = 1.2
)

// chain models a chain of services with a figfront in front of each. The last
// service is down.
type chain struct {
	clock
	// propagatesMarks means that the services propagate attempt numbers to the
	// next hop, and the information that a later hop gave up to the previous one.
	propagatesMarks bool
	// detectsOutage means that the budgets record the results of sends and stop
	// extra sends during an outage.
	detectsOutage bool
	// isSilent means that the last service accepts calls and never responds;
	// otherwise it refuses them immediately.
	isSilent bool

	budgets [chainDepth]*retry.Budget
	sends   [chainDepth]int
	calls   int
}

// hopCall is the state of a call at one hop of the chain.
type hopCall struct {
	hop      int
	call     retry.Call
	sends    int
	inFlight int
	ended    bool
	// end is called once, when the call has failed at this hop.
	end func()
}

// start handles the arrival of a call at a hop.
func (c *chain) start(hop, attempt int, end func()) {
	h := &hopCall{hop: hop, call: retry.Call{IsIdempotent: true, Attempt: attempt}, end: end}
	c.budgets[hop].FirstSend(c.Now())
	c.send(h)
	if !c.isSilent {
		return
	}
	c.After(chainHedgeDelay, func() {
		isResent := h.call.Attempt > 1
		if !h.ended && !isResent && h.sends == 1 && c.budgets[hop].Take(c.Now()) {
			c.send(h)
		}
	})
}

// send sends a call to the service behind its hop.
func (c *chain) send(h *hopCall) {
	h.sends++
	h.inFlight++
	c.sends[h.hop]++
	if h.hop == chainDepth-1 {
		c.failAtLastService(h)
		return
	}
	attempt := 1
	if c.propagatesMarks {
		attempt = h.call.AttemptNumber(h.sends)
	}
	failure := retry.Failure{Outcome: outcome.Ran, Reason: outcome.UpstreamFailed, IsFromLaterHop: c.propagatesMarks}
	c.After(chainHopDelay, func() {
		c.start(h.hop+1, attempt, func() { c.handleFailure(h, failure) })
	})
}

// failAtLastService lets a send to the last service fail: at the deadline if the
// service is silent, otherwise by a refusal.
func (c *chain) failAtLastService(h *hopCall) {
	if c.isSilent {
		failure := retry.Failure{Outcome: outcome.Unknown, Reason: outcome.DeadlinePassed}
		c.After(chainDeadline, func() { c.handleFailure(h, failure) })
		return
	}
	failure := retry.Failure{Outcome: outcome.NotRun, Reason: outcome.UpstreamShed}
	c.After(chainHopDelay, func() { c.handleFailure(h, failure) })
}

// handleFailure handles the failure of one send: it retries the call or, if no
// other send is in flight, fails it.
func (c *chain) handleFailure(h *hopCall, failure retry.Failure) {
	h.inFlight--
	budget := c.budgets[h.hop]
	if c.detectsOutage {
		budget.RecordResult(false)
	}
	shouldResend := !h.ended && h.sends < maxSends && retry.Decide(h.call, failure) == retry.Retry && budget.Take(c.Now())
	if shouldResend {
		c.send(h)
		return
	}
	if h.inFlight == 0 && !h.ended {
		h.ended = true
		h.end()
	}
}

// run starts calls at the first hop and returns the number of sends to the last
// service per call.
func (c *chain) run(seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 7))
	for i := range c.budgets {
		c.budgets[i] = retry.NewBudget(chainRetryShare)
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

// amplification returns the median over the seeds of the sends to the last
// service per call.
func amplification(build func() *chain) float64 {
	return median(runEach(func(seed uint64) float64 { return build().run(seed) }))
}

// TestChain checks how much a chain of services multiplies calls while the last
// service is down. If every hop sends again, the factors of all hops multiply;
// with outage detection the total must stay at or below maxAmplification.
func TestChain(t *testing.T) {
	t.Logf("computed: 3 sends at each hop %.3g, %g at each hop %.2f, %g at each hop %.2f",
		math.Pow(3, chainDepth), 1+retry.MaxShare, math.Pow(1+retry.MaxShare, chainDepth),
		1+chainRetryShare, math.Pow(1+chainRetryShare, chainDepth))
	for _, silent := range []bool{false, true} {
		name := "refusing"
		if silent {
			name = "silent"
		}
		for _, variant := range []struct {
			name                           string
			withMarks, withOutageDetection bool
			isTargetRequired               bool
		}{
			{"budget alone", false, false, false},
			{"marks", true, false, false},
			{"brake", false, true, true},
			{"marks and brake", true, true, true},
		} {
			ratio := amplification(func() *chain {
				return &chain{propagatesMarks: variant.withMarks, detectsOutage: variant.withOutageDetection, isSilent: silent}
			})
			t.Logf("%-8s %-16s %.3f sends to the last service per call", name, variant.name, ratio)
			if variant.isTargetRequired && ratio > maxAmplification {
				t.Errorf("%s, %s: %.3f sends to the last service per call, want at most %.2f", name, variant.name, ratio, maxAmplification)
			}
		}
	}
}
