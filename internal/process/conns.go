package process

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/connlimit"
	"github.com/figfront/figfront/internal/pace"
	"github.com/figfront/figfront/internal/telemetry"
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
	// calls is the number of calls whose handlers run.
	calls int

	// limit decides which connection gives way when all are in use, and byPlace holds the connections
	// that it knows. isRetrying means that it is asked again soon.
	limit      *connlimit.Limit
	counters   *telemetry.Counters
	byPlace    map[*connlimit.Conn]*serverConn
	isRetrying bool
	// maxLargeBuffers is the number of connections above which all get a small receive buffer; 0 means that
	// none does. isCrowded means that there are more.
	maxLargeBuffers int
	isCrowded       bool
	// pacer paces the reads that yield little.
	pacer *pace.Pacer
}

// newConnTracker returns a connTracker of a server whose limits are given.
func newConnTracker(limits static.Limits) *connTracker {
	return &connTracker{
		conns: make(map[*serverConn]struct{}), byPlace: make(map[*connlimit.Conn]*serverConn),
		counters: telemetry.NewCounters(), limit: connlimit.New(limits.MaxConnections),
		pacer: pace.New(cmp.Or(limits.Cores, 1)), maxLargeBuffers: limits.MaxConnections / connsPerLargeBuffer,
	}
}

// trackingListener wraps accepted connections in serverConn.
type trackingListener struct {
	net.Listener
	tracker *connTracker
}

// Accept waits for the next connection and returns it wrapped.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.add(conn), nil
}

// wrapListener returns a listener whose connections can be tracked. drain closes
// listener.
func (t *connTracker) wrapListener(listener net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
	return trackingListener{Listener: listener, tracker: t}
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
	case http.StateIdle:
		t.limit.SetState(time.Now(), c.place, connlimit.Idle)
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// wrapHandler wraps next so that responses carry Connection: close after
// enableCloseAfterResponse has been called, and that the limit knows which requests were received whole.
func (t *connTracker) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.countCalls(1)
		defer t.countCalls(-1)
		closing := &closingWriter{ResponseWriter: w, tracker: t}
		next.ServeHTTP(closing, t.trackRequest(r))
		closing.beginHeader()
	})
}

// countCalls adds to the number of calls whose handlers run.
func (t *connTracker) countCalls(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls += n
}

// openCalls returns the number of calls whose handlers run.
func (t *connTracker) openCalls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
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
// number of connections that are still in use.
func (t *connTracker) drain(timeout time.Duration) int {
	t.closeListener()
	deadline := time.Now().Add(timeout)
	for {
		conns := t.openConns()
		now := time.Now()
		if len(conns) == 0 || now.After(deadline) {
			return countBusy(conns)
		}
		for _, c := range conns {
			c.closeIfIdle(now)
		}
		time.Sleep(drainCheckInterval)
	}
}

// countBusy returns the number of connections that carry a call or a part of one.
func countBusy(conns []*serverConn) int {
	count := 0
	for _, c := range conns {
		if c.isBusy() {
			count++
		}
	}
	return count
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
