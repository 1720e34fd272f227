package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// Limits of probing.
const (
	// maxProbeRounds is the largest number of probe rounds before one placement
	// attempt. Each round probes up to probesPerRound upstreams.
	maxProbeRounds = 3
	probesPerRound = 3
	// maxProbeWait is how long a call waits for the answers of a round.
	maxProbeWait = 12 * time.Millisecond
	// probeTimeout ends a probe. It is longer than maxProbeWait, because a busy
	// upstream accepts a new connection slowly and the connection is then
	// reused.
	probeTimeout = time.Second
	// periodicShare is the largest part of the probe rate limit that periodic
	// probes use.
	periodicShare = 0.5
	// busyProbesPerBaseLatency is how often an upstream is probed during one
	// base latency while the service is busy, and idleProbesPerBaseLatency
	// otherwise. maxProbeInterval is the longest time between two periodic
	// probes of one upstream.
	busyProbesPerBaseLatency = 2
	idleProbesPerBaseLatency = 1
	maxProbeInterval         = 100 * time.Millisecond
	// healthProbeInterval is the time between two periodic probes of an upstream
	// that doesn't report its load, which only show whether it is healthy.
	healthProbeInterval = 500 * time.Millisecond
	// coordinatorTTL is how long a VM acts as the coordinator after a call of
	// another VM.
	coordinatorTTL = time.Second
	// idleInterval is the time until the next check while no periodic probes
	// are needed.
	idleInterval = 50 * time.Millisecond
)

// probeUpstreams probes the most promising upstreams until the load of the one
// that would be chosen is fresh, or the rounds are used up.
func (d *Dispatcher) probeUpstreams(r Request, wait *waiter) {
	for range maxProbeRounds {
		if d.hasFreshChoice(r, wait) || !d.probeRound(r) {
			return
		}
	}
}

// hasFreshChoice reports whether the request could be sent now and the load of
// the upstream that would be chosen is fresh. Probes of upstreams that don't
// report their load are of no use either.
func (d *Dispatcher) hasFreshChoice(r Request, wait *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.balancer.ReportsLoad() {
		return true
	}
	choice, verdict := d.balancer.Place(now, r.balancerRequest(), d.timeLeftLocked(r, now, wait))
	return verdict == loadbalancer.Send && d.balancer.IsFresh(now, choice, d.maxLoadAgeLocked(now))
}

// Ages up to which the load of an upstream counts as fresh. The coordinator
// knows the calls of all VMs and can rely on older reports than a VM that knows
// only its own calls.
const (
	maxLoadAgeCoordinator = 40 * time.Millisecond
	maxLoadAgeLocal       = 12 * time.Millisecond
)

// maxLoadAgeLocked returns the age up to which the load of an upstream counts as
// fresh on this VM.
func (d *Dispatcher) maxLoadAgeLocked(now time.Time) time.Duration {
	if d.isCoordinatorLocked(now) {
		return maxLoadAgeCoordinator
	}
	return maxLoadAgeLocal
}

// isCoordinatorLocked reports whether other VMs currently have their calls
// placed here.
func (d *Dispatcher) isCoordinatorLocked(now time.Time) bool {
	return !d.lastRemoteCall.IsZero() && now.Sub(d.lastRemoteCall) < coordinatorTTL
}

// probeRound probes the most promising upstreams whose load is not fresh. It
// returns false when there was none to probe or the probe budget is spent.
func (d *Dispatcher) probeRound(r Request) bool {
	choices := d.probeCandidates(r)
	if len(choices) == 0 {
		return false
	}
	timeout := time.NewTimer(maxProbeWait)
	defer timeout.Stop()
	answered := make(chan struct{}, len(choices))
	for _, choice := range choices {
		go func() {
			d.probeConfined(choice.Name, choice.Address, "before_send")
			answered <- struct{}{}
		}()
	}
	for range choices {
		select {
		case <-answered:
		case <-timeout.C:
			return true
		}
	}
	return true
}

