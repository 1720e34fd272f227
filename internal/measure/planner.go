package measure

import (
	"math/rand/v2"
	"time"
)

// Options are the limits of a Planner.
type Options struct {
	// PerVM limits the probes a second of this VM; 0 disables probes.
	PerVM float64
	// PerUpstream limits the probes a second that one upstream gets from all
	// VMs. The default is 1.
	PerUpstream float64
	// BytesPerSecond limits the bytes that the probes of this VM send and
	// receive. The default is 4 KiB.
	BytesPerSecond float64
	// UpstreamTimeShare limits the share of its time that an upstream spends on
	// the probes of all VMs. The default is 0.005.
	UpstreamTimeShare float64
	// ExpectedVMs is the least number of VMs that the budget of an upstream is
	// divided by, even if fewer are known. The default is 18.
	ExpectedVMs int
}

// Defaults of Options.
const (
	defaultPerUpstream       = 1
	defaultBytesPerSecond    = 4 << 10
	defaultUpstreamTimeShare = 0.005
	defaultExpectedVMs       = 18
)

// fewerVMsDelay is the time after which a decrease in the number of live VMs
// takes effect.
const fewerVMsDelay = time.Minute

func (o Options) withDefaults() Options {
	if o.PerUpstream == 0 {
		o.PerUpstream = defaultPerUpstream
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = defaultBytesPerSecond
	}
	if o.UpstreamTimeShare == 0 {
		o.UpstreamTimeShare = defaultUpstreamTimeShare
	}
	if o.ExpectedVMs == 0 {
		o.ExpectedVMs = defaultExpectedVMs
	}
	return o
}

// Need is the reason why an upstream has to be probed.
type Need string

// The needs, most urgent first.
const (
	// Draining means that the upstream announced that it is leaving.
	Draining Need = "draining"
	// Returning means that the upstream failed and may have recovered.
	Returning Need = "returning"
	// Silent means that there was no recent response.
	Silent Need = "silent"
)

// urgency returns the priority of a need; the highest is probed first.
func (n Need) urgency() int {
	switch n {
	case Draining:
		return 3
	case Returning:
		return 2
	case Silent:
		return 1
	default:
		return 0
	}
}

// Target is an upstream that has to be probed.
type Target struct {
	Address string `json:"address"`
	Path    string `json:"path"`
	Need    Need   `json:"need"`
}

// Cost is what one probe used.
type Cost struct {
	Bytes        int
	UpstreamTime time.Duration
}

// Verdict is the decision on the next probe.
type Verdict int

// The verdicts of Next.
const (
	// NoNeed means that no upstream has to be probed, or that probes are
	// disabled.
	NoNeed Verdict = iota
	// Probe means that the returned target is to be probed now.
	Probe
	// OverBudget means that an upstream has to be probed but the budget is used
	// up.
	OverBudget
)

// Planner schedules the probes of one VM within its budget. It is not safe for
// concurrent use.
type Planner struct {
	options Options
	random  *rand.Rand
	started time.Time

	liveVMs int
	// lowerSince is when the number of VMs fell below liveVMs, or zero.
	// lowerCount is the highest number that was set since then.
	lowerCount int
	lowerSince time.Time

	messages  pacer
	bytes     pacer
	upstreams map[string]*upstreamBudget
	targets   []Target
}

// upstreamBudget is this VM's budget for the probes of one upstream.
type upstreamBudget struct {
	messages     pacer
	upstreamTime pacer
	lastProbe    time.Time
	// isTarget means that the upstream is one of the targets, and wasTarget that
	// it was one before the targets were last replaced.
	isTarget  bool
	wasTarget bool
}

// NewPlanner returns a Planner for a VM that starts now. Its first probe waits
// as long as one that follows another probe, so that a restart does not raise
// the rate.
func NewPlanner(options Options, now time.Time, random *rand.Rand) *Planner {
	p := &Planner{
		options:   options.withDefaults(),
		random:    random,
		started:   now,
		upstreams: make(map[string]*upstreamBudget),
	}
	p.liveVMs = p.options.ExpectedVMs
	if p.options.PerVM > 0 {
		p.messages.spend(now, refillTime(1, p.options.PerVM))
	}
	return p
}

