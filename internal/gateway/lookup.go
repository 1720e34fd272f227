package gateway

import (
	"context"
	"time"

	"github.com/figfront/figfront/internal/callheader"
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
	hedgeSlowed     = "slowed"
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
func (r *hedgedLookup) run() (attemptResult, *outcome.Problem) {
	sent, problem := r.call.startSend()
	if problem != nil {
		return attemptResult{}, problem
	}
	r.start(sent, false)
	late, stop := r.hedgeTimer()
	defer stop()
	slowed := sent.slowed()
	for {
		select {
		case <-late:
			late = nil
			r.hedge()
		case <-slowed:
			slowed = nil
			r.countHedge(hedgeSlowed)
			r.hedge()
		case result := <-r.results:
			if final, ok := r.handleResult(result); ok {
				return final, nil
			}
		}
	}
}

// hedgeTimer returns a channel that receives when the response is late enough
// for a hedge. The channel is nil until the service has observed enough
// latencies.
func (r *hedgedLookup) hedgeTimer() (late <-chan time.Time, stop func()) {
	delay, ok := r.call.route.service.hedgeDelay()
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// start runs one send in a goroutine, on a copy of the call with a context of its
// own.
func (r *hedgedLookup) start(sent send, isHedge bool) {
	ctx, cancel := context.WithCancel(r.call.ctx)
	started := &lookupSend{sent: sent.cancellable(), isHedge: isHedge, cancel: cancel}
	r.sends = append(r.sends, started)
	r.pending++
	attempt := *r.call
	attempt.ctx = ctx
	go func() {
		r.results <- lookupResult{send: started, result: attempt.attempt(started.sent)}
	}()
}

// hedge sends the call a second time if only the first send is in progress and
// the retry budget allows it.
func (r *hedgedLookup) hedge() {
	if r.pending != 1 || len(r.sends) != 1 {
		return
	}
	sent, problem := r.call.startSendOfKind(hedgeSend)
	switch {
	case problem == nil:
		r.countHedge(hedgeSent)
		r.start(sent, true)
	case problem.Reason == outcome.RetryBudget:
		r.countHedge(hedgeBudget)
	default:
		r.countHedge(hedgeNoUpstream)
	}
}

// handleResult processes the end of one send. It returns true when the call has
// ended.
func (r *hedgedLookup) handleResult(ended lookupResult) (attemptResult, bool) {
	r.pending--
	ended.send.isDone = true
	result := ended.result
	if !result.isFailure() {
		r.observeLatency(ended.send)
		r.cancelOthers(ended.send)
		return result, true
	}
	if ended.send.isHedge {
		r.countHedge(hedgeFailed)
	}
	r.mayHaveRun = r.mayHaveRun || result.outcome != outcome.NotRun
	if r.pending > 0 {
		closeRest(result.rest)
		return attemptResult{}, false
	}
	return r.retry(result)
}

// retry retries the call after all its sends have failed. It returns true when
// the failure is the final result.
func (r *hedgedLookup) retry(result attemptResult) (attemptResult, bool) {
	if len(r.sends) < maxLookupSends {
		if sent, ok := r.call.resend(result); ok {
			r.start(sent, false)
			return attemptResult{}, false
		}
	}
	if result.outcome == outcome.NotRun && r.mayHaveRun {
		result.outcome = outcome.Unknown
	}
	return result, true
}

// observeLatency records the latency of the first send: until its response or,
// when its hedge won, until then.
func (r *hedgedLookup) observeLatency(winner *lookupSend) {
	first := r.sends[0]
	if winner == first || !first.isDone {
		r.call.route.service.observeLookup(time.Since(first.sent.started))
	}
}

// cancelOthers cancels the sends that are still in progress and counts how the
// hedge ended.
func (r *hedgedLookup) cancelOthers(winner *lookupSend) {
	for _, other := range r.sends {
		if other == winner {
			continue
		}
		if winner.isHedge {
			r.countHedge(hedgeWon)
		} else if other.isHedge && !other.isDone {
			r.countHedge(hedgeLost)
		}
		if !other.isDone {
			other.sent.abandon()
			other.cancel()
		}
	}
}

// close cancels the contexts of all sends. The winning response must have been
// written to the caller before.
func (r *hedgedLookup) close() {
	for _, started := range r.sends {
		started.cancel()
	}
}

// countHedge increments a counter of the group hedges.
func (r *hedgedLookup) countHedge(name string) {
	r.call.gateway.options.Counters.Add(telemetry.GroupHedges, name, 1)
}
