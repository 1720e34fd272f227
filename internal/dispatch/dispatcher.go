package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/figfront/figfront/internal/limit"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/measure"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/retry"
	"github.com/figfront/figfront/internal/telemetry"
)

// Slow start of an upstream that recovers from failures. A new upstream reports
// its own warm-up time instead.
const (
	recoveryWarmUp   = 1500 * time.Millisecond
	minRecoveryShare = 0.5
)

// maxWaitShare is the largest part of the time to the objective that a call
// waits for a free upstream. It leaves a refused caller time to try again.
const maxWaitShare = 0.3

// maxRecheckInterval is the longest time between two attempts to place a
// waiting call.
const maxRecheckInterval = 8 * time.Millisecond

// leftIdleTime is the idle time after which an upstream is left to less urgent calls: each
// waiting call has then had several attempts to get it.
const leftIdleTime = 50 * time.Millisecond

// Dispatcher places the calls of one service with the state that this VM holds.
// It is safe for concurrent use.
type Dispatcher struct {
	options Options

	mu       sync.Mutex
	balancer *loadbalancer.Balancer
	// localRetryBudget limits the extra sends that this VM places for itself, and
	// coordinatorRetryBudget those that it places as the coordinator.
	localRetryBudget       *retry.Budget
	coordinatorRetryBudget *retry.WindowBudget
	backlog                limit.Backlog
	probeBudget            *measure.ProbeBudget
	// upstreams lists the upstreams of the service. lastProbed is the index of
	// the last one whose turn for a periodic probe came.
	upstreams  []loadbalancer.Upstream
	lastProbed int
	// awaitingProbe holds the names of the upstreams that have not answered
	// their last periodic probe.
	awaitingProbe map[string]struct{}
	// waiters holds the calls that wait for a free upstream, oldest first.
	waiters []*waiter
	// inFlight is the number of sends in flight.
	inFlight int
	// lastRemoteCall is when the last call of another VM arrived.
	lastRemoteCall time.Time
	closed         closedWatch
	rates          *rateLog
	// rateShare computes this VM's share of the upstreams' rates; the balancer uses
	// appliedRateShare.
	rateShare        rateShare
	appliedRateShare float64
	// suspects remembers the requests under which upstreams have ended; processes holds the
	// names of the upstreams' processes by the names of the upstreams.
	suspects  *quarantine.Table
	processes map[string]string
}

// NewDispatcher returns a Dispatcher without upstreams.
func NewDispatcher(options Options) *Dispatcher {
	if options.HasLostLinks == nil {
		options.HasLostLinks = func() bool { return false }
	}
	if options.IsResting == nil {
		options.IsResting = func(string) bool { return false }
	}
	if options.Log == nil {
		options.Log = hclog.NewNullLogger()
	}
	if options.OnSuspectChange == nil {
		options.OnSuspectChange = func() {}
	}
	suspects := SuspectLog{Service: options.Service, Log: options.Log, Counters: options.Counters, OnChange: options.OnSuspectChange}
	return &Dispatcher{
		options:  options,
		suspects: quarantine.NewTable(suspects.Observe),
		balancer: loadbalancer.New(loadbalancer.Options{
			VM: options.VM, Zone: options.Zone, WarmUp: recoveryWarmUp, MinWarmUpShare: minRecoveryShare,
		}, options.Random),
		localRetryBudget:       retry.NewBudget(options.RetryLimits.Share),
		coordinatorRetryBudget: retry.NewWindowBudget(options.RetryLimits),
		probeBudget:            measure.NewProbeBudget(options.ProbesPerUpstream),
		awaitingProbe:          make(map[string]struct{}),
		rates:                  newRateLog(options),
		rateShare:              rateShare{self: options.VM, lastCalls: make(map[string]time.Time)},
	}
}

// SetUpstreams replaces the upstreams and keeps the state of those that remain.
func (d *Dispatcher) SetUpstreams(upstreams []loadbalancer.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.upstreams = upstreams
	d.setProcessesLocked(now, upstreams)
	d.balancer.SetUpstreams(now, upstreams)
	d.probeBudget.SetUpstreams(now, len(upstreams))
	d.rates.retain(upstreams)
	d.wakeOneLocked()
}

// SetLiveVMs sets the number of VMs that share the probe budget and the rates that
// upstreams accept.
func (d *Dispatcher) SetLiveVMs(vms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probeBudget.SetLiveVMs(time.Now(), vms)
	d.rateShare.liveVMs = vms
}

// Place returns the upstream for a send. While no upstream is expected to
// respond within the objective, the call waits for one. When it may not wait any
// longer, or the backlog is full, Place accepts an upstream that is expected to
// respond after the objective but before the deadline, and otherwise refuses the
// call. A call that all upstreams' rate limits withhold for longer is refused at once, and so
// is a held request. A call is refused at once when its objective is lost and no upstream is
// expected to respond before its deadline. An extra send never waits. The error
// is a Refusal.
func (d *Dispatcher) Place(ctx context.Context, r Request) (Grant, error) {
	arrived := time.Now()
	if !d.hasUpstreams() {
		return Grant{}, d.refusal(r, outcome.NoUpstream, arrived)
	}
	if reason := d.admitSuspect(r); reason != "" {
		return Grant{}, d.refusal(r, reason, arrived)
	}
	maxWait := time.Duration(maxWaitShare * float64(r.Objective.Sub(arrived)))
	wait := &waiter{dispatcher: d, priority: r.Priority}
	defer wait.leave()
	for {
		d.probeUpstreams(r, wait)
		grant, verdict, reason := d.place(r, wait)
		switch {
		case reason != "":
			return Grant{}, d.refusal(r, reason, arrived)
		case verdict == loadbalancer.Send:
			grant.Waited = time.Since(arrived)
			return grant, nil
		case wait.ignoreObjective && !r.Extra:
			return Grant{}, d.refusal(r, outcome.QueueFull, arrived)
		case verdict == loadbalancer.Refuse || r.Extra:
			return Grant{}, d.refusal(r, outcome.NoUpstream, arrived)
		case !wait.enqueue(maxWait-time.Since(arrived), d.rateSupply(r)):
			wait.ignoreObjective = !wait.isForCopies
			wait.ignoreCopies = true
			wait.leave()
			continue
		}
		if !wait.awaitWake(ctx) {
			return Grant{}, d.refusal(r, outcome.QueueDeadline, arrived)
		}
	}
}

