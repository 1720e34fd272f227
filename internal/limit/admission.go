package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

// Errors returned by Admission.Arrive. Each means that the call did not run.
var (
	// ErrConcurrency means that the concurrency limit is reached and the class
	// has no queue, or that the class does not exist.
	ErrConcurrency = errors.New("limit: concurrency limit reached")
	// ErrQueueFull means that the queue of the class is full.
	ErrQueueFull = errors.New("limit: queue full")
	// ErrDeadline means that the call is not expected to complete before its
	// deadline.
	ErrDeadline = errors.New("limit: deadline can't be met")
)

// Class holds the limits for one kind of traffic.
type Class struct {
	Name string
	// Concurrency is the maximum number of calls that run at the same time.
	Concurrency int
	// Queue is the maximum number of waiting calls; 0 means no queue.
	Queue int
}

// Admission admits, queues or refuses the calls of one service on one VM. It is
// not safe for concurrent use.
type Admission struct {
	random   *rand.Rand
	capacity int
	running  int
	classes  []*class
}

// class is the runtime state of a Class.
type class struct {
	Class
	running     int
	waiting     []*Ticket
	serviceTime serviceTime
	refused     decayingCount
}

// Ticket represents a call that was admitted or queued.
type Ticket struct {
	class    *class
	deadline time.Time
	started  time.Time
	state    ticketState
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketEnded
)

// IsRunning reports whether the call was admitted and has not ended.
func (t *Ticket) IsRunning() bool {
	return t.state == ticketRunning
}

// NewAdmission returns an Admission with no classes and unlimited capacity.
// random spreads the times returned by RetryAfter.
func NewAdmission(random *rand.Rand) *Admission {
	return &Admission{random: random, capacity: math.MaxInt}
}

// SetClasses replaces the limits. A class whose name remains keeps its calls;
// running calls of a removed class run to completion. It returns the queued
// tickets that it decided; see Done.
func (a *Admission) SetClasses(now time.Time, classes []Class) []*Ticket {
	previous := a.classes
	a.classes = make([]*class, 0, len(classes))
	for _, settings := range classes {
		c := findClass(previous, settings.Name)
		if c == nil {
			c = &class{}
		}
		c.Class = settings
		a.classes = append(a.classes, c)
	}
	return a.admitWaiting(now)
}

// SetCapacity sets the number of calls, over all classes, that may run at the
// same time; values below 1 count as 1. It returns the queued tickets that it
// decided; see Done.
func (a *Admission) SetCapacity(now time.Time, capacity int) []*Ticket {
	a.capacity = max(capacity, 1)
	return a.admitWaiting(now)
}

