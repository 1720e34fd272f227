package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// nonRewindableBody hides that a body can be rewound. http.Transport resends a
// request that has an Idempotency-Key on its own when the connection breaks and
// the body is absent or can be rewound; only figfront may decide on a retry.
type nonRewindableBody struct {
	io.Reader
}

// Close does nothing; the owner of the body closes it.
func (nonRewindableBody) Close() error {
	return nil
}

// errBodyTooLarge means that a request body exceeds its limit.
var errBodyTooLarge = errors.New("gateway: body too large")

// readBody reads a whole request body of at most limit bytes. It returns
// errBodyTooLarge for a longer one.
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

// readStallTimeout is how long a caller may send no byte of its body.
const readStallTimeout = 30 * time.Second

// stallReader reads a caller's body and fails when the caller sends no byte for
// readStallTimeout.
type stallReader struct {
	io.ReadCloser
	controller *http.ResponseController
	// readDeadline ends all reads; zero means none.
	readDeadline time.Time
	// reachedEOF means that the body was read to its end.
	reachedEOF atomic.Bool
}

// Read reads the next bytes. At EOF it clears the read deadline: from then on
// the connection is read only to notice that the caller disconnects.
func (s *stallReader) Read(p []byte) (int, error) {
	_ = s.controller.SetReadDeadline(s.nextDeadline())
	n, err := s.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		s.reachedEOF.Store(true)
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

func (s *stallReader) nextDeadline() time.Time {
	stalled := time.Now().Add(readStallTimeout)
	if !s.readDeadline.IsZero() && s.readDeadline.Before(stalled) {
		return s.readDeadline
	}
	return stalled
}

// setBodyDeadline makes reads of the request body fail at the call's deadline.
func (c *call) setBodyDeadline() {
	if c.bodyReader != nil {
		c.bodyReader.readDeadline = c.deadline
	}
}

// unreadBodyTimeout limits the time for reading what a caller still sends after
// its call was answered.
const unreadBodyTimeout = 5 * time.Second

// wrapBody makes reads of the caller's body fail when the caller stalls. It
// works on a copy of the request, because net/http inspects the body of its own.
func (c *call) wrapBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return
	}
	c.bodyReader = &stallReader{ReadCloser: c.r.Body, controller: http.NewResponseController(c.w)}
	c.r = c.r.WithContext(c.r.Context())
	c.r.Body = c.bodyReader
}

// closeIfBodyUnread lets a response be sent at once although the caller is still
// sending its body: net/http would first read a part of the body. The connection
// is closed after the response.
func (c *call) closeIfBodyUnread() {
	if c.bodyReader == nil || c.bodyReader.reachedEOF.Load() {
		return
	}
	c.w.Header().Set("Connection", "close")
	_ = c.bodyReader.controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}
