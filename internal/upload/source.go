package upload

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/drain"
)

// Source reads a caller's body once and provides it to one Reader at a time.
// Everything that it has read is also written to its Spool. A later Reader can
// start again from the first byte while the spool has the whole body so far in
// memory. Source is safe for concurrent use.
type Source struct {
	callerBody io.Reader
	// declaredSize is the body's size as declared by the caller, in bytes; -1
	// means that it is unknown.
	declaredSize int64
	// maxSize is the maximum size of the body, in bytes.
	maxSize int64

	// sem is a semaphore that is held while reading from the caller and while
	// using the spool. It is not a mutex because lock has to stop waiting when
	// the source is closed.
	sem    chan struct{}
	closed chan struct{}
	spool  *Spool

	mu       sync.Mutex
	reader   *Reader
	readSize int64
	// err is the error that ended the body; io.EOF if the body is complete.
	err error
}

// NewSource returns a Source of a body of at most maxSize bytes. declaredSize is
// -1 if the caller did not declare a size. The Source must be closed, which
// also closes the spool.
func NewSource(callerBody io.Reader, declaredSize, maxSize int64, spool *Spool) *Source {
	return &Source{
		callerBody:   callerBody,
		declaredSize: declaredSize,
		maxSize:      maxSize,
		sem:          make(chan struct{}, 1),
		closed:       make(chan struct{}),
		spool:        spool,
	}
}

// lock acquires sem. It returns false if the source is closed.
func (s *Source) lock() bool {
	select {
	case s.sem <- struct{}{}:
		return true
	case <-s.closed:
		return false
	}
}

func (s *Source) unlock() {
	<-s.sem
}

func (s *Source) setReader(r *Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = r
}

// Close detaches the reader and closes the spool in the background, once no read
// from the caller and no write to the object store is in progress. If keepParts
// is false, the stored parts are deleted. Close must be called only once.
func (s *Source) Close(keepParts bool) {
	s.setReader(nil)
	close(s.closed)
	go func() {
		s.sem <- struct{}{}
		s.spool.Close(keepParts)
	}()
}

// Reader reads the body for one send. Read returns ErrDetached once another
// reader is attached or the source is drained or closed.
type Reader struct {
	source *Source
	// offset is the number of bytes read by this reader, guarded by source.mu.
	offset int64
}

// Attach returns a reader that starts at the body's first byte. It returns false
// if the start of the body is no longer in memory or the source is closed. It
// detaches any earlier reader.
func (s *Source) Attach() (*Reader, bool) {
	s.setReader(nil)
	if !s.lock() {
		return nil, false
	}
	defer s.unlock()
	if _, ok := s.spool.Buffered(); !ok {
		return nil, false
	}
	r := &Reader{source: s}
	s.setReader(r)
	return r, true
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	s := r.source
	if !s.lock() {
		return 0, ErrDetached
	}
	defer s.unlock()
	s.mu.Lock()
	isAttached := s.reader == r
	isBehind := r.offset < s.readSize
	s.mu.Unlock()
	if !isAttached {
		return 0, ErrDetached
	}
	if isBehind {
		return r.readBuffered(p)
	}
	n, err := s.readCaller(p)
	r.addOffset(n)
	return n, err
}

// readBuffered reads bytes from the spool that an earlier reader has already
// read from the caller.
func (r *Reader) readBuffered(p []byte) (int, error) {
	buffered, ok := r.source.spool.Buffered()
	if !ok {
		return 0, ErrDetached
	}
	n := copy(p, buffered[r.offset:])
	r.addOffset(n)
	return n, nil
}

func (r *Reader) addOffset(n int) {
	r.source.mu.Lock()
	defer r.source.mu.Unlock()
	r.offset += int64(n)
}

// Close does nothing. The owner of the caller's body closes it.
func (r *Reader) Close() error {
	return nil
}

// IsComplete reports whether the reader has read the complete body.
func (r *Reader) IsComplete() bool {
	s := r.source
	s.mu.Lock()
	defer s.mu.Unlock()
	isEnd := errors.Is(s.err, io.EOF) || s.declaredSize >= 0 && s.readSize == s.declaredSize
	return isEnd && r.offset == s.readSize
}

// readCaller reads the next bytes of the caller's body into p and writes them to
// the spool. The caller must have locked the source.
func (s *Source) readCaller(p []byte) (int, error) {
	if err := s.endErr(); err != nil {
		return 0, err
	}
	n, err := s.callerBody.Read(p)
	n, err = s.recordRead(n, err)
	s.spool.Write(p[:n])
	return n, err
}

func (s *Source) endErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// recordRead updates readSize and err after a read. A read that exceeds maxSize
// ends the body with ErrTooLarge.
func (s *Source) recordRead(n int, err error) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readSize+int64(n) > s.maxSize {
		s.err = ErrTooLarge
		return 0, s.err
	}
	s.readSize += int64(n)
	s.err = err
	return n, err
}

// drainChunkSize is the buffer size for reads of Drain, in bytes.
const drainChunkSize = 32 << 10

// drained is the result of a drain.
type drained struct {
	body Body
	err  error
}

// Drain detaches the reader and reads the rest of the body into the spool, until
// the body ends or ctx is done. It returns the stored body if it is complete. It
// does not wait for the object store once the stop of this process has ended ctx.
func (s *Source) Drain(ctx context.Context) (Body, error) {
	done := make(chan drained, 1)
	go func() {
		body, err := s.drain(ctx)
		done <- drained{body: body, err: err}
	}()
	select {
	case result := <-done:
		return result.body, result.err
	case <-ctx.Done():
	}
	if drain.IsEnded(ctx) {
		return Body{}, drain.ErrEnded
	}
	result := <-done
	return result.body, result.err
}

func (s *Source) drain(ctx context.Context) (Body, error) {
	s.setReader(nil)
	if !s.lock() {
		return Body{}, ErrDetached
	}
	defer s.unlock()
	chunk := make([]byte, drainChunkSize)
	var err error
	for err == nil && s.spool.Err() == nil && ctx.Err() == nil {
		_, err = s.readCaller(chunk)
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

// Err returns the error that ended the body, or nil if the body is complete or
// has not ended yet.
func (s *Source) Err() error {
	err := s.endErr()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
