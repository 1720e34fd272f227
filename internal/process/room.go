package process

import (
	"net"
	"time"

	"github.com/figfront/figfront/internal/connlimit"
)

// groupConns is the group of the counters of connections of callers.
const groupConns = "caller_conns"

// roomRetryInterval is the time after which a limit whose connections were all in use is asked again.
const roomRetryInterval = 100 * time.Millisecond

// add adds an accepted connection, and makes room for the next one.
func (t *connTracker) add(conn net.Conn) *serverConn {
	now := time.Now()
	c := &serverConn{Conn: conn, tracker: t, lastActivity: now}
	t.mu.Lock()
	c.place = t.limit.Open(now)
	t.byPlace[c.place] = c
	t.limitBuffersLocked(c)
	t.mu.Unlock()
	t.makeRoom()
	return c
}

// remove removes a connection that is closed.
func (t *connTracker) remove(c *serverConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit.Close(c.place)
	delete(t.byPlace, c.place)
}

// receive records that bytes of a request were read. It returns false if the connection had to give way.
func (t *connTracker) receive(c *serverConn, bytes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPlace[c.place] == nil {
		return false
	}
	t.limit.Receive(time.Now(), c.place, bytes)
	return true
}

// receivedWhole records that a request was received whole. It returns false if the connection had to give
// way before.
func (t *connTracker) receivedWhole(c *serverConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPlace[c.place] == nil {
		return false
	}
	t.limit.SetState(time.Now(), c.place, connlimit.Serving)
	return true
}

// makeRoom closes the connection that gives way if no other can be accepted. If none does, it tries again
// after roomRetryInterval.
func (t *connTracker) makeRoom() {
	victim := t.evict()
	if victim == nil {
		return
	}
	victim.mu.Lock()
	victim.isClosed = true
	victim.mu.Unlock()
	_ = victim.Conn.Close()
	t.counters.Add(groupConns, "gave_way", 1)
}

// evict removes the connection that gives way from the limit, and returns it; nil if none has to or none
// does.
func (t *connTracker) evict() *serverConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limit.IsFull() {
		return nil
	}
	place := t.limit.Victim(time.Now())
	if place == nil {
		t.retryLocked()
		return nil
	}
	victim := t.byPlace[place]
	t.limit.Close(place)
	delete(t.byPlace, place)
	return victim
}

// retryLocked calls makeRoom after roomRetryInterval.
func (t *connTracker) retryLocked() {
	if t.isRetrying || t.draining {
		return
	}
	t.isRetrying = true
	time.AfterFunc(roomRetryInterval, func() {
		t.mu.Lock()
		t.isRetrying = false
		t.mu.Unlock()
		t.makeRoom()
	})
}
