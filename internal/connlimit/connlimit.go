// Package connlimit decides which connection of a caller is closed to make room for a new one.
//
// A server accepts a limited number of connections. Callers that open them and send nothing, or stop in
// the middle of a request, would otherwise keep all others out until a timeout. When the limit is reached,
// the connection that has been idle longest gives way: its caller has no request there and can open
// another one. If none is idle, the first one gives way whose request has stopped or arrives slowly. A
// connection whose request was received whole never gives way, since the request may be running.
//
// Shorter timeouts would be simpler, but a crowd fills any timeout, and callers that do no harm would
// meet them in calm.
package connlimit

import (
	"container/list"
	"time"

	"github.com/figfront/figfront/internal/arrival"
)

// State is what a connection is used for.
type State int

// The states of a connection.
const (
	// Idle means that no byte of a request has arrived.
	Idle State = iota
	// Receiving means that a part of a request has arrived.
	Receiving
	// Serving means that a request was received whole and is not answered yet.
	Serving
	stateCount
)

// Conn is a connection, as a Limit knows it.
type Conn struct {
	state State
	// since is when the connection came to its state.
	since time.Time
	pace  arrival.Pace
	// element is the place of the connection among those of its state; nil once it is closed.
	element *list.Element
}

// Limit knows the open connections. It is not safe for concurrent use.
type Limit struct {
	max int
	// conns are the connections by their state, in the order in which they came to it.
	conns [stateCount]list.List
}

// New returns a Limit of a number of connections; 0 means that they are not limited.
func New(maxConns int) *Limit {
	return &Limit{max: maxConns}
}

// Open adds a connection.
func (l *Limit) Open(now time.Time) *Conn {
	c := &Conn{state: Idle, since: now}
	c.element = l.conns[Idle].PushBack(c)
	return c
}

// SetState records what a connection is used for from now on.
func (l *Limit) SetState(now time.Time, c *Conn, state State) {
	if c.element == nil || c.state == state {
		return
	}
	l.conns[c.state].Remove(c.element)
	c.state, c.since = state, now
	c.element = l.conns[state].PushBack(c)
	if state == Receiving {
		c.pace = arrival.Begin(now)
	}
}

// Receive records that bytes of a request have arrived.
func (l *Limit) Receive(now time.Time, c *Conn, bytes int) {
	if c.state == Idle {
		l.SetState(now, c, Receiving)
	}
	c.pace.Receive(now, int64(bytes))
}

// Close removes a connection. It has no effect the second time.
func (l *Limit) Close(c *Conn) {
	if c.element == nil {
		return
	}
	l.conns[c.state].Remove(c.element)
	c.element = nil
}

// Len returns the number of open connections.
func (l *Limit) Len() int {
	sum := 0
	for i := range l.conns {
		sum += l.conns[i].Len()
	}
	return sum
}

// IsFull reports whether no other connection may be opened.
func (l *Limit) IsFull() bool {
	return l.max > 0 && l.Len() >= l.max
}

// minIdleTime is how long a connection must have been idle to give way, so that the request of one that was
// just opened can arrive.
const minIdleTime = time.Second

// Victim returns the connection that gives way to a new one; nil if none does.
func (l *Limit) Victim(now time.Time) *Conn {
	if front := l.conns[Idle].Front(); front != nil {
		if c := front.Value.(*Conn); now.Sub(c.since) >= minIdleTime {
			return c
		}
	}
	for e := l.conns[Receiving].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c.pace.IsSlow(now) {
			return c
		}
	}
	return nil
}
