package connlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/connlimit"
)

const maxConns = 8

var start = time.Unix(1000, 0)

// crowd returns a limit that is full of connections in a state.
func crowd(state connlimit.State) (*connlimit.Limit, []*connlimit.Conn) {
	l := connlimit.New(maxConns)
	var conns []*connlimit.Conn
	for i := range maxConns {
		opened := start.Add(time.Duration(i) * time.Millisecond)
		c := l.Open(opened)
		l.SetState(opened, c, state)
		conns = append(conns, c)
	}
	return l, conns
}

// TestLongestIdleGivesWayFirst fills the limit with idle connections, of which one has been used since.
func TestLongestIdleGivesWayFirst(t *testing.T) {
	g := NewWithT(t)
	l, conns := crowd(connlimit.Idle)
	g.Expect(l.IsFull()).To(BeTrue())
	later := start.Add(time.Minute)
	l.Receive(later, conns[0], 100)
	l.SetState(later, conns[0], connlimit.Serving)
	l.SetState(later, conns[0], connlimit.Idle)
	g.Expect(l.Victim(later)).To(BeIdenticalTo(conns[1]))
	l.Close(conns[1])
	l.Close(conns[1])
	g.Expect(l.Len()).To(Equal(maxConns - 1))
	g.Expect(l.IsFull()).To(BeFalse())
}

// TestStoppedRequestGivesWay fills the limit with requests that have stopped, but one that goes on.
func TestStoppedRequestGivesWay(t *testing.T) {
	g := NewWithT(t)
	l, conns := crowd(connlimit.Receiving)
	now := start
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		l.Receive(now, conns[0], 32<<10)
	}
	g.Expect(l.Victim(now)).To(BeIdenticalTo(conns[1]))
}

// TestNewConnectionHasTimeToSend fills the limit with running requests, and one connection that was just
// opened.
func TestNewConnectionHasTimeToSend(t *testing.T) {
	g := NewWithT(t)
	l, conns := crowd(connlimit.Serving)
	l.Close(conns[0])
	opened := start.Add(time.Minute)
	c := l.Open(opened)
	g.Expect(l.Victim(opened.Add(900 * time.Millisecond))).To(BeNil())
	g.Expect(l.Victim(opened.Add(time.Second))).To(BeIdenticalTo(c))
}

// TestRunningRequestsStay fills the limit with requests that were received whole.
func TestRunningRequestsStay(t *testing.T) {
	g := NewWithT(t)
	l, _ := crowd(connlimit.Serving)
	g.Expect(l.Victim(start.Add(time.Hour))).To(BeNil())
}

// TestNoLimit opens connections without a limit.
func TestNoLimit(t *testing.T) {
	l := connlimit.New(0)
	for range 10_000 {
		l.Open(start)
	}
	NewWithT(t).Expect(l.IsFull()).To(BeFalse())
}
