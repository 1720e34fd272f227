package loadbalancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// Upstream is a server that calls can be sent to.
type Upstream struct {
	Name    string
	Address string
	Zone    string
	// Slots is the number of calls that the server runs at once.
	Slots int
	// WarmupLeft is how much longer the server says that it is slow after its
	// start.
	WarmupLeft time.Duration
	// Started is the server's time of its start; a server that starts again may
	// keep its name. Zero when it is not known.
	Started time.Time
}

// Request tells what a call needs.
type Request struct {
	// Exclude names upstreams that the call must not go to.
	Exclude []string
	// NoTrial keeps the call away from suspects as long as there is another
	// upstream; for calls that can't be sent a second time.
	NoTrial bool
	// Bulk marks a call whose latency tells of its size, such as an upload.
	Bulk bool
	// AnyZone lets Candidates return upstreams of other zones as well.
	AnyZone bool
	// StaleAfter keeps Candidates from returning upstreams whose load is known as
	// of less than that ago.
	StaleAfter time.Duration
	// Bytes is the length of the call's body.
	Bytes int
	// Zone is the availability zone from which the call is sent; empty stands for
	// the VM's own.
	Zone string
}

// Choice is the upstream that a call is sent to.
type Choice struct {
	Name    string
	Address string
	// Bulk is that of the Request.
	Bulk bool
	// Basis is what the choice rests on; only Place sets it.
	Basis Basis
	// isLoadKnown tells whether load and slowness were known and not assumed.
	isLoadKnown bool
}

// Result is how a send ended.
type Result struct {
	// Latency is the time since Sent.
	Latency time.Duration
	// Bytes is the length of the answer's body.
	Bytes int
	// Failed means an error, a refused connection or a server error.
	Failed bool
	// Shed means that the upstream refused the call.
	Shed bool
	// Draining means that the upstream said that it leaves.
	Draining bool
	// Report is the upstream's load report; HasReport tells whether it came. A
	// report on an answer counts the answered call as running.
	Report    callheader.Report
	HasReport bool
}

// ProbeResult is the answer to a probe.
type ProbeResult struct {
	// Sent is the time at which the probe was sent.
	Sent time.Time
	// Healthy means that the upstream wants calls.
	Healthy bool
	// Report is the upstream's load report; HasReport tells whether it came.
	Report    callheader.Report
	HasReport bool
}

// Balancer chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Balancer struct {
	options Options
	random  *rand.Rand
	start   time.Time
	// ranked holds all upstreams in the VM's order; entries the subset in use.
	ranked  []*entry
	entries []*entry
	byName  map[string]*entry
	// typical is the mean latency of an answer; 0 before the first.
	typical time.Duration
	// pace is how long upstreams take by their load.
	pace paceModel
	// background is the mean load of an upstream by other VMs' calls.
	background float64
	// meanSlowness is the mean of what upstreams report; 0 before the first
	// report.
	meanSlowness float64
	// meanAnswer is the mean length of an answer, in bytes.
	meanAnswer float64
	// unheardAt is when tryUnheard looks next.
	unheardAt time.Duration
	examined  uint64
}

// New returns a Balancer without upstreams.
func New(options Options, random *rand.Rand) *Balancer {
	return &Balancer{options: options.withDefaults(), random: random, byName: make(map[string]*entry)}
}

// since returns the time since the balancer's first use.
func (b *Balancer) since(now time.Time) time.Duration {
	if b.start.IsZero() {
		b.start = now
	}
	return now.Sub(b.start)
}

// SetUpstreams replaces the upstreams and keeps what is known of those that
// stay. Upstreams of the first call count as warm; a later one starts slowly.
func (b *Balancer) SetUpstreams(now time.Time, upstreams []Upstream) {
	at := b.since(now)
	known := b.byName
	b.byName = make(map[string]*entry, len(upstreams))
	b.ranked = b.ranked[:0]
	for _, upstream := range upstreams {
		e, ok := known[upstream.Name]
		if !ok || !e.upstream.isSameStart(upstream) {
			e = newEntry(b, at, len(known) == 0)
		}
		b.describe(e, upstream)
		e.coldUntil = at + upstream.WarmupLeft
		b.byName[upstream.Name] = e
		b.ranked = append(b.ranked, e)
	}
	b.rank()
	b.selectSubset()
}

// isSameStart tells whether u is the same start of the same server.
func (u Upstream) isSameStart(other Upstream) bool {
	return u.Address == other.Address && u.Started.Equal(other.Started)
}

// describe takes over the settings of an upstream.
func (b *Balancer) describe(e *entry, upstream Upstream) {
	e.upstream = upstream
	e.slots = float64(max(upstream.Slots, 1))
	e.perSlot = 1 / e.slots
	b.pace.configure(e.slots)
	e.zoneCost = 0
	if upstream.Zone != b.options.Zone {
		e.zoneCost = b.options.RemoteZoneCost
	}
}

// Pick chooses an upstream. It returns false when there is none that may get
// the call.
func (b *Balancer) Pick(now time.Time, request Request) (Choice, bool) {
	at := b.since(now)
	if at >= b.unheardAt {
		b.tryUnheard(at)
	}
	best := b.lowest(at, request, false)
	if best == nil {
		best = b.lowest(at, request, true)
	}
	if best == nil {
		return Choice{}, false
	}
	return best.choice(request), true
}

