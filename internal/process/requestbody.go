package process

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// connKey is the key of the serverConn in the context of a request.
type connKey struct{}

// withConn returns a context that holds the connection; it is the server's ConnContext hook.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// trackRequest returns the request with a body that tells the tracker when it was received whole. It works
// on a copy, because net/http inspects the body of its own.
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
	tracked.Body = &requestBody{ReadCloser: r.Body, conn: c}
	return tracked
}

// requestBody is the body of a request on a serverConn.
type requestBody struct {
	io.ReadCloser
	conn *serverConn
}

// Read reads the next bytes. It returns net.ErrClosed instead of the end if the connection had to give way
// before.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.conn.tracker.receivedWhole(b.conn) {
		return n, net.ErrClosed
	}
	return n, err
}
