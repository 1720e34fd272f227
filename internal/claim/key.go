package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
)

// MaxKeyBytes is the maximum length of an idempotency key, in bytes.
const MaxKeyBytes = 255

// rowPrefix is the prefix of all claim rows in the table.
const rowPrefix = "claims/"

// Key identifies a claim: an idempotency key within one service of one team.
type Key struct {
	Team    string
	Service string
	// Idempotency is the caller's idempotency key.
	Idempotency string
}

// rowKey returns the key of the claim's row in the table. It contains the
// SHA-256 hash of the idempotency key, which may consist of arbitrary bytes.
func (k Key) rowKey() string {
	sum := sha256.Sum256([]byte(k.Idempotency))
	return rowPrefix + k.Team + "/" + k.Service + "/" + hex.EncodeToString(sum[:])
}

// Call contains the parts of a request that must match for two requests with
// the same idempotency key to count as the same call.
type Call struct {
	Method string
	// Path is the escaped path, including the query string.
	Path string
	// Body is nil if there is none.
	Body Body
}

// Body is the body of a call.
type Body interface {
	// WriteTo writes the whole body, each time it is called.
	io.WriterTo
	// Size returns the length of the body, in bytes.
	Size() int64
}

// fingerprint returns a hash of the call, its team and its service. Each field
// is prefixed with its length, so that different calls have different
// encodings.
func (k Key) fingerprint(call Call) string {
	hash := sha256.New()
	for _, field := range []string{k.Team, k.Service, call.Method, call.Path} {
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	writeBody(hash, call.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// writeBody adds a body to a hash, in the encoding of the other fields. Writes to a hash do not fail.
func writeBody(hash io.Writer, body Body) {
	if body == nil {
		_, _ = io.WriteString(hash, "0:")
		return
	}
	_, _ = io.WriteString(hash, strconv.FormatInt(body.Size(), 10)+":")
	_, _ = body.WriteTo(hash)
}
