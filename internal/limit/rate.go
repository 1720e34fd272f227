package limit

import (
	"math"
	"time"
)

// Parameters of a Rate.
const (
	// minRate is the rate of trial sends to an upstream that names a lower rate, or 0,
	// from all VMs together. Only a response can tell that the limit has ended.
	minRate = 0.1
	// maxRate is a rate that limits nothing in practice. The time between two permits stays above
	// zero with it.
	maxRate = 1e6
	// minPermitLife is the shortest time for which an unused permit stays valid. It allows
	// short bursts at high rates.
	minPermitLife = 100 * time.Millisecond
	// maxPermitLife is the longest time for which an unused permit of a VM with a small
	// share stays valid.
	maxPermitLife = 2 * time.Second
	// loneShare is the part of its share that a VM uses that places calls for itself alone:
	// the permits of many such VMs may come close together.
	loneShare = 0.5
)

// RateShare returns the share of a rate for a VM that places the calls of a number of VMs,
// itself included, out of all live ones. It is above 0 and at most 1.
func RateShare(served, live int) float64 {
	share := float64(served) / float64(max(live, served))
	if served == 1 && live > 1 {
		share *= loneShare
	}
	return share
}

// Rate limits the sends to one upstream to this VM's share of a rate that the upstream
// names for all VMs together. Permits come at regular times, and an unused one is lost
// soon if the share is small, so that VMs that know nothing of each other keep to the rate
// together also when all of them begin to send at the same moment. The zero Rate limits nothing. Times are measured from any fixed moment. It is
// not safe for concurrent use.
type Rate struct {
	isLimited bool
	// perSecond is the rate for all VMs, at least minRate. share is this VM's part.
	perSecond, share float64
	// nextPermit is when the first unused permit becomes valid.
	nextPermit time.Duration
}

// Limit sets the rate for all VMs together, in sends per second, and this VM's share of it.
// phase, from 0 to 1, is when the first permit comes, as a part of the time between two
// permits; it must differ between the VMs. It has an effect only if there was no limit.
func (r *Rate) Limit(at time.Duration, perSecond, share, phase float64) {
	perSecond = min(max(perSecond, minRate), maxRate)
	if !r.isLimited {
		r.isLimited = true
		r.perSecond, r.share = perSecond, share
		r.nextPermit = at + time.Duration(phase*float64(r.interval()))
		return
	}
	r.dropUnused(at)
	before := r.interval()
	r.perSecond, r.share = perSecond, share
	left := float64(r.nextPermit-at) * float64(r.interval()) / float64(before)
	r.nextPermit = at + time.Duration(left)
}

// Lift removes the limit.
func (r *Rate) Lift() {
	*r = Rate{}
}

// IsLimited reports whether there is a limit.
func (r *Rate) IsLimited() bool {
	return r.isLimited
}

// PerSecond returns the sends per second that this VM may start; +Inf means that there is
// no limit.
func (r *Rate) PerSecond() float64 {
	if !r.isLimited {
		return math.Inf(1)
	}
	return r.perSecond * r.share
}

// Wait returns the time until a send is permitted; 0 means that one is permitted now.
func (r *Rate) Wait(at time.Duration) time.Duration {
	if !r.isLimited {
		return 0
	}
	r.dropUnused(at)
	return max(r.nextPermit-at, 0)
}

// Take uses a permit for a send.
func (r *Rate) Take(at time.Duration) {
	if !r.isLimited {
		return
	}
	r.dropUnused(at)
	r.nextPermit += r.interval()
}

// interval returns the time between two permits of this VM.
func (r *Rate) interval() time.Duration {
	return time.Duration(float64(time.Second) / (r.perSecond * r.share))
}

// dropUnused drops the permits that have become invalid unused.
func (r *Rate) dropUnused(at time.Duration) {
	interval := r.interval()
	life := interval
	if r.share <= loneShare {
		life = min(time.Duration(float64(time.Second)/r.perSecond), maxPermitLife)
	}
	if unused := at - max(life, minPermitLife) - r.nextPermit; unused > 0 {
		dropped := (unused + interval - 1) / interval
		r.nextPermit += dropped * interval
	}
}