// Candidates returns the upstreams of lowest cost in the VM's zone, at most count
// and without suspects, for a caller that asks them for their load before it
// picks. To ask another zone would take longer than the answer is worth.
func (b *Balancer) Candidates(now time.Time, request Request, count int) []Choice {
	at := b.since(now)
	request.NoTrial = true
	request.Exclude = slices.Clone(request.Exclude)
	choices := make([]Choice, 0, count)
	for len(choices) < count {
		best := b.lowest(at, request, false)
		if best == nil {
			break
		}
		isWanted := request.StaleAfter == 0 || !best.isFresh(at, request.StaleAfter)
		if isWanted && (best.zoneCost == 0 || request.AnyZone) {
			choices = append(choices, best.choice(request))
		}
		request.Exclude = append(request.Exclude, best.upstream.Name)
	}
	return choices
}

func (e *entry) choice(request Request) Choice {
	return Choice{Name: e.upstream.Name, Address: e.upstream.Address, Bulk: request.Bulk}
}

// lowest returns the upstream of lowest cost. A suspect gets a call only when
// its trial is due, or when isLast tells that there is no other upstream; each
// failure in a row then costs as much as a call's service time.
func (b *Balancer) lowest(at time.Duration, request Request, isLast bool) *entry {
	var best *entry
	var bestCost float64
	for _, e := range b.entries {
		b.examined++
		if len(request.Exclude) > 0 && slices.Contains(request.Exclude, e.upstream.Name) {
			continue
		}
		if e.phase == phaseWarming {
			e.advance(at)
		}
		if e.phase == phaseSuspect && !isLast {
			if !request.NoTrial && e.isTrialDue(at) {
				return e
			}
			continue
		}
		cost := b.cost(e, at)
		if isLast {
			cost += float64(e.failures)
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// Sent records that a call goes to the chosen upstream.
func (b *Balancer) Sent(now time.Time, choice Choice) {
	if e, ok := b.byName[choice.Name]; ok {
		e.sent(b.since(now), choice.Bulk)
	}
}

// Done records how a send ended. Each Sent has one Done or one Cancelled.
func (b *Balancer) Done(now time.Time, choice Choice, result Result) {
	e, ok := b.byName[choice.Name]
	if !ok {
		return
	}
	at := b.since(now)
	e.ended(at-result.Latency, choice.Bulk)
	b.meanAnswer += meanAnswerWeight * (float64(result.Bytes) - b.meanAnswer)
	if result.HasReport {
		b.learnReport(e, at, result)
	}
	b.learnResult(e, at, choice, result)
	if result.Draining {
		e.fire(eventDrainSeen, at)
		e.isSignOwn = true
	}
	if e.isOut() {
		b.selectSubset()
	}
}

func (b *Balancer) learnResult(e *entry, at time.Duration, choice Choice, result Result) {
	switch {
	case result.Shed:
		e.addError(at)
	case result.Failed:
		e.failed(at)
	case choice.Bulk:
		e.answeredBulk(at)
		b.learnPlaced(choice, result.Latency)
	default:
		e.failures = 0
		b.learnLatency(e, at, choice, result.Latency)
		b.learnPlaced(choice, result.Latency)
	}
}

// Cancelled records that a send was given up after the elapsed time, because
// the caller left or a hedge won.
func (b *Balancer) Cancelled(now time.Time, choice Choice, elapsed time.Duration) {
	e, ok := b.byName[choice.Name]
	if !ok {
		return
	}
	at := b.since(now)
	e.ended(at-elapsed, choice.Bulk)
	if !choice.Bulk {
		b.learnCancelled(e, at, elapsed)
	}
}

// Probed records the answer to a probe; a probe without an answer is not
// Healthy.
func (b *Balancer) Probed(now time.Time, name string, result ProbeResult) {
	e, ok := b.byName[name]
	if !ok {
		return
	}
	at := b.since(now)
	if result.HasReport {
		e.learnLoad(at, float64(result.Report.Running+result.Report.Queued))
		b.learnSlowness(e, at, result.Report.Slowness)
	}
	wasOut := e.isOut()
	e.probed(at, b.since(result.Sent), result.Healthy)
	if wasOut != e.isOut() {
		b.selectSubset()
	}
}

// DrainSeen records that another VM saw the upstream leaving.
func (b *Balancer) DrainSeen(now time.Time, name string) {
	e, ok := b.byName[name]
	if !ok || e.isOut() {
		return
	}
	e.fire(eventDrainSeen, b.since(now))
	e.isSignOwn = false
	b.selectSubset()
}

// Leaving returns the names of the upstreams that this VM itself lately saw
// leaving, which it tells the other VMs.
func (b *Balancer) Leaving(now time.Time) []string {
	at := b.since(now)
	var names []string
	for _, e := range b.ranked {
		if e.phase == phaseLeaving && e.isSignOwn && at < e.leftAt+signLife {
			names = append(names, e.upstream.Name)
		}
	}
	return names
}

// Examined returns the number of upstreams that Pick has looked at so far.
func (b *Balancer) Examined() uint64 {
	return b.examined
}
