package gateway

import (
	"io"
)

// Sizes of the pieces of a body in memory.
const (
	// minPieceBytes is the size of the first piece of a body of unknown length, and maxPieceBytes that
	// of the largest pieces.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
)

// heldBody is a body in memory, as a list of pieces: a body that grows is not copied, and takes no more
// than one piece above its length.
type heldBody struct {
	pieces [][]byte
	length int64
}

// nextPieceBytes returns the size of the next piece of a body whose length is known to be announced bytes,
// or not known if that is below 0.
func (b *heldBody) nextPieceBytes(announced int64) int {
	size := min(max(b.length, minPieceBytes), maxPieceBytes)
	if left := announced - b.length; announced >= 0 {
		size = min(size, left)
	}
	return int(size)
}

// addPiece adds an empty piece.
func (b *heldBody) addPiece(size int) {
	b.pieces = append(b.pieces, make([]byte, 0, size))
}

// free returns the free part of the last piece; empty if it is full.
func (b *heldBody) free() []byte {
	if len(b.pieces) == 0 {
		return nil
	}
	last := b.pieces[len(b.pieces)-1]
	return last[len(last):cap(last)]
}

// fill records that bytes were written to the free part of the last piece.
func (b *heldBody) fill(bytes int) {
	last := &b.pieces[len(b.pieces)-1]
	*last = (*last)[:len(*last)+bytes]
	b.length += int64(bytes)
}

// Size returns the length of the body, in bytes.
func (b *heldBody) Size() int64 {
	return b.length
}

// WriteTo writes the body to w.
func (b *heldBody) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, piece := range b.pieces {
		n, err := w.Write(piece)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// reader returns a reader of the body from its first byte on.
func (b *heldBody) reader() io.Reader {
	return &heldBodyReader{left: b.pieces}
}

// heldBodyReader reads a heldBody.
type heldBodyReader struct {
	left [][]byte
	// offset is the number of bytes of the first piece that were read.
	offset int
}

// Read reads the next bytes.
func (r *heldBodyReader) Read(p []byte) (int, error) {
	for len(r.left) > 0 && r.offset == len(r.left[0]) {
		r.left, r.offset = r.left[1:], 0
	}
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.left[0][r.offset:])
	r.offset += n
	return n, nil
}
