package gateway

import (
	"context"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/hedge"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
)

// Counters of the group hedges.
const (
	hedgeSent       = "sent"
	hedgeWon        = "won"
	hedgeLost       = "lost"
	hedgeFailed     = "failed"
	hedgeBudget     = "budget"
	hedgeNoUpstream = "no_upstream"
)

// serveLookup serves a lookup, hedged if its rule allows that.
func (c *call) serveLookup() {
	if !c.readBody() {
		return
	}
	if !c.mayHedge() {
		a, problem := c.sendUntilAnswered()
		c.finishLookup(a, problem)
		return
	}
	r := newHedgedLookup(c)
	defer r.close()
	a, problem := r.run()
	c.finishLookup(a, problem)
}

// finishLookup answers a lookup with the response or the problem.
func (c *call) finishLookup(a attemptResult, problem *outcome.Problem) {
	if problem != nil {
		c.refuse(*problem)
		return
	}
	c.respond(a)
}

// mayHedge reports whether the lookup may be hedged. A call that was already
// retried at an earlier hop is not, to avoid amplification.
func (c *call) mayHedge() bool {
	return c.route.rule.settings.Hedge && callheader.ParseAttempt(c.r.Header) == 1
}

// hedgedLookup sends a lookup and, when its response is late, sends it a second
// time to another upstream. The first complete response wins; the other send is
// cancelled.
type hedgedLookup struct {
	call    *call
	sends   []*lookupSend
	results chan lookupResult
	pending int
	// mayHaveRun means that a failed send may have reached its upstream.
	mayHaveRun bool
}

// lookupSend is one send of a hedgedLookup.
type lookupSend struct {
	sent    send
	isHedge bool
	cancel  context.CancelFunc
	isDone  bool
}

// lookupResult is the result of one send of a hedgedLookup.
type lookupResult struct {
	send   *lookupSend
	result attemptResult
}

// maxLookupSends limits the sends of one lookup: the first one, its hedge and
// the retries after both have failed.
const maxLookupSends = 8

func newHedgedLookup(c *call) *hedgedLookup {
	return &hedgedLookup{call: c, results: make(chan lookupResult, maxLookupSends)}
}

// run returns the first successful response, the last failure, or the problem
// that kept the call from being sent.
func (h *hedgedLookup) run() (attemptResult, *outcome.Problem) {
	sent, problem := h.call.startSend()
	if problem != nil {
		return attemptResult{}, problem
	}
	h.start(sent, false)
	late, stop := h.hedgeTimer(sent)
	defer stop()
	for {
		select {
		case <-late:
			late = nil
			h.hedge()
		case result := <-h.results:
			if final, ok := h.handleResult(result); ok {
				return final, nil
			}
		}
	}
}

// hedgeTimer returns a channel that receives when it is time for a hedge of the
// first send. The channel is nil until the service has observed enough latencies.
func (h *hedgedLookup) hedgeTimer(first send) (late <-chan time.Time, stop func()) {
	delay, ok := h.call.hedgeDelay(first)
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// hedgeDelay returns the time from the first send to its hedge: until the latest
// start at which a second send is expected to meet the objective. Where there is
// none, it is the time after which a response counts as late.
func (c *call) hedgeDelay(first send) (time.Duration, bool) {
	if first.grant != nil {
		objective := c.arrived.Add(c.route.rule.objective).Sub(first.started)
		if delay, ok := hedge.LatestStart(objective, first.grant.Basis.Typical()); ok {
			return delay, true
		}
	}
	return c.route.service.hedgeDelay()
}

// start runs one send in a goroutine, on a copy of the call with a context of its
// own.
func (h *hedgedLookup) start(sent send, isHedge bool) {
	ctx, cancel := context.WithCancel(h.call.ctx)
	started := &lookupSend{sent: sent.cancellable(), isHedge: isHedge, cancel: cancel}
	h.sends = append(h.sends, started)
	h.pending++
	callCopy := *h.call
	callCopy.ctx = ctx
	go func() {
		h.results <- lookupResult{send: started, result: callCopy.attempt(started.sent)}
	}()
}

// hedge sends the call a second time if only the first send is in progress and
// the retry budget allows it.
func (h *hedgedLookup) hedge() {
	if h.pending != 1 || len(h.sends) != 1 {
		return
	}
	sent, problem := h.call.startSendOfKind(hedgeSend)
	switch {
	case problem == nil:
		h.countHedge(hedgeSent)
		h.start(sent, true)
	case problem.Reason == outcome.RetryBudget:
		h.countHedge(hedgeBudget)
	default:
		h.countHedge(hedgeNoUpstream)
	}
}

// handleResult processes the end of one send. It returns true when the call has
// ended.
func (h *hedgedLookup) handleResult(ended lookupResult) (attemptResult, bool) {
	h.pending--
	ended.send.isDone = true
	result := ended.result
	if !result.isFailure() {
		h.observeLatency(ended.send)
		h.cancelOthers(ended.send)
		return result, true
	}
	if ended.send.isHedge {
		h.countHedge(hedgeFailed)
	}
	h.mayHaveRun = h.mayHaveRun || result.outcome != outcome.NotRun
	if h.pending > 0 {
		closeRest(result.rest)
		return attemptResult{}, false
	}
	return h.retry(result)
}

// retry retries the call after all its sends have failed. It returns true when
// the failure is the final result.
func (h *hedgedLookup) retry(result attemptResult) (attemptResult, bool) {
	if len(h.sends) < maxLookupSends {
		if sent, ok := h.call.resend(result); ok {
			h.start(sent, false)
			return attemptResult{}, false
		}
	}
	if result.outcome == outcome.NotRun && h.mayHaveRun {
		result.outcome = outcome.Unknown
	}
	return result, true
}

// observeLatency records the latency of the first send. If another send won while
// the first one was in progress, the time until then is recorded instead.
func (h *hedgedLookup) observeLatency(winner *lookupSend) {
	first := h.sends[0]
	if winner == first || !first.isDone {
		h.call.route.service.observeLookup(time.Since(first.sent.started))
	}
}

// cancelOthers cancels the sends that are still in progress and counts how the
// hedge ended.
func (h *hedgedLookup) cancelOthers(winner *lookupSend) {
	for _, other := range h.sends {
		if other == winner {
			continue
		}
		if winner.isHedge {
			h.countHedge(hedgeWon)
		} else if other.isHedge && !other.isDone {
			h.countHedge(hedgeLost)
		}
		if !other.isDone {
			other.sent.abandon()
			other.cancel()
		}
	}
}

// close cancels the contexts of all sends. The winning response must have been
// written to the caller before.
func (h *hedgedLookup) close() {
	for _, started := range h.sends {
		started.cancel()
	}
}

// countHedge increments a counter of the group hedges.
func (h *hedgedLookup) countHedge(name string) {
	h.call.gateway.options.Counters.Add(telemetry.GroupHedges, name, 1)
}
