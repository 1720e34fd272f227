package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/limit"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/measure"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
)

// AskFunc asks the upstream at an address for its health and load. It returns
// false when no answer came.
type AskFunc func(ctx context.Context, address string) (loadbalancer.ProbeResult, bool)

// Options are what a Dispatcher is built from.
type Options struct {
	VM   string
	Zone string
	Ask  AskFunc
	// AsksPerSecond limits the questions that an upstream gets from all VMs in a
	// second; 0 sets no limit.
	AsksPerSecond float64
	// RetryShare is the share of extra sends among the calls.
	RetryShare float64
	Counters   *telemetry.Counters
	Random     *rand.Rand
}

// Slow start of an upstream after failures. One that is new says itself how long
// it is slow.
const (
	recoveryTime  = 1500 * time.Millisecond
	recoveryShare = 0.5
)

// maxWaitShare is the largest part of the time to its objective that a call waits
// for a free upstream. A caller that is refused then has time to come back.
const maxWaitShare = 0.3

// placeInterval is the longest time between two looks for a free upstream.
const placeInterval = 8 * time.Millisecond

// Dispatcher places the calls of one service by what this VM knows. It is safe
// for concurrent use.
type Dispatcher struct {
	options Options

	mu       sync.Mutex
	balancer *loadbalancer.Balancer
	budget   *retry.Budget
	backlog  limit.Backlog
	asks     *measure.AskBudget
	// upstreams are those in use, and next is the one that is polled next.
	upstreams []loadbalancer.Upstream
	next      int
	// polled holds the upstreams whose answer to a poll is awaited.
	polled map[string]struct{}
	// waiters are the calls that wait for a free upstream, oldest first.
	waiters []*waiter
	// live holds the sends under way by upstream.
	live map[string]map[*liveSend]struct{}
	// remoteAt is when a call of another VM came last.
	remoteAt time.Time
}

// NewDispatcher returns a Dispatcher without upstreams.
func NewDispatcher(options Options) *Dispatcher {
	return &Dispatcher{
		options: options,
		balancer: loadbalancer.New(loadbalancer.Options{
			VM: options.VM, Zone: options.Zone, WarmUp: recoveryTime, MinWarmth: recoveryShare,
		}, options.Random),
		budget: retry.NewBudget(options.RetryShare),
		asks:   measure.NewAskBudget(options.AsksPerSecond),
		live:   make(map[string]map[*liveSend]struct{}),
		polled: make(map[string]struct{}),
	}
}

// SetUpstreams replaces the upstreams and keeps what is known of those that
// stay.
func (d *Dispatcher) SetUpstreams(upstreams []loadbalancer.Upstream) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams = upstreams
	d.balancer.SetUpstreams(now, upstreams)
	d.asks.SetUpstreams(now, len(upstreams))
	d.wakeLocked()
}

// SetVMs sets the number of VMs that share the budgets.
func (d *Dispatcher) SetVMs(vms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asks.SetVMs(time.Now(), vms)
}

// Place returns the upstream that a send goes to. When none is expected to
// answer within the objective it lets the call wait for one, or refuses it at
// once when the wait would be in vain.
func (d *Dispatcher) Place(ctx context.Context, r Request) (Grant, error) {
	arrived := time.Now()
	if !d.hasUpstreams() {
		return Grant{}, d.refusal(r, outcome.NoUpstream, arrived)
	}
	patience := time.Duration(maxWaitShare * float64(r.Objective.Sub(arrived)))
	wait := &waiter{dispatcher: d, priority: r.Priority}
	defer wait.end()
	isLate := false
	for {
		d.askUpstreams(r, isLate)
		grant, verdict, err := d.place(r, isLate)
		switch {
		case err != nil:
			return Grant{}, d.refusal(r, outcome.RetryBudget, arrived)
		case verdict == loadbalancer.Send:
			grant.Waited = time.Since(arrived)
			return grant, nil
		case isLate && !r.Extra:
			return Grant{}, d.refusal(r, outcome.QueueFull, arrived)
		case verdict == loadbalancer.Refuse || r.Extra:
			return Grant{}, d.refusal(r, outcome.NoUpstream, arrived)
		case !wait.begin(patience - time.Since(arrived)):
			isLate = true
			continue
		}
		if !wait.next(ctx) {
			return Grant{}, d.refusal(r, outcome.QueueDeadline, arrived)
		}
	}
}

// place starts a send if an upstream is expected to answer in time. isLate gives
// up the objective.
func (d *Dispatcher) place(r Request, isLate bool) (Grant, loadbalancer.Verdict, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Hedge && len(d.waiters) > 0 {
		return Grant{}, loadbalancer.Refuse, nil
	}
	choice, verdict := d.balancer.Place(now, r.pick(), r.left(now, isLate))
	if verdict == loadbalancer.Send && d.isAheadWaitingLocked(r.Priority) {
		verdict = loadbalancer.Wait
	}
	if verdict != loadbalancer.Send {
		return Grant{}, verdict, nil
	}
	if r.Extra && !d.budget.Take(now) {
		return Grant{}, verdict, errBudgetSpent
	}
	if !r.Extra {
		d.budget.FirstSend(now)
	}
	d.backlog.Sent(now)
	d.balancer.Sent(now, choice)
	live := d.beginLocked(choice)
	return Grant{
		Upstream: choice.Name, Basis: choice.Basis, PlacedBy: d.options.VM, Slowed: live.slowed,
		end: func(end End) { d.end(live, end) },
	}, verdict, nil
}

// errBudgetSpent means that the budget does not pay for an extra send.
var errBudgetSpent = errors.New("dispatch: retry budget spent")

// refusal returns the refusal of a call that arrived at a time.
func (d *Dispatcher) refusal(r Request, reason outcome.Reason, arrived time.Time) Refusal {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return Refusal{
		Reason:   reason,
		PlacedBy: d.options.VM,
		Basis: RefusalBasis{
			Upstreams:      len(d.upstreams),
			Free:           d.balancer.Free(now, r.pick()),
			Waiting:        len(d.waiters),
			SendsPerSecond: d.backlog.SendsPerSecond(now),
			Unit:           d.balancer.Unit(),
			Waited:         now.Sub(arrived),
		},
	}
}

// end records how a send ended.
func (d *Dispatcher) end(live *liveSend, end End) {
	now := time.Now()
	choice := live.choice
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.live[choice.Name], live)
	if end.IsCancelled {
		d.balancer.Cancelled(now, choice, end.Latency)
	} else {
		d.balancer.Done(now, choice, end.Result)
		d.budget.RecordResult(!end.Failed && !end.Shed)
	}
	d.wakeLocked()
}

// pick describes the send to the balancer.
func (r Request) pick() loadbalancer.Request {
	return loadbalancer.Request{Zone: r.Zone, Exclude: r.Tried, NoTrial: r.NoTrial, Bulk: r.Bulk, Bytes: r.Bytes, AnyZone: true}
}

// left returns the time that the call has. For one that gives up its objective,
// that lies in the past.
func (r Request) left(now time.Time, isLate bool) loadbalancer.TimeLeft {
	left := loadbalancer.TimeLeft{Objective: r.Objective.Sub(now), Deadline: r.Deadline.Sub(now)}
	if isLate {
		left.Objective = -1
	}
	return left
}

// hasUpstreams tells whether the service has any upstream.
func (d *Dispatcher) hasUpstreams() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.upstreams) > 0
}

// RemoteCall records that a call of another VM has come.
func (d *Dispatcher) RemoteCall(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remoteAt = now
}