// place starts a send if an upstream is expected to respond in time, or in time for the
// deadline once the call ignores its objective. A reason means that the call is refused.
func (d *Dispatcher) place(r Request, wait *waiter) (Grant, loadbalancer.Verdict, outcome.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.updateRateShareLocked(now)
	if r.Hedge && len(d.waiters) > 0 {
		return Grant{}, loadbalancer.Refuse, ""
	}
	suspicion := d.suspects.Admit(now, r.ID, r.sendKind(), !wait.ignoreCopies)
	if reason := suspectReason(suspicion); reason != "" {
		return Grant{}, loadbalancer.Refuse, reason
	}
	wait.isForCopies = suspicion == quarantine.Wait
	if wait.isForCopies {
		return Grant{}, loadbalancer.Wait, ""
	}
	choice, verdict := d.balancer.Place(now, r.balancerRequest(), d.timeLeftLocked(r, now, wait))
	isLeftIdle := d.balancer.IdleTime(now, choice) >= leftIdleTime
	if verdict == loadbalancer.Send && d.isMoreUrgentWaitingLocked(r.Priority) && !isLeftIdle {
		verdict = loadbalancer.Wait
	}
	if verdict != loadbalancer.Send {
		return Grant{}, verdict, ""
	}
	if !d.recordSendLocked(now, r) {
		return Grant{}, verdict, outcome.RetryBudget
	}
	d.backlog.Sent(now)
	d.closed.sent()
	d.balancer.Sent(now, choice)
	if d.balancer.NamedRate(choice.Name).IsNamed {
		d.options.Counters.Add(telemetry.GroupDispatch, counterSentLimited, 1)
	}
	d.inFlight++
	sent := d.suspects.Sent(now, r.ID, d.processes[choice.Name])
	return Grant{
		Upstream: choice.Name, Basis: choice.Basis, PlacedBy: d.options.VM,
		end: func(end End) { d.recordEnd(choice, sent, end) },
	}, verdict, ""
}

// recordSendLocked records a send in the retry budgets. It returns false when an
// extra send is not covered.
func (d *Dispatcher) recordSendLocked(now time.Time, r Request) bool {
	switch {
	case !r.Extra:
		d.localRetryBudget.FirstSend(now)
		d.coordinatorRetryBudget.FirstSend(now)
		return true
	case !d.isCoordinatorLocked(now):
		return d.localRetryBudget.Take(now)
	case r.Hedge:
		return d.coordinatorRetryBudget.TakeHedge(now)
	default:
		return d.coordinatorRetryBudget.Take(now)
	}
}

// recordEnd records how a send ended and wakes a waiting call.
func (d *Dispatcher) recordEnd(choice loadbalancer.Choice, sent *quarantine.Send, end End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.inFlight--
	d.suspects.Done(now, sent, end.Run)
	switch {
	case end.IsUnattributed:
		d.balancer.Abandoned(now, choice, end.Latency)
	case end.IsCancelled:
		d.balancer.Cancelled(now, choice, end.Latency)
	default:
		d.balancer.Done(now, choice, end.Result)
		isAnswered := !end.Failed && !end.Shed
		d.localRetryBudget.RecordResult(isAnswered)
		d.coordinatorRetryBudget.RecordResult(isAnswered)
	}
	d.wakeOneLocked()
}

// balancerRequest returns the request in the form that the balancer takes.
func (r Request) balancerRequest() loadbalancer.Request {
	return loadbalancer.Request{Zone: r.Zone, Exclude: r.Tried, NoTrial: r.NoTrial, Bulk: r.Bulk, Bytes: r.Bytes, AnyZone: true}
}

// timeLeftLocked returns how much time the call has. If it ignores its objective,
// the objective counts as missed.
func (d *Dispatcher) timeLeftLocked(r Request, now time.Time, wait *waiter) loadbalancer.TimeLeft {
	left := loadbalancer.TimeLeft{
		Objective: r.Objective.Sub(now), Deadline: r.Deadline.Sub(now), Waiting: d.othersWaitingLocked(wait),
	}
	if wait.ignoreObjective {
		left.Objective = -1
	}
	return left
}

// hasUpstreams reports whether the service has any upstream.
func (d *Dispatcher) hasUpstreams() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.upstreams) > 0
}

// HasLostLinks reports whether this VM has lost its links to the upstreams.
func (d *Dispatcher) HasLostLinks() bool {
	return d.options.HasLostLinks()
}

// RecordRemoteCall records that a call of another VM arrived. While such calls
// arrive, this VM acts as the coordinator of the service.
func (d *Dispatcher) RecordRemoteCall(now time.Time, vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRemoteCall = now
	d.rateShare.recordCall(now, vm)
}
