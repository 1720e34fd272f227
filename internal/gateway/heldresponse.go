package gateway

import (
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/bodymemory"
)

// Sizes of the buffer of a response.
const (
	// minResponseBuffer is the size with which a buffer begins. A buffer that is full doubles.
	minResponseBuffer = 4 << 10
	// maxBufferedResponseBytes is the largest response that is buffered as a whole
	// before its first byte is sent to the caller. A larger response is streamed
	// after this many bytes; if it is truncated, the caller's connection is aborted.
	maxBufferedResponseBytes = 1 << 20
)

// heldResponses is the memory for the responses to one call, which may be sent more than once at a time. It is
// safe for concurrent use.
type heldResponses struct {
	memory *sharedBodyMemory

	mu     sync.Mutex
	bodies []*bodymemory.Body
	// isEnded means that the call has ended, and nothing is held for it any more.
	isEnded bool
}

// grow takes memory for more bytes of a response. It returns false if there is none.
func (h *heldResponses) grow(b *bodymemory.Body, bytes int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isEnded && h.memory.take(b, bytes)
}

// begin returns the memory of a response.
func (h *heldResponses) begin() *bodymemory.Body {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.memory.beginWhole()
	if !h.isEnded {
		h.bodies = append(h.bodies, b)
	}
	return b
}

// end gives back the memory of all responses.
func (h *heldResponses) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isEnded = true
	for _, b := range h.bodies {
		h.memory.release(b)
	}
	h.bodies = nil
}

// readBody reads the beginning of the body of a response: at most maxBufferedResponseBytes, and less if there
// is no memory for more. It reports whether that is the whole body.
func (h *heldResponses) readBody(response *http.Response) (body []byte, isWhole bool, err error) {
	held := h.begin()
	for len(body) < maxBufferedResponseBytes {
		if len(body) == cap(body) {
			larger := nextResponseBuffer(cap(body), response.ContentLength)
			if !h.grow(held, larger-cap(body)) {
				return body, false, nil
			}
			body = append(make([]byte, 0, larger), body...)
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// nextResponseBuffer returns the size of the buffer that follows one of a size, for a response of an
// announced length, or -1. A byte more than the length lets the end be read.
func nextResponseBuffer(size int, announced int64) int {
	next := min(max(2*size, minResponseBuffer), maxBufferedResponseBytes)
	if announced >= int64(size) && announced+1 < int64(next) {
		return int(announced) + 1
	}
	return next
}
