package dispatch

import (
	"github.com/figfront/figfront/internal/loadbalancer"
)

// slowedFrom is the slowness from which on the senders of calls under way at an
// upstream are told.
const slowedFrom = 2.5

// liveSend is a send that is under way.
type liveSend struct {
	choice loadbalancer.Choice
	// slowed is closed when the upstream turns slow.
	slowed   chan struct{}
	isSlowed bool
}

// beginLocked records a send that is under way.
func (d *Dispatcher) beginLocked(choice loadbalancer.Choice) *liveSend {
	live := &liveSend{choice: choice, slowed: make(chan struct{})}
	if d.live[choice.Name] == nil {
		d.live[choice.Name] = make(map[*liveSend]struct{})
	}
	d.live[choice.Name][live] = struct{}{}
	return live
}

// tellSlowedLocked tells the senders of the calls at an upstream when it says
// that it has turned slow. A send that went to a slow upstream knew that.
func (d *Dispatcher) tellSlowedLocked(upstream string, slowness float64) {
	if slowness < slowedFrom {
		return
	}
	for live := range d.live[upstream] {
		if live.isSlowed || live.choice.Basis.Slowness >= slowedFrom {
			continue
		}
		live.isSlowed = true
		close(live.slowed)
	}
}

// busyShare is the share of the slots that are taken from which on a service
// counts as busy.
const busyShare = 0.25

// isBusyLocked tells whether many of the upstreams' slots are taken.
func (d *Dispatcher) isBusyLocked() bool {
	slots, taken := 0, 0
	for _, u := range d.upstreams {
		slots += u.Slots
		taken += len(d.live[u.Name])
	}
	return float64(taken) >= busyShare*float64(slots)
}
