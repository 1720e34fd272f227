package dispatch

import (
	"context"
	"time"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// Limits of asking upstreams for their load.
const (
	// askRounds is how often more upstreams are asked for one look, askCount of
	// them each time.
	askRounds = 3
	askCount  = 3
	// askTimeout is how long a call waits for the answers.
	askTimeout = 12 * time.Millisecond
	// askLife ends a question. It goes on after askTimeout, because a busy
	// upstream takes its time over a new connection, which is then of use.
	askLife = time.Second
	// pollShare is the largest part of the limit on questions that polling uses.
	pollShare = 0.5
	// pollsPerWork is how often an upstream is polled in the time that a call
	// takes there, idlePollsPerWork how often while few slots are taken, and
	// maxPollInterval the longest time between two polls.
	pollsPerWork     = 2
	idlePollsPerWork = 1
	maxPollInterval  = 100 * time.Millisecond
	// remoteLife is how long a VM polls after a call of another VM.
	remoteLife = time.Second
	// pollIdle is the time between two looks whether to poll.
	pollIdle = 50 * time.Millisecond
)

// askUpstreams asks the most promising upstreams for their load until the choice
// rests on what holds now.
func (d *Dispatcher) askUpstreams(r Request, isLate bool) {
	for range askRounds {
		if d.knowsChoice(r, isLate) || !d.askRound(r) {
			return
		}
	}
}

// knowsChoice tells whether the load of the upstream that a send would go to now
// is known.
func (d *Dispatcher) knowsChoice(r Request, isLate bool) bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	choice, verdict := d.balancer.Place(now, r.pick(), r.left(now, isLate))
	return verdict == loadbalancer.Send && d.balancer.IsFresh(now, choice, d.freshAgeLocked(now))
}

// Ages up to which what is known of an upstream need not be asked for again: by
// a VM that places the calls of all VMs, and by one that knows only its own.
const (
	freshInCharge = 40 * time.Millisecond
	freshAlone    = 12 * time.Millisecond
)

func (d *Dispatcher) freshAgeLocked(now time.Time) time.Duration {
	if d.isInChargeLocked(now) {
		return freshInCharge
	}
	return freshAlone
}

// isInChargeLocked tells whether other VMs have their calls placed here.
func (d *Dispatcher) isInChargeLocked(now time.Time) bool {
	return !d.remoteAt.IsZero() && now.Sub(d.remoteAt) < remoteLife
}

// askRound asks the most promising upstreams whose load is not known. It returns
// false when there was none to ask.
func (d *Dispatcher) askRound(r Request) bool {
	choices := d.candidates(r)
	if len(choices) == 0 {
		return false
	}
	late := time.NewTimer(askTimeout)
	defer late.Stop()
	answered := make(chan struct{}, len(choices))
	for _, choice := range choices {
		go func() {
			d.ask(choice.Name, choice.Address, "before_send")
			answered <- struct{}{}
		}()
	}
	for range choices {
		select {
		case <-answered:
		case <-late.C:
			return true
		}
	}
	return true
}

// candidates returns the upstreams that are worth asking.
func (d *Dispatcher) candidates(r Request) []loadbalancer.Choice {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	request := r.pick()
	request.StaleAfter = d.freshAgeLocked(now)
	choices := d.balancer.Candidates(now, request, askCount)
	d.asks.SetInCharge(now, d.isInChargeLocked(now))
	granted := d.asks.Take(now, len(choices))
	d.options.Counters.Add(telemetry.GroupProbes, "withheld", int64(len(choices)-granted))
	return choices[:granted]
}

// ask asks one upstream for its load and takes what it says.
func (d *Dispatcher) ask(name, address, purpose string) {
	ctx, cancel := context.WithTimeout(context.Background(), askLife)
	defer cancel()
	sent := time.Now()
	result, ok := d.options.Ask(ctx, address)
	d.options.Counters.Add(telemetry.GroupProbes, purpose, 1)
	if !ok {
		d.options.Counters.Add(telemetry.GroupProbes, "unanswered", 1)
		return
	}
	result.Sent = sent
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Probed(time.Now(), name, result)
	d.tellSlowedLocked(name, result.Report.Slowness)
	d.wakeLocked()
}

// Poll asks the upstreams in turn, at a rate that does not depend on the calls,
// while other VMs have their calls placed here. It returns when ctx ends.
func (d *Dispatcher) Poll(ctx context.Context) {
	for ctx.Err() == nil {
		upstream, pause := d.nextPoll(time.Now())
		if upstream.Name != "" {
			go d.poll(upstream)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// poll asks an upstream that nextPoll has chosen.
func (d *Dispatcher) poll(upstream loadbalancer.Upstream) {
	d.ask(upstream.Name, upstream.Address, "poll")
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.polled, upstream.Name)
}

// nextPoll returns the upstream to be asked now, if any, and the time until the
// next one. One that has not answered the last poll is passed over, so that
// upstreams that are gone don't gather connections.
func (d *Dispatcher) nextPoll(now time.Time) (loadbalancer.Upstream, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	perSecond := pollShare * d.options.AsksPerSecond
	if !d.isInChargeLocked(now) || perSecond == 0 || len(d.upstreams) == 0 {
		return loadbalancer.Upstream{}, pollIdle
	}
	polls := time.Duration(idlePollsPerWork)
	if d.isBusyLocked() {
		polls = pollsPerWork
	}
	interval := min(d.balancer.Unit()/polls, maxPollInterval)
	interval = max(interval, time.Duration(float64(time.Second)/perSecond))
	pause := interval / time.Duration(len(d.upstreams))
	d.next = (d.next + 1) % len(d.upstreams)
	upstream := d.upstreams[d.next]
	if _, isAwaited := d.polled[upstream.Name]; isAwaited {
		return loadbalancer.Upstream{}, pause
	}
	d.polled[upstream.Name] = struct{}{}
	return upstream, pause
}
