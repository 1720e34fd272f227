package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// errConnSilent cancels a send whose connection received no byte of a response
// within the silence timeout.
var errConnSilent = errors.New("gateway: connection silent")

// transfer records what one send wrote to a connection and received from it. It belongs
// to the send and not to the connection, which net/http may give to the next send before
// the response to this one has been judged. It is safe for concurrent use.
type transfer struct {
	mu sync.Mutex
	// wrote means that a byte of the send may have left this VM.
	wrote bool
	// received means that a byte arrived after the send's first byte was written.
	received bool
}

// progress returns what the send wrote and received.
func (t *transfer) progress() (wrote, received bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wrote, t.received
}

// beginWrite records that a byte of the send may leave this VM from now on.
func (t *transfer) beginWrite() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrote = true
}

// addReceived records that bytes arrived.
func (t *transfer) addReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = t.wrote
}

// trackedConn is a connection to an upstream that records in the transfer of its current
// send what is written and received.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// current is the transfer of the latest send; nil before the first one.
	current *transfer
	// isDiscarded means that discard closed the connection.
	isDiscarded bool
}

// beginSend returns the transfer of a new send on the connection.
func (c *trackedConn) beginSend() *transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &transfer{}
	return c.current
}

// currentTransfer returns the transfer of the latest send.
func (c *trackedConn) currentTransfer() *transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// discard closes the connection, whose responses can't be attributed any more, on behalf
// of the send with the given transfer. It stays open if a later send has written to it.
func (c *trackedConn) discard(t *transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != t {
		if wrote, _ := c.current.progress(); wrote {
			return
		}
	}
	c.isDiscarded = true
	_ = c.Close()
}

// wasDiscarded reports whether discard closed the connection.
func (c *trackedConn) wasDiscarded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDiscarded
}

// beginWrite records the write in the current transfer. It returns false, and records
// nothing, if the connection was discarded.
func (c *trackedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDiscarded {
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
	return c.Conn.Write(p)
}

// Read reads bytes and records that some arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if t := c.currentTransfer(); t != nil {
			t.addReceived()
		}
	}
	return n, err
}

// trackDial wraps a dial function so that its connections are tracked.
func trackDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// sendTrace traces one send across its connections. It is safe for concurrent
// use.
type sendTrace struct {
	// maxSilence is how long the connection may receive nothing; 0 means no
	// limit.
	maxSilence time.Duration
	// tryReserve takes a retry from the budget, to replace a send on a silent
	// connection; if it returns false the send continues.
	tryReserve func() bool
	cancel     context.CancelCauseFunc
	// interim receives interim responses (1xx).
	interim func(status int, header http.Header)

	mu   sync.Mutex
	conn *trackedConn
	// transfer is the send's on conn; nil when it has no tracked connection.
	transfer *transfer
	reused   bool
	// wroteBefore means that an earlier connection may have carried a byte of
	// the send, or that the connection is not tracked.
	wroteBefore bool
	timer       *time.Timer
	// retryReserved means that a retry was taken from the budget.
	retryReserved bool
	// firstByte means that a response began; stale means that its first byte
	// arrived before the send was written.
	firstByte bool
	stale     bool
}

func (t *sendTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: t.gotFirstByte,
		Got1xxResponse:       t.got1xx,
	}
}

// gotConn records the connection that the send uses from now on and starts the
// silence timer. It is called again if http.Transport moves the send to another
// connection.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wroteBefore = t.mayHaveSentLocked()
	t.reused = info.Reused
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		t.wroteBefore = true
		return
	}
	t.conn = conn
	t.transfer = conn.beginSend()
	if t.maxSilence > 0 && t.timer == nil {
		t.timer = time.AfterFunc(t.maxSilence, t.cancelIfSilent)
	}
}

// cancelIfSilent cancels the send in favour of a retry, unless the connection
// was opened for this send, has received a byte, or no retry is left in the
// budget.
func (t *sendTrace) cancelIfSilent() {
	if !t.isSilent() || !t.tryReserve() {
		return
	}
	t.mu.Lock()
	t.retryReserved = true
	t.mu.Unlock()
	t.cancel(errConnSilent)
}

// isRetryReserved reports whether a retry was taken from the budget.
func (t *sendTrace) isRetryReserved() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retryReserved
}

// got1xx forwards an interim response.
func (t *sendTrace) got1xx(status int, header textproto.MIMEHeader) error {
	t.interim(status, http.Header(header))
	return nil
}

// gotFirstByte stops the silence timer and records whether the response is
// stale.
func (t *sendTrace) gotFirstByte() {
	t.stopSilenceTimer()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale = t.isStaleLocked()
	t.firstByte = true
}

// stopSilenceTimer stops the silence timer.
func (t *sendTrace) stopSilenceTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *sendTrace) mayHaveSentLocked() bool {
	if t.transfer == nil {
		return t.wroteBefore
	}
	wrote, _ := t.transfer.progress()
	return wrote || t.wroteBefore
}

// mayHaveSent reports whether a byte of the send may have left this VM.
func (t *sendTrace) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayHaveSentLocked()
}

// isUnsentOnDiscardedConn reports whether no byte of the send has left this VM because its
// connection was discarded.
func (t *sendTrace) isUnsentOnDiscardedConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.wasDiscarded() && !t.mayHaveSentLocked()
}

// connKind returns whether the send's connection was opened for it or reused; empty
// when the send had none.
func (t *sendTrace) connKind() connKind {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.conn == nil:
		return ""
	case t.reused:
		return connReused
	default:
		return connNew
	}
}

// isSilent reports whether a reused connection has received no byte since the
// send was written.
func (t *sendTrace) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.transfer == nil || !t.reused {
		return false
	}
	wrote, received := t.transfer.progress()
	return wrote && !received
}

// isStale reports whether a response can't belong to the send, because no byte
// arrived after the send's first byte was written.
func (t *sendTrace) isStale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstByte {
		return t.stale
	}
	return t.isStaleLocked()
}

func (t *sendTrace) isStaleLocked() bool {
	if t.transfer == nil {
		return false
	}
	_, received := t.transfer.progress()
	return !received
}

// discardConn closes the send's connection unless a later send has written to it.
func (t *sendTrace) discardConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.discard(t.transfer)
	}
}
