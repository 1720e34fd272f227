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
	// received is the number of bytes that were read, and reads the number of reads for the current
	// request.
	received int64
	reads    int

	// hasSmallBuffer means that the receive buffer is a small one, guarded by tracker.mu.
	hasSmallBuffer bool
}

// Read reads from the connection. Received bytes mark the connection as busy, so that
// it counts as in use from the first byte of a request. Bytes that were received while
// the connection was closed as idle are dropped: their sender is told that nobody has
// read them and may send the request elsewhere. Small reads wait for their turn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	isOpen, reads := c.recordRead(n)
	if !isOpen || !c.tracker.receive(c, n) {
		return 0, net.ErrClosed
	}
	if n < smallReadBytes && reads > freeReads {
		time.Sleep(c.tracker.waitForRead())
	}
	return n, err
}

// recordRead marks the connection as busy. It returns false if the connection was closed
// as idle, and the number of reads for the current request.
func (c *serverConn) recordRead(bytes int) (isOpen bool, reads int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.lastActivity = time.Now()
	c.received += int64(bytes)
	c.reads++
	return !c.isClosed, c.reads
}

// receivedBytes returns the number of bytes that were read.
func (c *serverConn) receivedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// setBusy records activity and whether the connection carries a call.
func (c *serverConn) setBusy(isBusy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = isBusy
	c.lastActivity = time.Now()
	if !isBusy {
		c.reads = 0
	}
}

// isBusy reports whether the connection carries a call or a part of one.
func (c *serverConn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
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
