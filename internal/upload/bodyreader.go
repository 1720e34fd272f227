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

// bodyReader reads a stored body part by part. It returns the last bytes only
// after it has verified the hash of the whole body, so that a corrupt body is
// never read completely.
type bodyReader struct {
	ctx     context.Context
	objects platform.Objects
	body    Body
	hash    hash.Hash

	nextPart int
	part     io.ReadCloser
	// partRemaining is the number of unread bytes of the part.
	partRemaining int64
	// readSize is the number of bytes read from all parts.
	readSize int64
}

func newBodyReader(ctx context.Context, objects platform.Objects, body Body) *bodyReader {
	return &bodyReader{ctx: ctx, objects: objects, body: body, hash: sha256.New()}
}

// Read implements io.Reader. It returns ErrCorrupt if the body is not the
// accepted one and ErrUnavailable if a part cannot be read.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.readSize == r.body.Size {
		return 0, r.endErr()
	}
	if r.partRemaining == 0 {
		if err := r.openNext(); err != nil {
			return 0, err
		}
	}
	n, err := r.part.Read(p[:min(int64(len(p)), r.partRemaining)])
	r.hash.Write(p[:n])
	r.partRemaining -= int64(n)
	r.readSize += int64(n)
	if r.readSize == r.body.Size && !errors.Is(r.endErr(), io.EOF) {
		return 0, ErrCorrupt
	}
	if err != nil && r.partRemaining > 0 {
		return n, errors.Wrap(ErrUnavailable, "part ended early")
	}
	return n, nil
}

// endErr returns io.EOF if the hash of the body matches and ErrCorrupt if not.
func (r *bodyReader) endErr() error {
	if hex.EncodeToString(r.hash.Sum(nil)) != r.body.SHA256 {
		return ErrCorrupt
	}
	return io.EOF
}

// openNext closes the current part and opens the next one.
func (r *bodyReader) openNext() error {
	if err := r.Close(); err != nil {
		return err
	}
	part, size, err := r.objects.Open(r.ctx, r.body.PartKey(r.nextPart))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if size != int64(r.body.Parts[r.nextPart]) {
		_ = part.Close()
		return errors.Wrap(ErrCorrupt, "part has the wrong size")
	}
	r.part = part
	r.partRemaining = size
	r.nextPart++
	return nil
}

// Close closes the current part, if any.
func (r *bodyReader) Close() error {
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
