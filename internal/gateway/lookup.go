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

// serveLookup serves a lookup.
func (c *call) serveLookup() {
	if !c.readBody() {
		return
	}
	if !c.mayHedge() {
		a, problem := c.sendUntilAnswered()
		c.finishLookup(a, problem)
		return
	}
	r := newRace(c)
	defer r.close()
	a, problem := r.run()
	c.finishLookup(a, problem)
}

func (c *call) finishLookup(a attemptResult, problem *outcome.Problem) {
	if problem != nil {
		c.refuse(*problem)
		return
	}
	c.finish(a)
}

// mayHedge tells whether a late answer may be asked for a second time. A call
// that was sent again on its way here is not multiplied further.
func (c *call) mayHedge() bool {
	return c.route.rule.settings.Hedge && callheader.ParseAttempt(c.r.Header) == 1
}

// race sends a lookup and, when the answer is late, sends it a second time to
// another upstream. The first whole answer wins; the other send is cancelled.
type race struct {
	call    *call
	runners []*runner
	results chan raceResult
	pending int
	// mayHaveRun tells that a failed send may have reached its upstream.
	mayHaveRun bool
}

// runner is one send of a race.
type runner struct {
	sent    send
	isHedge bool
	cancel  context.CancelFunc
	isDone  bool
}

// raceResult is how one send of a race ended.
type raceResult struct {
	runner *runner
	answer attemptResult
}

// maxRunners bounds the sends of one race: the first one, its hedge and the
// retries after both have failed.
const maxRunners = 8

func newRace(c *call) *race {
	return &race{call: c, results: make(chan raceResult, maxRunners)}
}

// run returns the winner's answer, the last failure, or the problem that kept
// the call from being sent.
func (r *race) run() (attemptResult, *outcome.Problem) {
	sent, problem := r.call.startSend()
	if problem != nil {
		return attemptResult{}, problem
	}
	r.start(sent, false)
	late, stop := r.lateTimer()
	defer stop()
	slowed := sent.slowed()
	for {
		select {
		case <-late:
			late = nil
			r.hedge()
		case <-slowed:
			slowed = nil
			r.count(hedgeSlowed)
			r.hedge()
		case result := <-r.results:
			if answer, ok := r.take(result); ok {
				return answer, nil
			}
		}
	}
}

// lateTimer returns a channel that fires when the answer counts as late; it is
// nil until the service knows what is late.
func (r *race) lateTimer() (late <-chan time.Time, stop func()) {
	delay, ok := r.call.route.service.hedgeDelay()
	if !ok {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// start runs one send in the background on a copy of the call, which has a
// context of its own.
func (r *race) start(sent send, isHedge bool) {
	ctx, cancel := context.WithCancel(r.call.ctx)
	started := &runner{sent: sent.cancellable(), isHedge: isHedge, cancel: cancel}
	r.runners = append(r.runners, started)
	r.pending++
	attempt := *r.call
	attempt.ctx = ctx
	go func() {
		r.results <- raceResult{runner: started, answer: attempt.attempt(started.sent)}
	}()
}

// hedge sends the call a second time when the first send is still under way and
// the budget allows.
func (r *race) hedge() {
	if r.pending != 1 || len(r.runners) != 1 {
		return
	}
	sent, problem := r.call.startSendOf(hedgeSend)
	switch {
	case problem == nil:
		r.count(hedgeSent)
		r.start(sent, true)
	case problem.Reason == outcome.RetryBudget:
		r.count(hedgeBudget)
	default:
		r.count(hedgeNoUpstream)
	}
}

// take handles the end of one send. It returns true when the call has ended.
func (r *race) take(result raceResult) (attemptResult, bool) {
	r.pending--
	result.runner.isDone = true
	answer := result.answer
	if !answer.isFailure() {
		r.learn(result.runner)
		r.win(result.runner)
		return answer, true
	}
	if result.runner.isHedge {
		r.count(hedgeFailed)
	}
	r.mayHaveRun = r.mayHaveRun || answer.outcome != outcome.NotRun
	if r.pending > 0 {
		closeRest(answer.rest)
		return attemptResult{}, false
	}
	return r.retry(answer)
}

// retry sends the call again after every send has failed. It returns true when
// the failure goes to the caller.
func (r *race) retry(answer attemptResult) (attemptResult, bool) {
	if len(r.runners) < maxRunners {
		if sent, ok := r.call.resend(answer); ok {
			r.start(sent, false)
			return attemptResult{}, false
		}
	}
	if answer.outcome == outcome.NotRun && r.mayHaveRun {
		answer.outcome = outcome.Unknown
	}
	return answer, true
}

// learn records the latency of the first send: the whole one, or the time until
// its hedge won.
func (r *race) learn(winner *runner) {
	first := r.runners[0]
	if winner == first || !first.isDone {
		r.call.route.service.observeLookup(time.Since(first.sent.started))
	}
}

// win cancels the sends that are still under way.
func (r *race) win(winner *runner) {
	for _, other := range r.runners {
		if other == winner {
			continue
		}
		if winner.isHedge {
			r.count(hedgeWon)
		} else if other.isHedge && !other.isDone {
			r.count(hedgeLost)
		}
		if !other.isDone {
			other.sent.giveUp()
			other.cancel()
		}
	}
}

// close releases the contexts of all sends; the winner's answer has been passed
// on by then.
func (r *race) close() {
	for _, started := range r.runners {
		started.cancel()
	}
}

func (r *race) count(name string) {
	r.call.gateway.options.Counters.Add(telemetry.GroupHedges, name, 1)
}
