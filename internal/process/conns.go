package process

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Times that control how a server is drained.
const (
	// minIdleTime is how long a connection must have been idle before draining
	// closes it.
	minIdleTime = time.Second
	// drainCheckInterval is the time between two checks of the open connections.
	drainCheckInterval = 20 * time.Millisecond
)

// connTracker tracks the connections of a server, so that a graceful shutdown does
// not close one that carries a call. http.Server.Shutdown treats a connection as
// idle until it has read a complete header and would cut off a call whose header
// has arrived only in part. It is safe for concurrent use.
type connTracker struct {
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	listener net.Listener
	// closeAfterResponse means that every response closes its connection.
	closeAfterResponse bool
	// draining means that the listener is closed.
	draining bool
}

// serverConn is a server's connection that records when it was last used.
type serverConn struct {
	net.Conn

	mu sync.Mutex
	// busy means that a call is running or that a part of a request has arrived.
	busy bool
	// lastActivity is when the connection was accepted, last received bytes or last
	// changed between active and idle.
	lastActivity time.Time
	// closedIdle means that the connection was closed because it was idle.
	closedIdle bool
}

func newConnTracker() *connTracker {
	return &connTracker{conns: make(map[*serverConn]struct{})}
}

// Read reads from the connection. Received bytes mark the connection as busy, so that
// it counts as in use from the first byte of a request. Bytes that were received while
// the connection was closed as idle are dropped: their sender is told that nobody has
// read them and may send the request elsewhere.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.recordRead() {
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
	return !c.closedIdle
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
		c.closedIdle = true
		_ = c.Close()
	}
}

// trackingListener wraps accepted connections in serverConn.
type trackingListener struct {
	net.Listener
}

// Accept waits for the next connection and returns it wrapped.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, lastActivity: time.Now()}, nil
}

// wrapListener returns a listener whose connections can be tracked. drain closes
// listener.
func (t *connTracker) wrapListener(listener net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
	return trackingListener{Listener: listener}
}

// trackState records a connection's new state; it is the server's ConnState hook.
func (t *connTracker) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*serverConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setBusy(true)
	case http.StateIdle:
		c.setBusy(false)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// wrapHandler wraps next so that responses carry Connection: close after
// enableCloseAfterResponse has been called.
func (t *connTracker) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.isClosingAfterResponse() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (t *connTracker) isClosingAfterResponse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closeAfterResponse
}

func (t *connTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// enableCloseAfterResponse makes every later response close its connection.
func (t *connTracker) enableCloseAfterResponse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeAfterResponse = true
}

// drain closes the listener and then each connection once it has been idle for
// minIdleTime. It returns when no connection is left or timeout has passed, with the
// number of connections that are still open.
func (t *connTracker) drain(timeout time.Duration) int {
	t.closeListener()
	deadline := time.Now().Add(timeout)
	for {
		conns := t.openConns()
		now := time.Now()
		if len(conns) == 0 || now.After(deadline) {
			return len(conns)
		}
		for _, c := range conns {
			c.closeIfIdle(now)
		}
		time.Sleep(drainCheckInterval)
	}
}

// closeListener closes the listener and marks the tracker as draining.
func (t *connTracker) closeListener() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	if t.listener != nil {
		_ = t.listener.Close()
	}
}

// openConns returns the open connections.
func (t *connTracker) openConns() []*serverConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*serverConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}
