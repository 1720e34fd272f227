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

// Digest is a hash of what a request asks for. All VMs compute the same one. The zero Digest
// means that the request is not identified; it is never held.
type Digest [DigestBytes]byte

// Identity identifies a request twice: with its caller, since a request may be deadly for what
// the upstreams keep of its caller, and without, since it may come from changing addresses.
type Identity struct {
	Exact     Digest
	AnyCaller Digest
}

// callerID tells callers apart in the record of a request of any caller.
func (id Identity) callerID() uint32 {
	return id.Exact.callerID()
}

func (d Digest) callerID() uint32 {
	return binary.BigEndian.Uint32(d[:])
}

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

// Hasher computes the Identity of a request whose body is written to it.
type Hasher struct {
	// hash is that of the request without its caller.
	hash   hash.Hash
	caller string
}

// NewHasher returns a Hasher for a request with an empty body.
func NewHasher(head Head) *Hasher {
	h := &Hasher{hash: sha256.New(), caller: head.Caller}
	for _, field := range []string{head.Method, head.Host, head.Path} {
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

// Identity returns the Identity of the request with the body so far.
func (h *Hasher) Identity() Identity {
	sum := h.hash.Sum(nil)
	exact := sha256.Sum256(append(sum, h.caller...))
	return Identity{Exact: ParseDigest(exact[:DigestBytes]), AnyCaller: ParseDigest(sum[:DigestBytes])}
}