func findClass(classes []*class, name string) *class {
	for _, c := range classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Arrive admits or queues a call of the named class, or refuses it with
// ErrConcurrency, ErrQueueFull or ErrDeadline. The caller tells the two
// successful cases apart by Ticket.IsRunning.
func (a *Admission) Arrive(now time.Time, name string, deadline time.Time) (*Ticket, error) {
	c := findClass(a.classes, name)
	if c == nil {
		return nil, ErrConcurrency
	}
	t := &Ticket{class: c, deadline: deadline}
	if err := a.admitOrQueue(now, t); err != nil {
		c.refused.add(now, 1)
		return nil, err
	}
	return t, nil
}

// maxWaitShare is the maximum expected wait of a queued call, as a fraction of
// the time left until its deadline.
const maxWaitShare = 0.1

func (a *Admission) admitOrQueue(now time.Time, t *Ticket) error {
	c := t.class
	if !c.canMeetDeadline(now, t.deadline) {
		return ErrDeadline
	}
	if a.hasSlot(c) && len(c.waiting) == 0 {
		a.start(now, t)
		return nil
	}
	if c.Queue == 0 {
		return ErrConcurrency
	}
	if len(c.waiting) >= c.Queue {
		return ErrQueueFull
	}
	wait := a.expectedWait(c, len(c.waiting)+1)
	left := t.deadline.Sub(now)
	if float64(wait) > maxWaitShare*float64(left) || wait+c.serviceTime.upperBound() > left {
		return ErrDeadline
	}
	c.waiting = append(c.waiting, t)
	return nil
}

// canMeetDeadline reports whether a call that starts now can complete before
// its deadline. A class with no running call accepts any call whose deadline has
// not passed, because only a running call can show that the service has become
// faster.
func (c *class) canMeetDeadline(now, deadline time.Time) bool {
	left := deadline.Sub(now)
	if c.running == 0 {
		return left > 0
	}
	return left > c.serviceTime.minimum
}

// expectedWait estimates how long the call at the given position of the queue
// waits; positions start at 1.
func (a *Admission) expectedWait(c *class, position int) time.Duration {
	parallel := a.parallelism(c)
	return time.Duration(float64(position) * float64(c.serviceTime.mean) / float64(parallel))
}

// parallelism returns how many calls of c run at the same time while its queue
// is not empty.
func (a *Admission) parallelism(c *class) int {
	others := a.running - c.running
	return max(min(c.Concurrency, a.capacity-others), 1)
}

func (a *Admission) hasSlot(c *class) bool {
	return a.running < a.capacity && c.running < c.Concurrency
}

func (a *Admission) start(now time.Time, t *Ticket) {
	t.state = ticketRunning
	t.started = now
	t.class.running++
	a.running++
}

// Done ends an admitted call. With answered set, the duration of the call counts
// as a sample of the service time. Done returns the queued tickets that it
// decided: each is now running or, if IsRunning is false, refused with
// ErrDeadline.
func (a *Admission) Done(now time.Time, t *Ticket, answered bool) []*Ticket {
	if t.state != ticketRunning {
		return nil
	}
	t.state = ticketEnded
	t.class.running--
	a.running--
	if answered {
		t.class.serviceTime.add(now.Sub(t.started))
	}
	return a.admitWaiting(now)
}

// Cancel removes a call from the queue because its caller disconnected or its
// deadline passed. It returns false if the call is no longer queued.
func (a *Admission) Cancel(t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	t.state = ticketEnded
	waiting := t.class.waiting
	for i, other := range waiting {
		if other == t {
			t.class.waiting = append(waiting[:i:i], waiting[i+1:]...)
			break
		}
	}
	return true
}

// admitWaiting starts queued calls while there are free slots, in FIFO order
// within a class. It refuses those that can no longer meet their deadline.
func (a *Admission) admitWaiting(now time.Time) []*Ticket {
	var decided []*Ticket
	for c := a.nextClass(); c != nil; c = a.nextClass() {
		t := c.waiting[0]
		c.waiting = c.waiting[1:]
		if c.canMeetDeadline(now, t.deadline) {
			a.start(now, t)
		} else {
			t.state = ticketEnded
			c.refused.add(now, 1)
		}
		decided = append(decided, t)
	}
	return decided
}

// nextClass returns the class whose oldest queued call is decided next: the one
// that uses the smallest fraction of its concurrency. It returns nil if no call
// can start.
func (a *Admission) nextClass() *class {
	var best *class
	for _, c := range a.classes {
		if len(c.waiting) == 0 || !a.hasSlot(c) {
			continue
		}
		if best == nil || c.running*best.Concurrency < best.running*c.Concurrency {
			best = c
		}
	}
	return best
}

// Bounds of RetryAfter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns the time after which a refused caller may try again: the
// time to drain the queue plus a random part. The random part grows with the
// number of recently refused calls, so that their retries are spread over the
// time that it takes to serve them.
func (a *Admission) RetryAfter(now time.Time, name string) time.Duration {
	c := findClass(a.classes, name)
	if c == nil {
		return minRetryAfter
	}
	queueWait := a.expectedWait(c, len(c.waiting)+1)
	refusedWait := a.expectedWait(c, int(c.refused.value(now)))
	spread := a.random.Float64() * float64(minRetryAfter+refusedWait)
	return min(max(queueWait+time.Duration(spread), minRetryAfter), maxRetryAfter)
}

// Running returns the number of running calls.
func (a *Admission) Running() int {
	return a.running
}

// Waiting returns the number of queued calls.
func (a *Admission) Waiting() int {
	waiting := 0
	for _, c := range a.classes {
		waiting += len(c.waiting)
	}
	return waiting
}
