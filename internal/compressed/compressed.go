// Package compressed packs what travels between figfront's processes in the format
// of gzip (RFC 1952).
package compressed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// ErrMalformed means that data can't be unpacked or is larger than expected.
var ErrMalformed = errors.New("compressed: malformed data")

// writers holds idle gzip writers; a new one allocates hundreds of KB.
var writers = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// Pack returns the data in a shorter form.
func Pack(data []byte) []byte {
	var buffer bytes.Buffer
	writer, ok := writers.Get().(*gzip.Writer)
	if !ok {
		writer = gzip.NewWriter(io.Discard)
	}
	defer writers.Put(writer)
	writer.Reset(&buffer)
	// A write to memory does not fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return buffer.Bytes()
}

// Unpack returns the data that Pack was given. It returns ErrMalformed for data of
// more than limit bytes.
func Unpack(packed []byte, limit int) ([]byte, error) {
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
