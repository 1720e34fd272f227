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

// errConnSilent ends a send whose connection carried no byte of an answer in
// the time that it was given.
var errConnSilent = errors.New("gateway: connection silent")

// trackedConn is a connection to an upstream that knows what it carried since
// the send that uses it began.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// wrote means that a byte of the send may have left this VM.
	wrote bool
	// answered means that a byte arrived after the send's first one left.
	answered bool
}

// beginSend forgets what the sends before carried.
func (t *trackedConn) beginSend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrote = false
	t.answered = false
}

// carried returns what the connection carried since beginSend.
func (t *trackedConn) carried() (wrote, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wrote, t.answered
}

// Write sends p and fails when the upstream takes nothing for upstreamStall. The
// send counts as begun before the first byte leaves.
func (t *trackedConn) Write(p []byte) (int, error) {
	t.mu.Lock()
	t.wrote = true
	t.mu.Unlock()
	if err := t.SetWriteDeadline(time.Now().Add(upstreamStall)); err != nil {
		return 0, err
	}
	return t.Conn.Write(p)
}

// Read receives bytes.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.mu.Lock()
		t.answered = t.wrote
		t.mu.Unlock()
	}
	return n, err
}

// trackDial returns a dial function whose connections are tracked.
func trackDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
}

// sendTrace follows one send over its connection. It is safe for concurrent
// use.
type sendTrace struct {
	// silence is how long the connection may carry nothing; 0 means no limit.
	silence time.Duration
	// payResend pays for another send in place of one over a silent connection;
	// without it the send goes on.
	payResend func() bool
	cancel    context.CancelCauseFunc
	// interim receives interim answers (1xx).
	interim func(status int, header http.Header)

	mu     sync.Mutex
	conn   *trackedConn
	reused bool
	// wroteBefore means that an earlier connection may have carried a byte of
	// the send, or that the connection isn't tracked.
	wroteBefore bool
	timer       *time.Timer
	// paid means that another send has been paid for.
	paid bool
	// firstByte means that an answer began; stale means that its first byte was
	// there before the send's.
	firstByte bool
	stale     bool
}

func (t *sendTrace) client() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              t.gotConn,
		GotFirstResponseByte: t.gotFirstByte,
		Got1xxResponse:       t.got1xx,
	}
}

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
	conn.beginSend()
	t.conn = conn
	if t.silence > 0 && t.timer == nil {
		t.timer = time.AfterFunc(t.silence, t.endSilent)
	}
}

// endSilent ends the send in favour of another one, unless the connection was
// opened for it or the other one can't be paid for.
func (t *sendTrace) endSilent() {
	if !t.isSilent() || !t.payResend() {
		return
	}
	t.mu.Lock()
	t.paid = true
	t.mu.Unlock()
	t.cancel(errConnSilent)
}

// isResendPaid tells whether another send has been paid for.
func (t *sendTrace) isResendPaid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.paid
}

// got1xx passes an interim answer on.
func (t *sendTrace) got1xx(status int, header textproto.MIMEHeader) error {
	t.interim(status, http.Header(header))
	return nil
}

// gotFirstByte ends the watch for silence and notes whether the answer is
// stale. It runs while the connection still belongs to this send; as soon as an
// answer without a body is read, the next send may have the connection.
func (t *sendTrace) gotFirstByte() {
	t.stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale = t.isStaleLocked()
	t.firstByte = true
}

// stop ends the watch for silence.
func (t *sendTrace) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *sendTrace) mayHaveSentLocked() bool {
	if t.conn == nil {
		return t.wroteBefore
	}
	wrote, _ := t.conn.carried()
	return wrote || t.wroteBefore
}

// mayHaveSent tells whether a byte of the send may have left this VM.
func (t *sendTrace) mayHaveSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayHaveSentLocked()
}

// isSilent tells whether a connection that had worked before carried no byte
// since the send began.
func (t *sendTrace) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || !t.reused {
		return false
	}
	wrote, answered := t.conn.carried()
	return wrote && !answered
}

// isStale tells whether an answer can't belong to the send, because no byte
// arrived after the send's first one left.
func (t *sendTrace) isStale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstByte {
		return t.stale
	}
	return t.isStaleLocked()
}

func (t *sendTrace) isStaleLocked() bool {
	if t.conn == nil {
		return false
	}
	_, answered := t.conn.carried()
	return !answered
}

// closeConn closes the send's connection.
func (t *sendTrace) closeConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
	}
}
