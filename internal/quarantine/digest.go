package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// DigestBytes is the length of a Digest.
const DigestBytes = 16

// Digest identifies a request by what it asks for. All VMs compute the same one. The zero
// Digest means that the request is not identified; it is never held.
type Digest [DigestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// IsZero reports whether the request is not identified.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// ParseDigest returns the Digest with the given bytes; the zero Digest if their number is
// wrong.
func ParseDigest(raw []byte) Digest {
	var d Digest
	if len(raw) == DigestBytes {
		copy(d[:], raw)
	}
	return d
}

// ParseHexDigest returns the Digest with the given hexadecimal text; the zero Digest if it is
// none.
func ParseHexDigest(text string) Digest {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}
	}
	return ParseDigest(raw)
}

// Head is what identifies a request besides its body. It leaves out what differs between two
// attempts at the same request, such as its ID and its deadline.
type Head struct {
	Method string
	Host   string
	// Path is the escaped path with the query.
	Path string
	// Caller is the network address of the caller, without a port.
	Caller string
}

// Hasher computes the Digest of a request whose body is written to it.
type Hasher struct {
	hash hash.Hash
}

// NewHasher returns a Hasher for a request with an empty body.
func NewHasher(head Head) *Hasher {
	h := &Hasher{hash: sha256.New()}
	for _, field := range []string{head.Method, head.Host, head.Path, head.Caller} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.hash.Write(length[:])
		_, _ = io.WriteString(h.hash, field)
	}
	return h
}

// Write adds the next bytes of the body. It never returns an error.
func (h *Hasher) Write(p []byte) (int, error) {
	return h.hash.Write(p)
}

// Digest returns the Digest of the request with the body so far.
func (h *Hasher) Digest() Digest {
	return ParseDigest(h.hash.Sum(nil)[:DigestBytes])
}
