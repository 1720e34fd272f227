package loadbalancer

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/figfront/figfront/internal/callheader"
)

// Upstream describes a server that calls can be sent to.
type Upstream struct {
	Name    string
	Address string
	Zone    string
	// Slots is the number of calls that the server runs at once.
	Slots int
	// WarmupLeft is the remaining time for which the server reports itself as
	// slow after its start.
	WarmupLeft time.Duration
	// Started is when the server started, by its own clock; zero if unknown. It
	// reveals a restart under the same name.
	Started time.Time
}

// Request describes the requirements of a call.
type Request struct {
	// Exclude lists upstreams that the call must not go to.
	Exclude []string
	// NoTrial excludes suspects. It is set for calls that must not be sent twice.
	// Pick still falls back to a suspect when there is no other upstream, and
	// Place still uses one when its trial is due and it recently reported its
	// load.
	NoTrial bool
	// Bulk marks a call whose latency depends mostly on its size, such as an
	// upload.
	Bulk bool
	// AnyZone allows Candidates to return upstreams of other zones.
	AnyZone bool
	// StaleAfter makes Candidates skip the upstreams whose last load report is
	// younger than this; 0 skips none.
	StaleAfter time.Duration
	// Bytes is the length of the call's body.
	Bytes int
	// Zone is the availability zone of the sender; empty means this VM's zone.
	Zone string
}

// Choice is the upstream that was chosen for a call.
type Choice struct {
	Name    string
	Address string
	// Bulk is copied from the Request.
	Bulk bool
	// Basis holds the estimates behind the choice; only Place sets it.
	Basis Basis
	// isLoadKnown means that load and slowness came from a recent report and
	// were not assumed.
	isLoadKnown bool
	kind        kind
}

// Result describes how a send ended.
type Result struct {
	// Latency is the time since Sent.
	Latency time.Duration
	// Bytes is the length of the response body.
	Bytes int
	// Failed means an error, a refused connection or a server error.
	Failed bool
	// Shed means that the upstream refused the call because of its load.
	Shed bool
	// Draining means that the upstream announced that it is leaving.
	Draining bool
	// Report is the upstream's load report; HasReport reports whether there is
	// one. A report on a response counts the answered call as running.
	Report    callheader.Report
	HasReport bool
	// Rate is the rate limit that the response names, or none. It is valid if StatesRate
	// is true: a send without the upstream's own response says nothing about it.
	Rate       callheader.Rate
	StatesRate bool
}

// ProbeResult is the result of a load probe.
type ProbeResult struct {
	// Sent is when the probe was sent.
	Sent time.Time
	// IsHealthy means that the upstream accepts calls.
	IsHealthy bool
	// Upstream is the name of the upstream that answered; empty if the answer has none.
	Upstream string
	// Draining means that it says that it is leaving.
	Draining bool
	// Report is the upstream's load report; HasReport reports whether there is
	// one.
	Report    callheader.Report
	HasReport bool
	// Rate is the rate limit that the answer names; the zero Rate means none.
	Rate callheader.Rate
}

// Balancer chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Balancer struct {
	options Options
	random  *rand.Rand
	start   time.Time
	// latest is the largest result of since.
	latest time.Duration
	// ranked holds all upstreams in the VM's order; subset holds those in use.
	ranked []*entry
	subset []*entry
	byName map[string]*entry
	// meanLatency is the moving average of the latency; 0 before the first
	// response.
	meanLatency time.Duration
	// latencyModel models the latency of the upstreams by their load.
	latencyModel latencyModel
	// meanOthersLoad is the mean load of an upstream caused by other VMs'
	// calls.
	meanOthersLoad float64
	// meanSlowness is the mean of the reported slowness; 0 before the first
	// report.
	meanSlowness float64
	// reportedAt and slownessAt are when any upstream last reported its load and its
	// slowness.
	reportedAt, slownessAt time.Duration
	// answersWithoutReport is the number of answers since the last load report.
	answersWithoutReport int
	// meanResponseBytes is the mean length of a response body.
	meanResponseBytes float64
	// rateShare is this VM's share of the rates that upstreams name. rated holds the
	// upstreams that have named one.
	rateShare float64
	rated     map[*entry]struct{}
	// nextUnheardCheck is when suspectUnheard runs next.
	nextUnheardCheck time.Duration
	examined         uint64
}

// New returns a Balancer without upstreams.
func New(options Options, random *rand.Rand) *Balancer {
	return &Balancer{
		options: options.withDefaults(), random: random, byName: make(map[string]*entry),
		rateShare: defaultRateShare, rated: make(map[*entry]struct{}),
	}
}

