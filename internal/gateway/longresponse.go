package gateway

import (
	"cmp"
	"context"
	"io"
	"sync"
	"time"

	"github.com/figfront/figfront/internal/pace"
	"github.com/figfront/figfront/internal/wait"
)

// longPieceBytes is the length of the pieces in which a long response is passed on.
const longPieceBytes = 32 << 10

// sharedPacer is the Pacer of all long responses. It is safe for concurrent use.
type sharedPacer struct {
	mu    sync.Mutex
	pacer *pace.Pacer
}

// newSharedPacer returns the pacer of a VM with a number of cores; 0 means one.
func newSharedPacer(cores float64) *sharedPacer {
	return &sharedPacer{pacer: pace.New(cmp.Or(cores, 1))}
}

// wait records that a piece was passed on and returns how long to wait before the next one of the
// response, of which passedOn bytes were passed on so far.
func (p *sharedPacer) wait(bytes int, passedOn int64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.Wait(time.Now(), bytes, passedOn)
}

// maxBytes returns the largest number of bytes that can be passed on within a span of time.
func (p *sharedPacer) maxBytes(span time.Duration) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.MaxBytes(span, longPieceBytes)
}

// pacedReader reads a long response in pieces, each in its turn.
type pacedReader struct {
	ctx   context.Context
	pacer *sharedPacer
	rest  io.Reader
	// passedOn is the number of bytes so far, and pause the time until the next piece.
	passedOn int64
	pause    time.Duration
}

// Read reads the next piece. It returns the error of the context when that ends first.
func (r *pacedReader) Read(p []byte) (int, error) {
	if !wait.For(r.ctx, r.pause) {
		return 0, r.ctx.Err()
	}
	n, err := r.rest.Read(p[:min(len(p), longPieceBytes)])
	r.passedOn += int64(n)
	r.pause = r.pacer.wait(n, r.passedOn)
	return n, err
}