// SetLiveVMs sets the number of live VMs, including this one. An increase takes
// effect at once, a decrease after fewerVMsDelay. Numbers below
// Options.ExpectedVMs count as Options.ExpectedVMs.
func (p *Planner) SetLiveVMs(now time.Time, count int) {
	count = max(count, p.options.ExpectedVMs)
	if count >= p.liveVMs {
		p.liveVMs = count
		p.lowerSince = time.Time{}
		return
	}
	if p.lowerSince.IsZero() {
		p.lowerSince = now
		p.lowerCount = count
	}
	p.lowerCount = max(p.lowerCount, count)
	if now.Sub(p.lowerSince) >= fewerVMsDelay {
		p.liveVMs = p.lowerCount
		p.lowerSince = time.Time{}
	}
}

// SetTargets replaces the upstreams that have to be probed. It keeps the budget of
// an upstream that is no longer a target until that budget has refilled, so that
// an upstream that becomes a target again does not get more probes.
func (p *Planner) SetTargets(now time.Time, targets []Target) {
	p.targets = append(p.targets[:0], targets...)
	for _, u := range p.upstreams {
		u.wasTarget = u.isTarget
		u.isTarget = false
	}
	for _, t := range targets {
		p.addTarget(now, t.Address)
	}
	for address, u := range p.upstreams {
		if !u.isTarget && now.Sub(u.lastProbe) > p.probeInterval() && u.upstreamTime.isReady(now) {
			delete(p.upstreams, address)
		}
	}
}

// addTarget marks an upstream as a target. An upstream that becomes a target
// again waits for a random part of the interval, because all VMs see the same
// cause at the same moment.
func (p *Planner) addTarget(now time.Time, address string) {
	u, ok := p.upstreams[address]
	if !ok {
		u = p.newUpstreamBudget(now)
		p.upstreams[address] = u
	}
	isTargetAgain := ok && !u.wasTarget
	if isTargetAgain && u.messages.isReady(now) {
		u.messages.spend(now, p.randomPart(p.probeInterval()))
	}
	u.isTarget = true
}

// randomPart returns a random part of d.
func (p *Planner) randomPart(d time.Duration) time.Duration {
	return time.Duration(p.random.Float64() * float64(d))
}

// newUpstreamBudget returns the budget of an upstream that becomes a target for
// the first time. Its first probe comes after one to two intervals: this VM may
// have probed it right before a restart, and all VMs may start at once.
func (p *Planner) newUpstreamBudget(now time.Time) *upstreamBudget {
	interval := p.probeInterval()
	u := &upstreamBudget{lastProbe: p.started}
	u.messages.spend(now, interval+p.randomPart(interval))
	return u
}

// probeInterval returns the time between two probes of one upstream by this VM.
func (p *Planner) probeInterval() time.Duration {
	return refillTime(float64(p.liveVMs), p.options.PerUpstream)
}

// Next decides on the next probe and takes its message from the budget. After
// each Probe the caller must call Done.
func (p *Planner) Next(now time.Time) (Target, Verdict) {
	if len(p.targets) == 0 || p.options.PerVM <= 0 {
		return Target{}, NoNeed
	}
	if !p.messages.isReady(now) || !p.bytes.isReady(now) {
		return Target{}, OverBudget
	}
	target, u := p.mostUrgent(now)
	if u == nil {
		return Target{}, OverBudget
	}
	p.messages.spend(now, refillTime(1, p.options.PerVM))
	u.messages.spend(now, p.probeInterval())
	u.lastProbe = now
	return target, Probe
}

// mostUrgent returns the most urgent target that the budget allows. Among
// equals it takes the one whose last probe is the longest ago.
func (p *Planner) mostUrgent(now time.Time) (Target, *upstreamBudget) {
	var best Target
	var bestBudget *upstreamBudget
	for _, t := range p.targets {
		u := p.upstreams[t.Address]
		if !u.messages.isReady(now) || !u.upstreamTime.isReady(now) {
			continue
		}
		isBetter := bestBudget == nil || t.Need.urgency() > best.Need.urgency() ||
			t.Need.urgency() == best.Need.urgency() && u.lastProbe.Before(bestBudget.lastProbe)
		if isBetter {
			best, bestBudget = t, u
		}
	}
	return best, bestBudget
}

// Done takes the bytes and the upstream time of a probe from the budget.
func (p *Planner) Done(now time.Time, target Target, cost Cost) {
	p.bytes.spend(now, refillTime(float64(cost.Bytes), p.options.BytesPerSecond))
	if u, ok := p.upstreams[target.Address]; ok {
		used := cost.UpstreamTime.Seconds() * float64(p.liveVMs)
		u.upstreamTime.spend(now, refillTime(used, p.options.UpstreamTimeShare))
	}
}
