package process

import (
	"net"
	"sync"
	"time"

	"github.com/figfront/figfront/internal/connlimit"
)

// serverConn is a server's connection that records when it was last used.
type serverConn struct {
	net.Conn

	tracker *connTracker
	// place is the connection in the tracker's limit, guarded by tracker.mu.
	place *connlimit.Conn

	mu sync.Mutex
	// busy means that a call is running or that a part of a request has arrived.
	busy bool
	// lastActivity is when the connection was accepted, last received bytes or last
	// changed between active and idle.
	lastActivity time.Time
	// isClosed means that the connection was closed because it was idle or had to give way.
	isClosed bool
	// hasSmallBuffer means that the receive buffer is a small one, guarded by tracker.mu.
	hasSmallBuffer bool
}

// Read reads from the connection. Received bytes mark the connection as busy, so that
// it counts as in use from the first byte of a request. Bytes that were received while
// the connection was closed as idle are dropped: their sender is told that nobody has
// read them and may send the request elsewhere.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	if !c.recordRead() || !c.tracker.receive(c, n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// recordRead marks the connection as busy. It returns false if the connection was closed
// as idle.
func (c *serverConn) recordRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.lastActivity = time.Now()
	return !c.isClosed
}

// setBusy records activity and whether the connection carries a call.
func (c *serverConn) setBusy(isBusy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = isBusy
	c.lastActivity = time.Now()
}

// closeIfIdle closes the connection if it has been idle for minIdleTime.
func (c *serverConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && now.Sub(c.lastActivity) >= minIdleTime {
		c.isClosed = true
		_ = c.Close()
	}
}

// Close closes the connection.
func (c *serverConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}
