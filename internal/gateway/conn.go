package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/strictconn"
	"github.com/figfront/figfront/internal/tunnel"
)

// trackedConn is a connection to an upstream that records in the transfer of its current
// send what is written and received.
type trackedConn struct {
	net.Conn
	// strict is Conn as it is read from and written to.
	strict *strictconn.Conn

	stats *connStats
	// number tells the connections to the upstream from each other, in the order in which they
	// were opened.
	number int64

	mu sync.Mutex
	// isClosed means that this side has closed the connection, and nothing is written to it any more.
	isClosed bool
	// failure is the first error of a read or write; nil before it.
	failure error
	// history holds the requests that were sent.
	history sendHistory
	// current is the transfer of the latest send; nil before the first one.
	current *transfer
}

// newTrackedConn returns a trackedConn that is counted in stats.
func newTrackedConn(conn net.Conn, stats *connStats) *trackedConn {
	return &trackedConn{Conn: conn, strict: strictconn.New(conn), stats: stats, number: stats.begin()}
}

// beginSend returns the transfer of a new send on the connection, of the request with the given
// keys. If its history or the VM that it leads through forbids the connection to carry the request, it is
// closed, and what the send writes fails.
func (c *trackedConn) beginSend(keys []requestKey) *transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &transfer{sendsBefore: c.history.sends}
	c.strict.BeginResponse()
	switch verdict := c.history.add(keys); {
	case verdict != mayCarry:
		c.discardLocked(closeReason(verdict))
	case c.history.sends > 1 && c.isLeaving():
		c.discardLocked(closeVMLeaving)
	}
	return c.current
}

// isLeaving reports whether the connection leads through a VM that takes no further requests.
func (c *trackedConn) isLeaving() bool {
	through, ok := c.Conn.(*tunnel.Conn)
	return ok && through.IsLeaving()
}

// currentTransfer returns the transfer of the latest send.
func (c *trackedConn) currentTransfer() *transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// discard closes the connection because the response to the send with the given transfer
// can't be told from others on it. It stays open if a later send has written to it.
func (c *trackedConn) discard(t *transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != t {
		if wrote, _ := c.current.progress(); wrote {
			return
		}
	}
	c.discardLocked(closeDiscarded)
}

// discardLocked closes the connection to further sends for a reason.
func (c *trackedConn) discardLocked(reason closeReason) {
	c.countCloseLocked(reason)
	_ = c.Conn.Close()
}

// countCloseLocked counts the close of the connection, once.
func (c *trackedConn) countCloseLocked(reason closeReason) {
	if c.isClosed {
		return
	}
	c.isClosed = true
	c.stats.end(reason)
}

// closeReasonLocked returns why a connection that was not discarded is closed.
func (c *trackedConn) closeReasonLocked() closeReason {
	switch {
	case errors.Is(c.failure, io.EOF):
		return closeByUpstream
	case c.failure != nil:
		return closeBroken
	case c.current == nil:
		return closeUnused
	}
	if _, received := c.current.progress(); received {
		return closeAnswered
	}
	return closeUnanswered
}

// recordFailure records the error of a read or write; nil is none.
func (c *trackedConn) recordFailure(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// abandonUnsent reports whether nothing of the send with the given transfer was written, and makes
// sure that nothing will be.
func (c *trackedConn) abandonUnsent(t *transfer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wrote, _ := t.progress(); wrote {
		return false
	}
	if c.current == t {
		c.discardLocked(closeAbandoned)
	}
	return true
}

// beginWrite records the write in the current transfer. It returns false, and records
// nothing, if this side has closed the connection.
func (c *trackedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return false
	}
	if c.current != nil {
		c.current.beginWrite()
	}
	return true
}

// Write writes p and fails when the upstream accepts nothing for
// upstreamStallTimeout. The send counts as begun before the first byte is
// written.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	if err := c.SetWriteDeadline(time.Now().Add(upstreamStallTimeout)); err != nil {
		return 0, err
	}
	n, err := c.strict.Write(p)
	c.recordFailure(err)
	return n, err
}

// Read reads bytes and records that some arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.strict.Read(p)
	if n > 0 {
		if t := c.currentTransfer(); t != nil {
			t.addReceived()
		}
	}
	c.recordFailure(err)
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.countCloseLocked(c.closeReasonLocked())
	c.mu.Unlock()
	return c.Conn.Close()
}

// trackDial wraps a dial function so that its connections are tracked and counted in stats.
func trackDial(dial DialFunc, stats *connStats) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTrackedConn(conn, stats), nil
	}
}
