package process

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of draining a server.
const (
	// quietTime is how long an open connection must have carried nothing
	// before a planned stop closes it.
	quietTime = time.Second
	// drainInterval is the time between two looks at the open connections.
	drainInterval = 20 * time.Millisecond
)

// connTracker knows the connections of a server, so that a planned stop closes
// none that carries a call. http.Server.Shutdown takes a connection for idle
// until it has read a whole header and would cut such a call off.
type connTracker struct {
	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	listener net.Listener
	closing  bool
	draining bool
}

// serverConn is a connection of a server.
type serverConn struct {
	net.Conn

	mu sync.Mutex
	// busy means that a call is running or that a part of one has arrived.
	busy bool
	// lastUse is when the connection last began, carried or ended a call.
	lastUse time.Time
}

func newConnTracker() *connTracker {
	return &connTracker{conns: make(map[*serverConn]struct{})}
}

// Read receives bytes. The first one of a call makes the connection busy.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.use(true)
	}
	return n, err
}

func (c *serverConn) use(isBusy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = isBusy
	c.lastUse = time.Now()
}

// closeIfQuiet closes a connection that has carried nothing for quietTime.
func (c *serverConn) closeIfQuiet(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && now.Sub(c.lastUse) >= quietTime {
		_ = c.Close()
	}
}

// trackingListener returns connections that a connTracker can follow.
type trackingListener struct {
	net.Listener
}

// Accept returns the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, lastUse: time.Now()}, nil
}

func (t *connTracker) listen(listener net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
	return trackingListener{Listener: listener}
}

// setState follows the state of a connection (http.Server.ConnState).
func (t *connTracker) setState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*serverConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.use(true)
	case http.StateIdle:
		c.use(false)
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

// handler marks answers as the last of their connection once the server is to
// be closed.
func (t *connTracker) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.isClosing() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (t *connTracker) isClosing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closing
}

func (t *connTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// closeAfterAnswers makes each answer from now on the last of its connection.
func (t *connTracker) closeAfterAnswers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closing = true
}

// drain refuses new connections, closes open ones as they become quiet and
// returns the number of those that are still open after timeout.
func (t *connTracker) drain(timeout time.Duration) int {
	t.refuseConnections()
	end := time.Now().Add(timeout)
	for {
		open := t.open()
		now := time.Now()
		if len(open) == 0 || now.After(end) {
			return len(open)
		}
		for _, c := range open {
			c.closeIfQuiet(now)
		}
		time.Sleep(drainInterval)
	}
}

func (t *connTracker) refuseConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	if t.listener != nil {
		_ = t.listener.Close()
	}
}

func (t *connTracker) open() []*serverConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make([]*serverConn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	return open
}
