package drain

import "time"

// Times are the durations of a planned stop.
type Times struct {
	// Lag is the time that the platform's balancer needs to notice that the process is not
	// ready.
	Lag time.Duration
	// Drain limits the time for finishing the calls after Lag.
	Drain time.Duration
	// Exit is the time that remains for ending the process; 0 if it is not limited.
	Exit time.Duration
}

// exitTime is reserved for ending the process after its connections have been closed.
const exitTime = 400 * time.Millisecond

// Parts of the time that the last answers take.
const (
	// quotaPause is the longest time for which a process that has used up its share of the
	// processors does not run.
	quotaPause = 100 * time.Millisecond
	// maxOpenCalls is the largest number of open calls that it is made for, and answerWork the
	// time for the answer to each.
	maxOpenCalls = 1000
	answerWork   = 150 * time.Microsecond
	// deliveryTime is the time for the delivery of an answer to a caller that reads slowly.
	deliveryTime = 50 * time.Millisecond
	// answersTime is their sum.
	answersTime = quotaPause + maxOpenCalls*answerWork + deliveryTime
)

// The last answers, the exit and the lag take at most the duration of a stop divided by these. Upstreams at
// work thus have five sixths of it.
const (
	answersDivisor = 12
	exitDivisor    = 12
	lagDivisor     = 2
)

// TimesWithin returns the times of a stop that is over after total. A lag that would leave too little
// for the calls is shortened.
func TimesWithin(total, lag time.Duration) Times {
	exit := min(exitTime, total/exitDivisor)
	lag = min(lag, total/lagDivisor)
	return Times{Lag: lag, Drain: total - lag - exit, Exit: exit}
}

// total returns the duration of the whole stop.
func (t Times) total() time.Duration {
	return t.Lag + t.Drain + t.Exit
}

// Window is the time of a planned stop.
type Window struct {
	// Start is when the process was asked to stop, and Half the middle of the time that it
	// has.
	Start, Half time.Time
	// End is when the calls that are still open are ended, each with a whole answer.
	End time.Time
	// Cut is when the connections that are still open are cut off.
	Cut time.Time
}

// NewWindow returns the window of a stop that starts at a time.
func NewWindow(start time.Time, t Times) Window {
	cut := start.Add(t.Lag + t.Drain)
	return Window{
		Start: start,
		Half:  start.Add(t.total() / 2),
		End:   cut.Add(-min(answersTime, t.total()/answersDivisor)),
		Cut:   cut,
	}
}

// Call describes a call.
type Call struct {
	// Arrived is when its request header had arrived as a whole, Deadline when its caller
	// stops waiting.
	Arrived, Deadline time.Time
	// Objective is the time within which it is expected to be answered; 0 if none is known.
	Objective time.Duration
}

// MaySend reports whether a call may be sent to an upstream at a time. One whose deadline is before
// the end may always be sent. One that arrived in the first half of the window may be, while the
// time that it is expected to take is left: most calls end long before their deadline, and callers
// are told late that the VM stops.
func (w Window) MaySend(now time.Time, c Call) bool {
	if !c.Deadline.After(w.End) {
		return true
	}
	return !c.Arrived.After(w.Half) && !now.Add(c.Objective).After(w.End)
}
