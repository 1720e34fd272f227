package upload

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/platform"
)

// storedReader reads a stored body part by part. It gives the last bytes only
// after they were compared with the hash of the accepted body, so that a
// damaged one never looks whole.
type storedReader struct {
	ctx     context.Context
	objects platform.Objects
	body    Body
	hash    hash.Hash

	next int
	part io.ReadCloser
	// left is the number of bytes of the part that are still to come.
	left int64
	sent int64
}

func newStoredReader(ctx context.Context, objects platform.Objects, body Body) *storedReader {
	return &storedReader{ctx: ctx, objects: objects, body: body, hash: sha256.New()}
}

// Read reads the next bytes.
func (r *storedReader) Read(p []byte) (int, error) {
	if r.sent == r.body.Size {
		return 0, r.end()
	}
	if r.left == 0 {
		if err := r.openNext(); err != nil {
			return 0, err
		}
	}
	n, err := r.part.Read(p[:min(int64(len(p)), r.left)])
	r.hash.Write(p[:n])
	r.left -= int64(n)
	r.sent += int64(n)
	if r.sent == r.body.Size && !errors.Is(r.end(), io.EOF) {
		return 0, ErrCorrupt
	}
	if err != nil && r.left > 0 {
		return n, errors.Wrap(ErrUnavailable, "part ended early")
	}
	return n, nil
}

// end returns io.EOF when the body is the accepted one.
func (r *storedReader) end() error {
	if hex.EncodeToString(r.hash.Sum(nil)) != r.body.SHA256 {
		return ErrCorrupt
	}
	return io.EOF
}

func (r *storedReader) openNext() error {
	if err := r.Close(); err != nil {
		return err
	}
	part, size, err := r.objects.Open(r.ctx, r.body.PartKey(r.next))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if size != int64(r.body.Parts[r.next]) {
		_ = part.Close()
		return errors.Wrap(ErrCorrupt, "size of a part")
	}
	r.part = part
	r.left = size
	r.next++
	return nil
}

// Close closes the part that is open.
func (r *storedReader) Close() error {
	if r.part == nil {
		return nil
	}
	part := r.part
	r.part = nil
	if err := part.Close(); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}
