package measure

import (
	"time"

	"golang.org/x/time/rate"
)

// Constants of an AskBudget.
const (
	// sharedPart is the part of the upstreams' limit that the VMs share which
	// place their calls themselves, and inChargePart that of the VM which places
	// those of all. What is left keeps VMs whose views differ below the limit.
	sharedPart   = 0.2
	inChargePart = 0.3
	// askBurst is the time for which questions that were not asked are saved up.
	askBurst = 500 * time.Millisecond
	// expectedVMs is the number of VMs that share the limit while fewer are
	// known.
	expectedVMs = 12
)

// AskBudget limits the questions that one VM asks the upstreams of a service
// right before its sends. All VMs together keep to a limit for each upstream,
// however many calls arrive: in a rush each call may ask less. It is not safe
// for concurrent use.
type AskBudget struct {
	perUpstream float64
	upstreams   int
	vms         int
	isInCharge  bool
	limiter     *rate.Limiter
}

// NewAskBudget returns a budget of perUpstream questions a second at each
// upstream by all VMs together; 0 sets no limit.
func NewAskBudget(perUpstream float64) *AskBudget {
	return &AskBudget{perUpstream: perUpstream, limiter: rate.NewLimiter(0, 0)}
}

// SetUpstreams sets the number of the service's upstreams.
func (b *AskBudget) SetUpstreams(now time.Time, upstreams int) {
	b.upstreams = upstreams
	b.update(now)
}

// SetVMs sets the number of VMs that share the limit.
func (b *AskBudget) SetVMs(now time.Time, vms int) {
	b.vms = vms
	b.update(now)
}

// SetInCharge sets whether this VM places the calls of all VMs.
func (b *AskBudget) SetInCharge(now time.Time, isInCharge bool) {
	if b.isInCharge != isInCharge {
		b.isInCharge = isInCharge
		b.update(now)
	}
}

func (b *AskBudget) update(now time.Time) {
	part := sharedPart / float64(max(b.vms, expectedVMs))
	if b.isInCharge {
		part = inChargePart
	}
	perSecond := part * b.perUpstream * float64(b.upstreams)
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, max(int(perSecond*askBurst.Seconds()), 1))
}

// Take returns how many of the wanted questions may be asked now.
func (b *AskBudget) Take(now time.Time, wanted int) int {
	if b.perUpstream == 0 {
		return wanted
	}
	granted := min(wanted, int(b.limiter.TokensAt(now)))
	if granted <= 0 || !b.limiter.AllowN(now, granted) {
		return 0
	}
	return granted
}
