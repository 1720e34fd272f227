package measure

import (
	"time"

	"golang.org/x/time/rate"
)

// Constants of a ProbeBudget.
const (
	// localShare is the part of the rate limit that all VMs with local
	// placement share. coordinatorShare is the part of the VM that places the
	// calls of all VMs. The rest keeps the total below the limit while the VMs
	// disagree about the coordinator.
	localShare       = 0.2
	coordinatorShare = 0.3
	// burstTime is the time for which unused probes accumulate.
	burstTime = 500 * time.Millisecond
	// minVMs is the number of VMs that the limit is divided by while fewer are
	// known.
	minVMs = 12
)

// ProbeBudget limits the probes that one VM sends to the upstreams of a service
// right before its sends. All VMs together keep to a rate limit for each
// upstream, however many calls arrive; under overload there are fewer probes
// for each call. It is not safe for concurrent use.
type ProbeBudget struct {
	perUpstream   float64
	upstreams     int
	vms           int
	isCoordinator bool
	limiter       *rate.Limiter
}

// NewProbeBudget returns the budget of one VM when all VMs together may send
// perUpstream probes a second to each upstream; 0 means no limit. Before
// SetUpstreams a budget with a limit allows no probes.
func NewProbeBudget(perUpstream float64) *ProbeBudget {
	return &ProbeBudget{perUpstream: perUpstream, limiter: rate.NewLimiter(0, 0)}
}

// SetUpstreams sets the number of upstreams of the service.
func (b *ProbeBudget) SetUpstreams(now time.Time, upstreams int) {
	b.upstreams = upstreams
	b.update(now)
}

// SetLiveVMs sets the number of VMs that share the limit.
func (b *ProbeBudget) SetLiveVMs(now time.Time, vms int) {
	b.vms = vms
	b.update(now)
}

// SetCoordinator sets whether this VM places the calls of all VMs.
func (b *ProbeBudget) SetCoordinator(now time.Time, isCoordinator bool) {
	if b.isCoordinator != isCoordinator {
		b.isCoordinator = isCoordinator
		b.update(now)
	}
}

func (b *ProbeBudget) update(now time.Time) {
	share := localShare / float64(max(b.vms, minVMs))
	if b.isCoordinator {
		share = coordinatorShare
	}
	perSecond := share * b.perUpstream * float64(b.upstreams)
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, max(int(perSecond*burstTime.Seconds()), 1))
}

// Take returns how many of the wanted probes may be sent now, and takes them
// from the budget.
func (b *ProbeBudget) Take(now time.Time, wanted int) int {
	if b.perUpstream == 0 {
		return wanted
	}
	granted := min(wanted, int(b.limiter.TokensAt(now)))
	if granted <= 0 || !b.limiter.AllowN(now, granted) {
		return 0
	}
	return granted
}
