package gateway

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/tunnel"
)

// errConnSilent cancels a send whose connection received no byte of a response
// within the silence timeout.
var errConnSilent = errors.New("gateway: connection silent")

// sendTrace traces one send across its connections. It is safe for concurrent
// use.
type sendTrace struct {
	// keys stand for the IDs of the request; a health check has none.
	keys []requestKey
	// maxSilence is how long the connection may receive nothing; 0 means no
	// limit.
	maxSilence time.Duration
	// tryReserve takes a retry from the budget, to replace a send on a silent
	// connection; if it returns false the send continues.
	tryReserve func() bool
	cancel     context.CancelCauseFunc
	// interim receives interim responses (1xx).
	interim func(status int, header http.Header)

	mu sync.Mutex
	// interimCount counts the interim responses.
	interimCount int
	conn         *trackedConn
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
// silence timer. A connection that must not carry the request is closed before the
// send is written. It is called again if http.Transport moves the send to another
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
	t.transfer = conn.beginSend(t.keys)
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

// maxInterimResponses limits the interim responses to one send. net/http limits the header of
// each, but not their number where they are forwarded.
const maxInterimResponses = 32

// errInterimFlood ends a send whose upstream sends interim responses without end.
var errInterimFlood = errors.New("gateway: too many interim responses")

// got1xx forwards an interim response unless its head is mixed with another, or it arrived before the
// send was written. After
// maxInterimResponses it returns an error, which closes the connection.
func (t *sendTrace) got1xx(status int, header textproto.MIMEHeader) error {
	t.mu.Lock()
	t.interimCount++
	isFlood := t.interimCount > maxInterimResponses
	t.mu.Unlock()
	if isFlood {
		return errInterimFlood
	}
	if t.isStale() || hasStatusLine(http.Header(header)) {
		return nil
	}
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

// abandonUnsent reports whether no byte of the send has left this VM, nor will, because its connection,
// which was used before, was closed. The send may take another one. A new connection is never skipped,
// so that the last one is reached.
func (t *sendTrace) abandonUnsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.wroteBefore || !t.reused {
		return false
	}
	return t.conn.abandonUnsent(t.transfer)
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

// via returns the name of the VM that the send's connection leads through; empty if it is
// direct or there is none.
func (t *sendTrace) via() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return ""
	}
	return viaOf(t.conn.Conn)
}

// tunnel returns the tunnel that the send's connection leads through; nil if it is direct or
// there is none.
func (t *sendTrace) tunnel() *tunnel.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil
	}
	through, _ := t.conn.Conn.(*tunnel.Conn)
	return through
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
