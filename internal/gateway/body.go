package gateway

import (
	"bytes"
	"io"
	"net/http"

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
