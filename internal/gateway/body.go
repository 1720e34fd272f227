package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/bodymemory"
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

// bodyRead reads the body of one call into memory.
type bodyRead struct {
	memory *sharedBodyMemory
	// held is the memory of the body.
	held *bodymemory.Body
	// limit is the largest allowed length, in bytes.
	limit int64
	body  heldBody
}

// readWhole reads a whole body, whose announced length is below 0 if it is unknown. The memory is taken as
// the bytes arrive. It returns errBodyTooLarge for a body above the limit, and errNoBodyMemory if the
// body has to give way to others.
func (b *bodyRead) readWhole(ctx context.Context, reader io.Reader, announced int64) error {
	if announced > b.limit {
		return errBodyTooLarge
	}
	for {
		if err := b.ensureFree(ctx, announced); err != nil {
			return err
		}
		n, err := b.readNext(reader)
		if n > 0 {
			b.memory.receive(b.held, n)
		}
		switch {
		case b.memory.isEvicted(b.held):
			return errNoBodyMemory
		case b.body.length > b.limit:
			return errBodyTooLarge
		case errors.Is(err, io.EOF):
			return b.end()
		case err != nil:
			return errors.Wrap(err, "read body")
		}
	}
}

// ensureFree takes the memory for the next piece if the last one is full. A body of known length that is
// complete needs none.
func (b *bodyRead) ensureFree(ctx context.Context, announced int64) error {
	if len(b.body.free()) > 0 {
		return nil
	}
	size := b.body.nextPieceBytes(announced)
	if size == 0 {
		return nil
	}
	if err := b.memory.grow(ctx, b.held, size); err != nil {
		return err
	}
	b.body.addPiece(size)
	return nil
}

// readNext reads the next bytes into the last piece, or the end of a body that has its announced length.
func (b *bodyRead) readNext(reader io.Reader) (int, error) {
	free := b.body.free()
	if len(free) == 0 {
		var beyond [1]byte
		n, err := reader.Read(beyond[:])
		if n > 0 {
			return 0, errBodyTooLarge
		}
		return 0, err
	}
	n, err := reader.Read(free)
	b.body.fill(n)
	return n, err
}

// end ends the reading of a body that has arrived whole.
func (b *bodyRead) end() error {
	if !b.memory.complete(b.held) {
		return errNoBodyMemory
	}
	return nil
}

// Timeouts of reading a caller's body.
const (
	// readStallTimeout is how long a caller may send no byte of its body.
	readStallTimeout = 30 * time.Second
	// deadlineSlack is how much a read deadline may be behind, so that not every read sets one.
	deadlineSlack = time.Second
)

// stallReader reads a caller's body and fails when the caller sends no byte for
// readStallTimeout, or the reading is interrupted.
type stallReader struct {
	io.ReadCloser
	controller *http.ResponseController
	// readDeadline ends all reads; zero means none.
	readDeadline time.Time
	// reachedEOF means that the body was read to its end.
	reachedEOF atomic.Bool

	// mu guards the read deadline of the connection.
	mu sync.Mutex
	// extendedAt is when the deadline was set.
	extendedAt    time.Time
	isInterrupted bool
}

// Read reads the next bytes. At EOF it clears the read deadline: from then on
// the connection is read only to notice that the caller disconnects.
func (s *stallReader) Read(p []byte) (int, error) {
	s.extendDeadline(time.Now())
	n, err := s.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		s.reachedEOF.Store(true)
		_ = s.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// extendDeadline sets the deadline of the next reads, unless it was set lately or the reading was
// interrupted.
func (s *stallReader) extendDeadline(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isInterrupted || now.Sub(s.extendedAt) < deadlineSlack {
		return
	}
	s.extendedAt = now
	_ = s.controller.SetReadDeadline(s.nextDeadline(now))
}

// interrupt makes a read that is going on, and all later ones, fail.
func (s *stallReader) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isInterrupted = true
	_ = s.controller.SetReadDeadline(time.Unix(1, 0))
}

func (s *stallReader) nextDeadline(now time.Time) time.Time {
	stalled := now.Add(readStallTimeout)
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
	context.AfterFunc(c.r.Context(), c.endBody)
}

// endBody makes the reading of a body that is not whole fail once the stop of this VM ends the call.
func (c *call) endBody() {
	if c.isEndedByStop() && !c.bodyReader.reachedEOF.Load() {
		c.bodyReader.interrupt()
	}
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