// since returns the time since the balancer's first use. It never falls, so that nothing the
// balancer knows has an age below zero, also if a clock was read before that of the call before.
func (b *Balancer) since(now time.Time) time.Duration {
	if b.start.IsZero() {
		b.start = now
	}
	b.latest = max(b.latest, now.Sub(b.start))
	return b.latest
}

// SetUpstreams replaces the upstreams and keeps the state of those that remain.
// The upstreams of the first call count as warm; later ones start with a
// warm-up, and so does a server that has restarted.
func (b *Balancer) SetUpstreams(now time.Time, upstreams []Upstream) {
	at := b.since(now)
	known := b.byName
	b.byName = make(map[string]*entry, len(upstreams))
	b.ranked = b.ranked[:0]
	for _, upstream := range upstreams {
		e, ok := known[upstream.Name]
		if !ok || !e.upstream.isSameProcess(upstream) {
			e = newEntry(b, at, len(known) == 0)
		}
		if ok && known[upstream.Name] != e {
			e.rateStatedAt = at
		}
		b.updateEntry(e, upstream)
		e.coldUntil = at + upstream.WarmupLeft
		b.byName[upstream.Name] = e
		b.ranked = append(b.ranked, e)
	}
	b.configureModel()
	b.forgetRatesOfGone()
	b.rank()
	b.selectSubset()
}

// configureModel sets the number of slots of the latency model: the median of the upstreams, so
// that a single wrong entry has no part in it.
func (b *Balancer) configureModel() {
	if len(b.ranked) == 0 {
		return
	}
	slots := make([]float64, 0, len(b.ranked))
	for _, e := range b.ranked {
		slots = append(slots, e.slots)
	}
	slices.Sort(slots)
	b.latencyModel.configure(slots[(len(slots)-1)/2])
}

// Process returns the name of the process that the server runs as: it changes with a restart,
// if the server tells its start.
func (u Upstream) Process() string {
	if u.Started.IsZero() {
		return u.Name
	}
	return u.Name + "@" + strconv.FormatInt(u.Started.UnixMilli(), 10)
}

// isSameProcess reports whether u and other are the same server without a
// restart in between.
func (u Upstream) isSameProcess(other Upstream) bool {
	return u.Address == other.Address && u.Started.Equal(other.Started)
}

// updateEntry updates an entry from the description of its upstream.
func (b *Balancer) updateEntry(e *entry, upstream Upstream) {
	e.upstream = upstream
	e.slots = float64(max(upstream.Slots, 1))
	e.inverseSlots = 1 / e.slots
	e.zoneCost = 0
	if upstream.Zone != b.options.Zone {
		e.zoneCost = b.options.RemoteZoneCost
	}
}

// Pick chooses the upstream of lowest cost. It returns false when none may get
// the call.
func (b *Balancer) Pick(now time.Time, request Request) (Choice, bool) {
	at := b.since(now)
	if at >= b.nextUnheardCheck {
		b.suspectUnheard(at)
	}
	best := b.lowestCost(at, request, false)
	if best == nil {
		best = b.lowestCost(at, request, true)
	}
	if best == nil {
		return Choice{}, false
	}
	return best.choice(request), true
}

func (e *entry) choice(request Request) Choice {
	return Choice{Name: e.upstream.Name, Address: e.upstream.Address, Bulk: request.Bulk, kind: kindOf(request)}
}

// lowestCost returns the upstream of lowest cost, or nil. Without allowSuspects a
// suspect is returned only when its trial is due, and then whatever its cost.
// With allowSuspects suspects are compared by cost too, and each failure in a row
// adds the cost of one call's service time.
func (b *Balancer) lowestCost(at time.Duration, request Request, allowSuspects bool) *entry {
	var best *entry
	var bestCost float64
	for _, e := range b.subset {
		b.examined++
		if len(request.Exclude) > 0 && slices.Contains(request.Exclude, e.upstream.Name) || !e.isPermitted(at) {
			continue
		}
		if e.phase == phaseWarming {
			e.finishWarmUp(at)
		}
		if e.phase == phaseSuspect && !allowSuspects {
			if !request.NoTrial && e.isTrialDue(at) {
				return e
			}
			continue
		}
		cost := b.cost(e, at)
		if allowSuspects {
			cost += float64(e.failures)
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// Examined returns the number of upstreams that Pick and Candidates have
// evaluated so far.
func (b *Balancer) Examined() uint64 {
	return b.examined
}
