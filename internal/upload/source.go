package upload

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// Source reads a caller's body once and gives it to one reader at a time. What
// it has read is in its Spool, so that a later reader can start anew while the
// spool still holds the body in memory. It is safe for concurrent use.
type Source struct {
	from io.Reader
	// declared is the length that the caller declared, in bytes; -1 means
	// none.
	declared int64
	limit    int64

	// turn is held by whoever reads from the caller or uses the spool.
	turn   chan struct{}
	closed chan struct{}
	spool  *Spool

	mu     sync.Mutex
	reader *Reader
	read   int64
	// err is how the body ended: io.EOF when it is whole.
	err error
}

// NewSource returns a Source of a body of at most limit bytes. The caller
// closes it, which closes the spool.
func NewSource(from io.Reader, declared, limit int64, spool *Spool) *Source {
	return &Source{
		from:     from,
		declared: declared,
		limit:    limit,
		turn:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
		spool:    spool,
	}
}

// take takes the turn; it returns false once the source is closed.
func (s *Source) take() bool {
	select {
	case s.turn <- struct{}{}:
		return true
	case <-s.closed:
		return false
	}
}

func (s *Source) give() {
	<-s.turn
}

func (s *Source) setReader(r *Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = r
}

// Close detaches any reader and closes the spool as soon as nobody reads from
// the caller and nothing is being stored; it doesn't wait for that. isKept keeps
// the stored parts.
func (s *Source) Close(isKept bool) {
	s.setReader(nil)
	close(s.closed)
	go func() {
		s.turn <- struct{}{}
		s.spool.Close(isKept)
	}()
}

// Reader reads the body for one send. Reads fail once another reader was
// attached or the source was drained.
type Reader struct {
	source *Source
	// offset is guarded by the source's mutex.
	offset int64
}

// Attach returns a reader that starts at the body's first byte, or false when
// the body's start is no longer in memory. An earlier reader is detached first.
func (s *Source) Attach() (*Reader, bool) {
	s.setReader(nil)
	if !s.take() {
		return nil, false
	}
	defer s.give()
	if _, ok := s.spool.Replay(); !ok {
		return nil, false
	}
	r := &Reader{source: s}
	s.setReader(r)
	return r, true
}

// Read reads the next bytes.
func (r *Reader) Read(p []byte) (int, error) {
	s := r.source
	if !s.take() {
		return 0, ErrDetached
	}
	defer s.give()
	s.mu.Lock()
	isAttached := s.reader == r
	isBehind := r.offset < s.read
	s.mu.Unlock()
	if !isAttached {
		return 0, ErrDetached
	}
	if isBehind {
		return r.readKept(p)
	}
	n, err := s.advance(p)
	r.skip(n)
	return n, err
}

// readKept reads bytes that an earlier reader has read before.
func (r *Reader) readKept(p []byte) (int, error) {
	kept, ok := r.source.spool.Replay()
	if !ok {
		return 0, ErrDetached
	}
	n := copy(p, kept[r.offset:])
	r.skip(n)
	return n, nil
}

func (r *Reader) skip(n int) {
	r.source.mu.Lock()
	defer r.source.mu.Unlock()
	r.offset += int64(n)
}

// Close does nothing; the body's owner closes it.
func (r *Reader) Close() error {
	return nil
}

// IsWhole tells whether the reader has read the body to its end.
func (r *Reader) IsWhole() bool {
	s := r.source
	s.mu.Lock()
	defer s.mu.Unlock()
	isEnd := errors.Is(s.err, io.EOF) || s.declared >= 0 && s.read == s.declared
	return isEnd && r.offset == s.read
}

// advance reads the next bytes of the caller's body into p and the spool.
func (s *Source) advance(p []byte) (int, error) {
	if err := s.end(); err != nil {
		return 0, err
	}
	n, err := s.from.Read(p)
	n, err = s.record(n, err)
	s.spool.Write(p[:n])
	return n, err
}

func (s *Source) end() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// record counts bytes that were read. A body above the limit ends there.
func (s *Source) record(n int, err error) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read+int64(n) > s.limit {
		s.err = ErrTooLarge
		return 0, s.err
	}
	s.read += int64(n)
	s.err = err
	return n, err
}

// drainChunk is the size of one read of Drain, in bytes.
const drainChunk = 32 << 10

// Drain detaches any reader and reads the rest of the body into the spool until
// ctx ends. It returns where the body is when it is whole and stored.
func (s *Source) Drain(ctx context.Context) (Body, error) {
	s.setReader(nil)
	if !s.take() {
		return Body{}, ErrDetached
	}
	defer s.give()
	chunk := make([]byte, drainChunk)
	var err error
	for err == nil && s.spool.Err() == nil && ctx.Err() == nil {
		_, err = s.advance(chunk)
	}
	switch {
	case s.spool.Err() != nil:
		return Body{}, s.spool.Err()
	case err == nil:
		return Body{}, ctx.Err()
	case !errors.Is(err, io.EOF):
		return Body{}, err
	default:
		return s.spool.Finish()
	}
}

// Err returns how the body ended: nil while more may come or when it is whole.
func (s *Source) Err() error {
	err := s.end()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
