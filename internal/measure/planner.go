package measure

import (
	"math/rand/v2"
	"time"
)

// Options are the budget and the views of a Planner.
type Options struct {
	// PerVM limits the probes a second of this VM. 0 means none.
	PerVM float64
	// PerUpstream limits the probes a second that one upstream gets from all
	// VMs. The default is 1.
	PerUpstream float64
	// BytesPerSecond limits what the probes of this VM send and receive. The
	// default is 4 KiB.
	BytesPerSecond float64
	// UpstreamTimeShare limits the share of one second that an upstream spends
	// on the probes of all VMs. The default is 0.005.
	UpstreamTimeShare float64
	// ExpectedVMs is the least number of VMs that the budget is divided by,
	// also while fewer are known. The default is 18.
	ExpectedVMs int
}

// Defaults of Options.
const (
	defaultPerUpstream       = 1
	defaultBytesPerSecond    = 4 << 10
	defaultUpstreamTimeShare = 0.005
	defaultExpectedVMs       = 18
)

// fewerVMsDelay is the time after which a smaller number of live VMs counts.
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

// Need is why an upstream has to be asked.
type Need string

// The needs, the most urgent first.
const (
	// Draining means that the upstream said that it leaves.
	Draining Need = "draining"
	// Returning means that the upstream failed and may be back.
	Returning Need = "returning"
	// Silent means that no answer came lately.
	Silent Need = "silent"
)

// urgency orders needs; a higher one goes first.
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

// Target is an upstream that has to be asked.
type Target struct {
	Address string `json:"address"`
	Path    string `json:"path"`
	Need    Need   `json:"need"`
}

// Cost is what one probe took.
type Cost struct {
	Bytes        int
	UpstreamTime time.Duration
}

// Verdict is the decision on the next probe.
type Verdict int

// The verdicts.
const (
	// NoNeed means that no upstream has to be asked.
	NoNeed Verdict = iota
	// Probe means that the returned target is asked now.
	Probe
	// OverBudget means that an upstream has to be asked but the budget is
	// spent.
	OverBudget
)

// Planner spends the budget for measuring of one VM. It is not safe for
// concurrent use.
type Planner struct {
	options Options
	random  *rand.Rand
	started time.Time

	liveVMs int
	// fewer is the highest lower number of VMs seen since fewerSince.
	fewer      int
	fewerSince time.Time

	messages  pacer
	bytes     pacer
	upstreams map[string]*upstream
	targets   []Target
}

// upstream is the budget for one upstream.
type upstream struct {
	messages pacer
	time     pacer
	asked    time.Time
	// isWanted and wasWanted tell whether the upstream is among the targets and
	// was before they were last replaced.
	isWanted  bool
	wasWanted bool
}

// NewPlanner returns a Planner of a VM that starts now. Its first probe waits as
// long as one that follows another, so that a restart gains nothing.
func NewPlanner(options Options, now time.Time, random *rand.Rand) *Planner {
	p := &Planner{
		options:   options.withDefaults(),
		random:    random,
		started:   now,
		upstreams: make(map[string]*upstream),
	}
	p.liveVMs = p.options.ExpectedVMs
	if p.options.PerVM > 0 {
		p.messages.spend(now, earnTime(1, p.options.PerVM))
	}
	return p
}

// SetLiveVMs tells the number of live VMs, this one included. A higher number
// counts at once, a lower one after a minute, and none below
// Options.ExpectedVMs.
func (p *Planner) SetLiveVMs(now time.Time, count int) {
	count = max(count, p.options.ExpectedVMs)
	if count >= p.liveVMs {
		p.liveVMs = count
		p.fewerSince = time.Time{}
		return
	}
	if p.fewerSince.IsZero() {
		p.fewerSince = now
		p.fewer = count
	}
	p.fewer = max(p.fewer, count)
	if now.Sub(p.fewerSince) >= fewerVMsDelay {
		p.liveVMs = p.fewer
		p.fewerSince = time.Time{}
	}
}

// SetTargets replaces the upstreams that have to be asked. The budgets of
// upstreams that are not among them are kept until they are full again.
func (p *Planner) SetTargets(now time.Time, targets []Target) {
	p.targets = append(p.targets[:0], targets...)
	for _, u := range p.upstreams {
		u.wasWanted = u.isWanted
		u.isWanted = false
	}
	for _, t := range targets {
		p.want(now, t.Address)
	}
	for address, u := range p.upstreams {
		if !u.isWanted && now.Sub(u.asked) > p.interval() && u.time.isReady(now) {
			delete(p.upstreams, address)
		}
	}
}

// want notes that an upstream has to be asked. One that has to be asked anew
// waits a random part of the interval, because the other VMs see the same cause
// at the same moment.
func (p *Planner) want(now time.Time, address string) {
	u, ok := p.upstreams[address]
	if !ok {
		u = p.newUpstream(now)
		p.upstreams[address] = u
	}
	isAnew := ok && !u.wasWanted
	if isAnew && u.messages.isReady(now) {
		u.messages.spend(now, p.part(p.interval()))
	}
	u.isWanted = true
}

// part returns a random part of d.
func (p *Planner) part(d time.Duration) time.Duration {
	return time.Duration(p.random.Float64() * float64(d))
}

// newUpstream returns the budget of an upstream that is asked for the first
// time, after one interval at least and two at most: the VM may have asked it
// right before a restart, and all VMs may begin at once.
func (p *Planner) newUpstream(now time.Time) *upstream {
	interval := p.interval()
	u := &upstream{asked: p.started}
	u.messages.spend(now, interval+p.part(interval))
	return u
}

// interval is the time between two probes of one upstream by this VM.
func (p *Planner) interval() time.Duration {
	return earnTime(float64(p.liveVMs), p.options.PerUpstream)
}

// Next decides on the next probe and pays for its message. Each Probe has one
// Done.
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
	p.messages.spend(now, earnTime(1, p.options.PerVM))
	u.messages.spend(now, p.interval())
	u.asked = now
	return target, Probe
}

// mostUrgent returns the most urgent target that the budget allows, the one not
// asked for the longest time among equals.
func (p *Planner) mostUrgent(now time.Time) (Target, *upstream) {
	var best Target
	var bestUpstream *upstream
	for _, t := range p.targets {
		u := p.upstreams[t.Address]
		if !u.messages.isReady(now) || !u.time.isReady(now) {
			continue
		}
		isBetter := bestUpstream == nil || t.Need.urgency() > best.Need.urgency() ||
			t.Need.urgency() == best.Need.urgency() && u.asked.Before(bestUpstream.asked)
		if isBetter {
			best, bestUpstream = t, u
		}
	}
	return best, bestUpstream
}

// Done pays what a probe took beside its message.
func (p *Planner) Done(now time.Time, target Target, cost Cost) {
	p.bytes.spend(now, earnTime(float64(cost.Bytes), p.options.BytesPerSecond))
	if u, ok := p.upstreams[target.Address]; ok {
		used := cost.UpstreamTime.Seconds() * float64(p.liveVMs)
		u.time.spend(now, earnTime(used, p.options.UpstreamTimeShare))
	}
}
