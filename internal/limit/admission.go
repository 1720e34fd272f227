package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
)

// Errors of an Admission. Each means that the call did not run.
var (
	// ErrConcurrency means that the limit is reached and no call may wait.
	ErrConcurrency = errors.New("limit: concurrency limit reached")
	// ErrQueueFull means that the queue has no place.
	ErrQueueFull = errors.New("limit: queue full")
	// ErrDeadline means that the call would not be answered before its
	// deadline.
	ErrDeadline = errors.New("limit: deadline can't be met")
)

// Class holds the limits of one kind of traffic.
type Class struct {
	Name string
	// Concurrency limits the calls that run at once.
	Concurrency int
	// Queue limits the calls that wait.
	Queue int
}

// Admission decides on the calls of one service on one VM. It is not safe for
// concurrent use.
type Admission struct {
	random   *rand.Rand
	capacity int
	running  int
	classes  []*class
}

// class is the running state of a Class.
type class struct {
	Class
	running int
	waiting []*Ticket
	service serviceTime
	refused decayingCount
}

// Ticket is a call that was admitted or waits.
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

// IsRunning tells whether the call was admitted.
func (t *Ticket) IsRunning() bool {
	return t.state == ticketRunning
}

// NewAdmission returns an Admission without classes and with unbounded
// capacity.
func NewAdmission(random *rand.Rand) *Admission {
	return &Admission{random: random, capacity: math.MaxInt}
}

// SetClasses replaces the limits. A class that stays keeps its calls; the
// calls of one that goes run to their end. It returns the tickets that may run
// now.
func (a *Admission) SetClasses(now time.Time, classes []Class) []*Ticket {
	known := a.classes
	a.classes = make([]*class, 0, len(classes))
	for _, settings := range classes {
		c := findClass(known, settings.Name)
		if c == nil {
			c = &class{}
		}
		c.Class = settings
		a.classes = append(a.classes, c)
	}
	return a.admit(now)
}

// SetCapacity changes the number of calls of all classes that may run at once;
// it counts as 1 below that. It returns the tickets that may run now.
func (a *Admission) SetCapacity(now time.Time, capacity int) []*Ticket {
	a.capacity = max(capacity, 1)
	return a.admit(now)
}

func findClass(classes []*class, name string) *class {
	for _, c := range classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Arrive admits a call, queues it or refuses it. A refusal is one of the
// package's errors.
func (a *Admission) Arrive(now time.Time, name string, deadline time.Time) (*Ticket, error) {
	c := findClass(a.classes, name)
	if c == nil {
		return nil, ErrConcurrency
	}
	t := &Ticket{class: c, deadline: deadline}
	if err := a.enter(now, t); err != nil {
		c.refused.add(now, 1)
		return nil, err
	}
	return t, nil
}

// maxWaitShare is the largest part of the time to its deadline that a call may
// be expected to wait.
const maxWaitShare = 0.1

func (a *Admission) enter(now time.Time, t *Ticket) error {
	c := t.class
	if !c.canMeet(now, t.deadline) {
		return ErrDeadline
	}
	if a.hasPlace(c) && len(c.waiting) == 0 {
		a.start(now, t)
		return nil
	}
	if c.Queue == 0 {
		return ErrConcurrency
	}
	if len(c.waiting) >= c.Queue {
		return ErrQueueFull
	}
	wait := a.wait(c, len(c.waiting)+1)
	left := t.deadline.Sub(now)
	if float64(wait) > maxWaitShare*float64(left) || wait+c.service.high() > left {
		return ErrDeadline
	}
	c.waiting = append(c.waiting, t)
	return nil
}

// canMeet tells whether a call that starts now may be answered in time. A
// class without a running call always takes one, so that a service that became
// faster is noticed.
func (c *class) canMeet(now, deadline time.Time) bool {
	left := deadline.Sub(now)
	if c.running == 0 {
		return left > 0
	}
	return left > c.service.least
}

// wait estimates how long the call in the given place of the queue waits.
func (a *Admission) wait(c *class, place int) time.Duration {
	parallel := a.parallel(c)
	return time.Duration(float64(place) * float64(c.service.mean) / float64(parallel))
}

// parallel returns the number of calls of c that run at once while it has
// waiting ones.
func (a *Admission) parallel(c *class) int {
	others := a.running - c.running
	return max(min(c.Concurrency, a.capacity-others), 1)
}

func (a *Admission) hasPlace(c *class) bool {
	return a.running < a.capacity && c.running < c.Concurrency
}

func (a *Admission) start(now time.Time, t *Ticket) {
	t.state = ticketRunning
	t.started = now
	t.class.running++
	a.running++
}

// Done ends a call that was admitted; answered tells that its duration says
// how long the service takes. It returns the tickets that were decided: they
// run now, or IsRunning is false and they are refused with ErrDeadline.
func (a *Admission) Done(now time.Time, t *Ticket, answered bool) []*Ticket {
	if t.state != ticketRunning {
		return nil
	}
	t.state = ticketEnded
	t.class.running--
	a.running--
	if answered {
		t.class.service.add(now.Sub(t.started))
	}
	return a.admit(now)
}

// Leave takes a waiting call out of the queue, because its caller left or its
// deadline passed. It returns false when the call runs already.
func (a *Admission) Leave(t *Ticket) bool {
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

// admit starts waiting calls while there is a place, the oldest of a class
// first.
func (a *Admission) admit(now time.Time) []*Ticket {
	var decided []*Ticket
	for c := a.next(); c != nil; c = a.next() {
		t := c.waiting[0]
		c.waiting = c.waiting[1:]
		if c.canMeet(now, t.deadline) {
			a.start(now, t)
		} else {
			t.state = ticketEnded
			c.refused.add(now, 1)
		}
		decided = append(decided, t)
	}
	return decided
}

// next returns the class whose waiting call runs next: the one that uses the
// least of its concurrency.
func (a *Admission) next() *class {
	var best *class
	for _, c := range a.classes {
		if len(c.waiting) == 0 || !a.hasPlace(c) {
			continue
		}
		if best == nil || c.running*best.Concurrency < best.running*c.Concurrency {
			best = c
		}
	}
	return best
}

// Bounds of the time after which a refused caller may come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns the time after which a refused caller may come back: when
// the queue is worked off, plus a random part over which the calls that were
// refused lately could be served.
func (a *Admission) RetryAfter(now time.Time, name string) time.Duration {
	c := findClass(a.classes, name)
	if c == nil {
		return minRetryAfter
	}
	drained := a.wait(c, len(c.waiting)+1)
	backlog := a.wait(c, int(c.refused.value(now)))
	spread := a.random.Float64() * float64(minRetryAfter+backlog)
	return min(max(drained+time.Duration(spread), minRetryAfter), maxRetryAfter)
}

// Running returns the number of calls that run.
func (a *Admission) Running() int {
	return a.running
}

// Waiting returns the number of calls that wait.
func (a *Admission) Waiting() int {
	waiting := 0
	for _, c := range a.classes {
		waiting += len(c.waiting)
	}
	return waiting
}
