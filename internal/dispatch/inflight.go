package dispatch

import (
	"github.com/figfront/figfront/internal/loadbalancer"
)

// slowThreshold is the reported slowness from which on the senders of the calls
// in flight at an upstream are notified.
const slowThreshold = 2.5

// inFlightSend is a send that has not ended.
type inFlightSend struct {
	choice loadbalancer.Choice
	// slowed is closed when the upstream reports that it has become slow.
	slowed     chan struct{}
	isNotified bool
}

// addSendLocked records the start of a send.
func (d *Dispatcher) addSendLocked(choice loadbalancer.Choice) *inFlightSend {
	send := &inFlightSend{choice: choice, slowed: make(chan struct{})}
	if d.inFlight[choice.Name] == nil {
		d.inFlight[choice.Name] = make(map[*inFlightSend]struct{})
	}
	d.inFlight[choice.Name][send] = struct{}{}
	return send
}

// notifySlowedLocked notifies the senders of the calls at an upstream that
// reports a slowness of slowThreshold or more. It skips sends to an upstream
// that was already that slow when it was chosen.
func (d *Dispatcher) notifySlowedLocked(upstream string, slowness float64) {
	if slowness < slowThreshold {
		return
	}
	for send := range d.inFlight[upstream] {
		if send.isNotified || send.choice.Basis.Slowness >= slowThreshold {
			continue
		}
		send.isNotified = true
		close(send.slowed)
	}
}

// busyShare is the share of occupied slots from which on a service counts as
// busy.
const busyShare = 0.25

// isBusyLocked reports whether the service is busy.
func (d *Dispatcher) isBusyLocked() bool {
	slots, taken := 0, 0
	for _, u := range d.upstreams {
		slots += u.Slots
		taken += len(d.inFlight[u.Name])
	}
	return float64(taken) >= busyShare*float64(slots)
}
