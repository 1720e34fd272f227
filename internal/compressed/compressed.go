// Package compressed compresses messages between figfront's processes in the gzip
// format (RFC 1952).
package compressed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// ErrMalformed is returned for data that can't be decompressed or exceeds the limit.
var ErrMalformed = errors.New("compressed: malformed data")

// writers is a pool of gzip writers; a new writer allocates hundreds of KB.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Compress compresses data. It is safe for concurrent use.
func Compress(data []byte) []byte {
	var buffer bytes.Buffer
	writer, ok := writers.Get().(*gzip.Writer)
	if !ok {
		writer = gzip.NewWriter(io.Discard)
	}
	defer writers.Put(writer)
	writer.Reset(&buffer)
	// Writes to a bytes.Buffer do not fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return buffer.Bytes()
}

// Decompress decompresses the output of Compress. It returns ErrMalformed when the result
// would exceed limit bytes or packed is not valid gzip data.
func Decompress(packed []byte, limit int) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(data) > limit {
		return nil, errors.Wrapf(ErrMalformed, "more than %d bytes", limit)
	}
	return data, nil
}
