package dispatch

// busyShare is the share of occupied slots from which on a service counts as
// busy.
const busyShare = 0.25

// isBusyLocked reports whether the service is busy.
func (d *Dispatcher) isBusyLocked() bool {
	slots := 0
	for _, u := range d.upstreams {
		slots += u.Slots
	}
	return float64(d.inFlight) >= busyShare*float64(slots)
}
