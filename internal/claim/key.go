package claim

import (
	"crypto/sha256"
	"encoding/hex"
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
	Body []byte
}

// fingerprint returns a hash of the call, its team and its service. Each field
// is prefixed with its length, so that different calls have different
// encodings.
func (k Key) fingerprint(call Call) string {
	hash := sha256.New()
	for _, field := range []string{k.Team, k.Service, call.Method, call.Path, string(call.Body)} {
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hex.EncodeToString(hash.Sum(nil))
}
