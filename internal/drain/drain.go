package drain

import "time"

// answerMargin is the time that the last answers take to reach their callers before the
// connections are cut off.
const answerMargin = 100 * time.Millisecond

// Window is the time of a planned stop.
type Window struct {
	// Start is when the process was asked to stop, and Half the middle of the time that it
	// has.
	Start, Half time.Time
	// Cut is when the connections that are still open are cut off.
	Cut time.Time
}

// NewWindow returns the window of a stop that starts at a time. Connections are cut off after
// open, and the process ends within exit after that.
func NewWindow(start time.Time, open, exit time.Duration) Window {
	return Window{Start: start, Half: start.Add((open + exit) / 2), Cut: start.Add(open)}
}

// Call describes a call.
type Call struct {
	// Arrived is when its request header had arrived as a whole, Deadline when its caller
	// stops waiting.
	Arrived, Deadline time.Time
	// Objective is the time within which it is expected to be answered; 0 if none is known.
	Objective time.Duration
}

// MaySend reports whether a call may be sent to an upstream at a time. One that ends before the
// cut whatever its upstream does may always be sent. One that arrived in the first half of the
// window may be, while the time that it is expected to take is left: most calls end long
// before their deadline, and callers are told late that the VM stops.
func (w Window) MaySend(now time.Time, c Call) bool {
	last := w.Cut.Add(-answerMargin)
	if !c.Deadline.After(last) {
		return true
	}
	return !c.Arrived.After(w.Half) && !now.Add(c.Objective).After(last)
}
