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

// Timeout and retries for writing a part to the object store.
const (
	partTimeout     = 10 * time.Second
	maxPartAttempts = 3
	partRetryDelay  = 200 * time.Millisecond
)

// Spool stores a body: up to PartSize bytes in memory, larger bodies in parts in
// the object store. It buffers at most two parts in memory. It is not safe for
// concurrent use.
type Spool struct {
	pool    *Pool
	objects platform.Objects
	prefix  string

	buffer []byte
	// spare is a buffer that can be reused.
	spare []byte
	// parts contains the sizes of the parts that were started, in bytes.
	parts []int
	size  int64
	hash  hash.Hash
	// putResult receives the result of the write of inFlight; nil if no write
	// is in progress.
	putResult chan error
	// inFlight is the part that is being written to the object store.
	inFlight []byte
	err      error
	ctx      context.Context
}

// NewSpool returns a Spool that stores parts in objects. If objects is nil, the
// spool can store at most PartSize bytes. It returns false if the pool has no
// free slot. The Spool must be closed. Cancelling ctx does not stop the spool.
func NewSpool(ctx context.Context, pool *Pool, objects platform.Objects) (*Spool, bool) {
	if !pool.acquire() {
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

// Write appends p to the body. It blocks while two parts are in memory and one
// of them is being written to the object store. After a failed write to the
// object store it discards p; Finish returns the error.
func (s *Spool) Write(p []byte) {
	s.size += int64(len(p))
	for len(p) > 0 && s.err == nil {
		if len(s.buffer) == PartSize {
			s.startPut()
			continue
		}
		n := min(PartSize-len(s.buffer), len(p))
		s.append(p[:n])
		p = p[n:]
	}
}

// append appends p to the buffer and the hash. The buffer's capacity doubles up
// to PartSize.
func (s *Spool) append(p []byte) {
	s.hash.Write(p)
	need := len(s.buffer) + len(p)
	if s.buffer == nil && s.spare != nil {
		s.buffer, s.spare = s.spare[:0], nil
	}
	if need > cap(s.buffer) {
		larger := make([]byte, len(s.buffer), min(max(need, 2*cap(s.buffer)), PartSize))
		copy(larger, s.buffer)
		s.pool.addBytes(cap(larger) - cap(s.buffer))
		s.buffer = larger
	}
	s.buffer = append(s.buffer, p...)
}

// startPut waits for the write of the previous part and starts writing the
// buffer to the object store as the next part.
func (s *Spool) startPut() {
	s.waitForPut()
	if s.objects == nil {
		s.fail(errors.Wrap(ErrUnavailable, "no object store configured"))
	}
	if s.err != nil {
		return
	}
	key := Body{Prefix: s.prefix}.PartKey(len(s.parts))
	part := s.buffer
	s.parts = append(s.parts, len(part))
	s.inFlight, s.buffer = part, nil
	s.putResult = make(chan error, 1)
	go func(done chan<- error) { done <- s.put(key, part) }(s.putResult)
}

// put writes a part to the object store, with retries, within partTimeout.
func (s *Spool) put(key string, part []byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, partTimeout)
	defer cancel()
	var err error
	for attempt := 0; attempt < maxPartAttempts; attempt++ {
		body := &partReader{reader: bytes.NewReader(part)}
		err = s.objects.Put(ctx, key, body, int64(len(part)))
		body.detach()
		if err == nil || !wait.For(ctx, partRetryDelay) {
			break
		}
	}
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// partReader reads a part until it is detached. An HTTP client may still read
// the request body after it has returned the response, when the part's buffer
// may already be reused. It is safe for concurrent use.
type partReader struct {
	mu       sync.Mutex
	reader   *bytes.Reader
	detached bool
}

// Read implements io.Reader.
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

// waitForPut waits until no write to the object store is in progress.
func (s *Spool) waitForPut() {
	if s.putResult == nil {
		return
	}
	err := <-s.putResult
	s.putResult = nil
	s.pool.addBytes(-cap(s.spare))
	s.spare, s.inFlight = s.inFlight, nil
	if err != nil {
		s.fail(err)
	}
}

// fail records the error that ends the spool and frees its buffers.
func (s *Spool) fail(err error) {
	s.err = err
	s.freeBuffers()
}

func (s *Spool) freeBuffers() {
	s.pool.addBytes(-cap(s.buffer) - cap(s.spare) - cap(s.inFlight))
	s.buffer, s.spare, s.inFlight = nil, nil, nil
}

// Err returns the error that ended the spool, or nil.
func (s *Spool) Err() error {
	return s.err
}

// Buffered returns the body written so far, or false if it is no longer entirely
// in memory.
func (s *Spool) Buffered() ([]byte, bool) {
	if s.err != nil || len(s.parts) > 0 {
		return nil, false
	}
	return s.buffer, true
}

// Finish writes the last part to the object store and returns the stored body.
func (s *Spool) Finish() (Body, error) {
	if len(s.buffer) > 0 {
		s.startPut()
	}
	s.waitForPut()
	if s.err != nil {
		return Body{}, s.err
	}
	sum := hex.EncodeToString(s.hash.Sum(nil))
	return Body{Prefix: s.prefix, Parts: s.parts, Size: s.size, SHA256: sum}, nil
}

// Close frees the memory and the slot in the pool. If keepParts is false, it
// deletes the stored parts. It first waits until no write to the object store is
// in progress; otherwise the part could be created after its deletion.
func (s *Spool) Close(keepParts bool) {
	s.waitForPut()
	s.freeBuffers()
	s.pool.release()
	if !keepParts && len(s.parts) > 0 {
		deleteParts(s.objects, Body{Prefix: s.prefix, Parts: s.parts})
	}
}

// deleteParts deletes the parts of a body, within partTimeout. Parts that cannot
// be deleted are left for the object store to expire.
func deleteParts(objects platform.Objects, body Body) {
	ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
	defer cancel()
	for number := range body.Parts {
		if objects.Delete(ctx, body.PartKey(number)) != nil && ctx.Err() != nil {
			return
		}
	}
}
