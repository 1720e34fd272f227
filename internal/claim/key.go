package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// MaxKeyBytes is the longest idempotency key that is accepted.
const MaxKeyBytes = 255

// rowPrefix is the prefix of all claim rows in the table.
const rowPrefix = "claims/"

// Key names a claim: an idempotency key within one service of one team.
type Key struct {
	Team    string
	Service string
	// Idempotency is the key that the caller chose.
	Idempotency string
}

// row returns the key of the claim's row. The caller's key enters as a hash,
// so that it can hold any bytes.
func (k Key) row() string {
	sum := sha256.Sum256([]byte(k.Idempotency))
	return rowPrefix + k.Team + "/" + k.Service + "/" + hex.EncodeToString(sum[:])
}

// Call is what makes two calls with the same key the same call.
type Call struct {
	Method string
	// Path is the escaped path with the query.
	Path string
	Body []byte
}

// fingerprint returns a hash of the call and its team and service. Each field
// is preceded by its length, so that no two calls share an encoding.
func (k Key) fingerprint(call Call) string {
	hash := sha256.New()
	for _, field := range []string{k.Team, k.Service, call.Method, call.Path, string(call.Body)} {
		hash.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return hex.EncodeToString(hash.Sum(nil))
}
