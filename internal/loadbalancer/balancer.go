package loadbalancer

import (
	"math/rand/v2"
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
}

// Options are the settings of a Balancer.
type Options struct {
	// Zone is the VM's availability zone.
	Zone string
	// RemoteZoneCost is added to the expected wait of an upstream in another
	// zone, in units of one call's service time.
	RemoteZoneCost float64
}

// Request tells what a call needs.
type Request struct {
	// Exclude names upstreams that the call was already sent to.
	Exclude []string
}

// Choice is the upstream that a call is sent to.
type Choice struct {
	Name    string
	Address string
}

// Result is how a send ended.
type Result struct {
	Latency time.Duration
	// Failed means an error, a refused connection or a server error.
	Failed bool
	// Shed means that the upstream refused the call.
	Shed bool
	// Draining means that the upstream said that it leaves.
	Draining bool
	// Report is the upstream's load report; HasReport tells whether it came.
	Report    callheader.Report
	HasReport bool
}

// Balancer chooses among the upstreams of one service. It is not safe for
// concurrent use.
type Balancer struct {
	options Options
	random  *rand.Rand
	entries []*entry
	byName  map[string]*entry
}

// entry is what the VM knows of one upstream.
type entry struct {
	upstream Upstream
	inFlight int
	reported callheader.Report
	draining bool
	failures int
}

// New returns a Balancer without upstreams.
func New(options Options, random *rand.Rand) *Balancer {
	return &Balancer{options: options, random: random, byName: make(map[string]*entry)}
}

// SetUpstreams replaces the upstreams and keeps what is known of those that
// stay.
func (b *Balancer) SetUpstreams(_ time.Time, upstreams []Upstream) {
	known := b.byName
	b.byName = make(map[string]*entry, len(upstreams))
	b.entries = b.entries[:0]
	for _, upstream := range upstreams {
		e, ok := known[upstream.Name]
		if !ok || e.upstream.Address != upstream.Address {
			e = &entry{}
		}
		e.upstream = upstream
		b.byName[upstream.Name] = e
		b.entries = append(b.entries, e)
	}
}

// Pick chooses an upstream. It returns false when there is none.
func (b *Balancer) Pick(_ time.Time, request Request) (Choice, bool) {
	var best *entry
	var bestCost float64
	for _, e := range b.entries {
		if e.draining || isExcluded(e.upstream.Name, request.Exclude) {
			continue
		}
		cost := b.cost(e)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Name: best.upstream.Name, Address: best.upstream.Address}, true
}

func isExcluded(name string, exclude []string) bool {
	for _, excluded := range exclude {
		if excluded == name {
			return true
		}
	}
	return false
}

func (b *Balancer) cost(e *entry) float64 {
	load := float64(e.inFlight+e.failures) + float64(e.reported.Running+e.reported.Queued)
	cost := load / float64(max(e.upstream.Slots, 1))
	if e.upstream.Zone != b.options.Zone {
		cost += b.options.RemoteZoneCost
	}
	return cost + b.random.Float64()*0.01
}

// Sent records that a call goes to the chosen upstream.
func (b *Balancer) Sent(_ time.Time, choice Choice) {
	if e, ok := b.byName[choice.Name]; ok {
		e.inFlight++
	}
}

// Done records how a send ended. Each Sent has one Done.
func (b *Balancer) Done(_ time.Time, choice Choice, result Result) {
	e, ok := b.byName[choice.Name]
	if !ok {
		return
	}
	e.inFlight = max(e.inFlight-1, 0)
	if result.HasReport {
		e.reported = result.Report
	}
	e.draining = result.Draining
	if result.Failed || result.Shed {
		e.failures++
		return
	}
	e.failures = 0
}

// Cancelled records that a send was given up before it ended, because the
// caller left or a hedge won. It says nothing against the upstream.
func (b *Balancer) Cancelled(_ time.Time, choice Choice) {
	if e, ok := b.byName[choice.Name]; ok {
		e.inFlight = max(e.inFlight-1, 0)
	}
}
