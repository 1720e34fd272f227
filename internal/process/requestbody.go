package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Work of reading requests that come in small parts.
const (
	// smallReadBytes is the number of bytes below which a read of a connection yields little, and
	// freeReads the number of reads for a request that need not wait.
	smallReadBytes = 1 << 10
	freeReads      = 32
	// readWork is the processor time for a read of a connection, and framingWork that for each byte of
	// the framing of a body in chunks.
	readWork    = 20 * time.Microsecond
	framingWork = 15 * time.Nanosecond
	// freeFraming is the number of bytes of framing of a body that need not wait, and framingStep the
	// number of further ones after which the next read waits.
	freeFraming = 16 << 10
	framingStep = 4 << 10
	// maxReadWait limits the wait of one read.
	maxReadWait = 250 * time.Millisecond
)

// connKey is the key of the serverConn in the context of a request.
type connKey struct{}

// withConn returns a context that holds the connection; it is the server's ConnContext hook.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// trackRequest returns the request with a body that tells the tracker when it was received whole, and waits
// for its turn if it comes in small parts. It works on a copy, because net/http inspects the body of its
// own.
func (t *connTracker) trackRequest(r *http.Request) *http.Request {
	c, ok := r.Context().Value(connKey{}).(*serverConn)
	if !ok {
		return r
	}
	if r.Body == nil || r.Body == http.NoBody {
		if !t.receivedWhole(c) {
			panic(http.ErrAbortHandler)
		}
		return r
	}
	tracked := r.WithContext(r.Context())
	tracked.Body = &requestBody{ReadCloser: r.Body, conn: c, receivedBefore: c.receivedBytes()}
	return tracked
}

// requestBody is the body of a request on a serverConn.
type requestBody struct {
	io.ReadCloser
	conn *serverConn
	// receivedBefore is the number of bytes that the connection had received when the body began, and
	// length that of the body so far.
	receivedBefore int64
	length         int64
	// paidFraming is the number of bytes of framing that were waited for.
	paidFraming int64
}

// Read reads the next bytes. It returns net.ErrClosed instead of the end if the connection had to give way
// before.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.length += int64(n)
	if errors.Is(err, io.EOF) && !b.conn.tracker.receivedWhole(b.conn) {
		return n, net.ErrClosed
	}
	if err == nil {
		b.payForFraming()
	}
	return n, err
}

// payForFraming waits for the turn of a body whose framing takes much work.
func (b *requestBody) payForFraming() {
	framing := b.conn.receivedBytes() - b.receivedBefore - b.length
	if framing < b.paidFraming+freeFraming+framingStep {
		return
	}
	due := framing - b.paidFraming - freeFraming
	b.paidFraming += due
	time.Sleep(b.conn.tracker.waitForWork(time.Duration(due) * framingWork))
}

// waitForRead returns how long a connection waits after a read that yielded little.
func (t *connTracker) waitForRead() time.Duration {
	return t.waitForWork(readWork)
}

// waitForWork returns how long a connection waits after work of a duration.
func (t *connTracker) waitForWork(work time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(t.pacer.WaitForWork(time.Now(), work, 0), maxReadWait)
}