// probeCandidates returns the upstreams that are worth a probe, as many as the
// budget allows.
func (d *Dispatcher) probeCandidates(r Request) []loadbalancer.Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	request := r.balancerRequest()
	request.StaleAfter = d.maxLoadAgeLocked(now)
	choices := d.balancer.Candidates(now, request, probesPerRound)
	choices = slices.DeleteFunc(choices, func(c loadbalancer.Choice) bool { return d.options.IsResting(c.Name) })
	d.probeBudget.SetCoordinator(now, d.isCoordinatorLocked(now))
	granted := d.probeBudget.Take(now, len(choices))
	d.options.Counters.Add(telemetry.GroupProbes, "withheld", int64(len(choices)-granted))
	return choices[:granted]
}

// probeConfined runs probe; a panic ends it alone.
func (d *Dispatcher) probeConfined(name, address, purpose string) {
	confine.Run(d.options.Log, d.options.Counters, confine.Probe, func() { d.probe(name, address, purpose) })
}

// probe probes one upstream and records its report. purpose is the name of the
// counter for this kind of probe.
func (d *Dispatcher) probe(name, address, purpose string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	sent := time.Now()
	result, ok := d.options.Probe(ctx, address)
	d.options.Counters.Add(telemetry.GroupProbes, purpose, 1)
	if !ok {
		d.options.Counters.Add(telemetry.GroupProbes, "unanswered", 1)
		return
	}
	result.Sent = sent
	if result.Rate.IsNamed {
		d.options.Counters.Add(telemetry.GroupProbes, counterProbeNamedRate, 1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.balancer.Probed(time.Now(), name, result)
	if result.Upstream == name {
		d.suspects.Answered(time.Now(), d.processes[name], sent)
	}
	d.wakeOneLocked()
}

// RunProbes sends periodic probes to the upstreams in turn while this VM is the
// coordinator. Their rate does not grow with the call rate. It returns when ctx
// ends.
func (d *Dispatcher) RunProbes(ctx context.Context) {
	for ctx.Err() == nil {
		var upstream loadbalancer.Upstream
		pause := idleInterval
		confine.Run(d.options.Log, d.options.Counters, confine.Probe, func() { upstream, pause = d.nextPeriodicProbe() })
		if upstream.Name != "" {
			go d.runPeriodicProbe(upstream)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// runPeriodicProbe probes an upstream that nextPeriodicProbe has chosen.
func (d *Dispatcher) runPeriodicProbe(upstream loadbalancer.Upstream) {
	d.probeConfined(upstream.Name, upstream.Address, "poll")
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.awaitingProbe, upstream.Name)
}

// nextPeriodicProbe returns the upstream to be probed now, if any, and the time
// until the next probe. It skips an upstream that has not answered its last
// periodic probe, so that connections to dead upstreams don't pile up.
func (d *Dispatcher) nextPeriodicProbe() (loadbalancer.Upstream, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	probesPerSecond := periodicShare * d.options.ProbesPerUpstream
	if !d.isCoordinatorLocked(now) || probesPerSecond == 0 || len(d.upstreams) == 0 {
		return loadbalancer.Upstream{}, idleInterval
	}
	probesPerBaseLatency := time.Duration(idleProbesPerBaseLatency)
	if d.isBusyLocked() {
		probesPerBaseLatency = busyProbesPerBaseLatency
	}
	interval := min(d.balancer.BaseLatency()/probesPerBaseLatency, maxProbeInterval)
	if !d.balancer.ReportsLoad() {
		interval = healthProbeInterval
	}
	interval = max(interval, time.Duration(float64(time.Second)/probesPerSecond))
	pause := interval / time.Duration(len(d.upstreams))
	d.lastProbed = (d.lastProbed + 1) % len(d.upstreams)
	upstream := d.upstreams[d.lastProbed]
	_, isAwaited := d.awaitingProbe[upstream.Name]
	if isAwaited || !d.balancer.MayProbe(upstream.Name) || d.options.IsResting(upstream.Name) {
		return loadbalancer.Upstream{}, pause
	}
	d.awaitingProbe[upstream.Name] = struct{}{}
	return upstream, pause
}
