package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// opaqueBody hides that a body can be read again. http.Transport sends a call
// with an Idempotency-Key a second time by itself when its connection dies and
// the body is absent or can be rewound; figfront alone decides that.
type opaqueBody struct {
	io.Reader
}

// Close does nothing; the body's owner closes it.
func (opaqueBody) Close() error {
	return nil
}

// errBodyTooLarge means that a body is above its limit.
var errBodyTooLarge = errors.New("gateway: body too large")

// readBody reads a whole request body of at most limit bytes.
func readBody(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, errBodyTooLarge
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength))
	}
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if n > int64(limit) {
		return nil, errBodyTooLarge
	}
	return buffer.Bytes(), nil
}

// readStall is how long a caller may send no byte of its body.
const readStall = 30 * time.Second

// stallReader reads a caller's body and fails when the caller sends no byte for
// readStall.
type stallReader struct {
	io.ReadCloser
	controller *http.ResponseController
	// ended means that the body was read to its end.
	ended atomic.Bool
}

// Read reads the next bytes. The deadline is taken away once the body is whole:
// from then on only the caller's leaving is watched for.
func (s *stallReader) Read(p []byte) (int, error) {
	_ = s.controller.SetReadDeadline(time.Now().Add(readStall))
	n, err := s.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// watchBody makes reads of an upload's body fail when the caller falls silent.
// net/http looks at the body of its own request, which stays as it is.
func (c *call) watchBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return
	}
	c.incoming = &stallReader{ReadCloser: c.r.Body, controller: http.NewResponseController(c.w)}
	c.r = c.r.WithContext(c.r.Context())
	c.r.Body = c.incoming
}
