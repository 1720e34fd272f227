package upload

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/wait"
)

// Times and tries of storing a part.
const (
	partTimeout = 10 * time.Second
	partTries   = 3
	partPause   = 200 * time.Millisecond
)

// Spool takes a body and keeps it: up to PartSize bytes in memory, more in
// parts in the object store. It holds at most two parts in memory. It is not
// safe for concurrent use.
type Spool struct {
	pool    *Pool
	objects platform.Objects
	prefix  string

	buffer []byte
	// free is a buffer that can be used next.
	free  []byte
	parts []int
	size  int64
	hash  hash.Hash
	// storing receives the result of the part that is being stored; nil when
	// none is.
	storing chan error
	// inStore is the part that is being stored.
	inStore []byte
	err     error
	ctx     context.Context
}

// NewSpool returns a Spool that stores in objects, or one that can't keep more
// than PartSize bytes when objects is nil. It returns false when the pool has
// no place. The caller closes it.
func NewSpool(ctx context.Context, pool *Pool, objects platform.Objects) (*Spool, bool) {
	if !pool.enter() {
		return nil, false
	}
	return &Spool{
		pool:    pool,
		objects: objects,
		prefix:  objectPrefix + uuid.NewString() + "/",
		hash:    sha256.New(),
		ctx:     context.WithoutCancel(ctx),
	}, true
}

// Write takes the next bytes of the body. It waits while an earlier part is
// being stored. After a failure of the store it keeps nothing more; Finish
// returns the error.
func (s *Spool) Write(p []byte) {
	s.size += int64(len(p))
	for len(p) > 0 && s.err == nil {
		if len(s.buffer) == PartSize {
			s.storeBuffer()
			continue
		}
		n := min(PartSize-len(s.buffer), len(p))
		s.append(p[:n])
		p = p[n:]
	}
}

// append adds bytes to the buffer, which grows by doubling up to PartSize.
func (s *Spool) append(p []byte) {
	s.hash.Write(p)
	need := len(s.buffer) + len(p)
	if s.buffer == nil && s.free != nil {
		s.buffer, s.free = s.free[:0], nil
	}
	if need > cap(s.buffer) {
		larger := make([]byte, len(s.buffer), min(max(need, 2*cap(s.buffer)), PartSize))
		copy(larger, s.buffer)
		s.pool.hold(cap(larger) - cap(s.buffer))
		s.buffer = larger
	}
	s.buffer = append(s.buffer, p...)
}

// storeBuffer starts storing the buffer once the part before it is stored.
func (s *Spool) storeBuffer() {
	s.wait()
	if s.objects == nil {
		s.fail(errors.Wrap(ErrUnavailable, "no object store"))
	}
	if s.err != nil {
		return
	}
	key := Body{Prefix: s.prefix}.PartKey(len(s.parts))
	part := s.buffer
	s.parts = append(s.parts, len(part))
	s.inStore, s.buffer = part, nil
	s.storing = make(chan error, 1)
	go func(done chan<- error) { done <- s.put(key, part) }(s.storing)
}

func (s *Spool) put(key string, part []byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, partTimeout)
	defer cancel()
	var err error
	for try := 0; try < partTries; try++ {
		body := &partReader{reader: bytes.NewReader(part)}
		err = s.objects.Put(ctx, key, body, int64(len(part)))
		body.detach()
		if err == nil || !wait.For(ctx, partPause) {
			break
		}
	}
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// partReader reads a part until it is detached: an HTTP client may still read
// a body after the answer has come, when the part's buffer is in use again.
type partReader struct {
	mu       sync.Mutex
	reader   *bytes.Reader
	detached bool
}

// Read reads the next bytes.
func (r *partReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.detached {
		return 0, ErrDetached
	}
	return r.reader.Read(p)
}

func (r *partReader) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detached = true
}

// wait waits until no part is being stored.
func (s *Spool) wait() {
	if s.storing == nil {
		return
	}
	err := <-s.storing
	s.storing = nil
	s.pool.hold(-cap(s.free))
	s.free, s.inStore = s.inStore, nil
	if err != nil {
		s.fail(err)
	}
}

func (s *Spool) fail(err error) {
	s.err = err
	s.release()
}

func (s *Spool) release() {
	s.pool.hold(-cap(s.buffer) - cap(s.free) - cap(s.inStore))
	s.buffer, s.free, s.inStore = nil, nil, nil
}

// Err returns why the spool keeps nothing more; nil while it does.
func (s *Spool) Err() error {
	return s.err
}

// Replay returns the whole body so far when it is in memory.
func (s *Spool) Replay() ([]byte, bool) {
	if s.err != nil || len(s.parts) > 0 {
		return nil, false
	}
	return s.buffer, true
}

// Finish stores what is left and returns where the body is.
func (s *Spool) Finish() (Body, error) {
	if len(s.buffer) > 0 {
		s.storeBuffer()
	}
	s.wait()
	if s.err != nil {
		return Body{}, s.err
	}
	sum := hex.EncodeToString(s.hash.Sum(nil))
	return Body{Prefix: s.prefix, Parts: s.parts, Size: s.size, SHA256: sum}, nil
}

// Close waits until nothing is being stored and frees the memory; unless the
// body is kept, it deletes the parts. A part whose storing was not ended before
// could otherwise appear after its deletion.
func (s *Spool) Close(isKept bool) {
	s.wait()
	s.release()
	s.pool.leave()
	if !isKept && len(s.parts) > 0 {
		deleteParts(s.objects, Body{Prefix: s.prefix, Parts: s.parts})
	}
}

// deleteParts removes the parts of a body. Parts that can't be removed are left
// to the object store's expiry.
func deleteParts(objects platform.Objects, body Body) {
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	for number := range body.Parts {
		if objects.Delete(ctx, body.PartKey(number)) != nil && ctx.Err() != nil {
			return
		}
	}
}
