package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/figfront/figfront/internal/config/static"
)

// tokenSet holds the SHA-256 hash of each team's token by team.
type tokenSet struct {
	hashes map[string][]byte
}

// newTokenSet returns the set of the given tokens, without those whose hash is not
// hexadecimal.
func newTokenSet(tokens []static.Token) *tokenSet {
	set := &tokenSet{hashes: make(map[string][]byte, len(tokens))}
	for _, token := range tokens {
		hash, err := hex.DecodeString(token.SHA256)
		if err == nil {
			set.hashes[token.Team] = hash
		}
	}
	return set
}

// allows reports whether the token gives access to the team's subtree. It compares
// hashes in constant time, even for a team without a token, so that the time does not
// reveal which teams exist.
func (s *tokenSet) allows(team, token string) bool {
	got := sha256.Sum256([]byte(token))
	want, ok := s.hashes[team]
	if !ok {
		want = make([]byte, sha256.Size)
	}
	isEqual := subtle.ConstantTimeCompare(got[:], want) == 1
	return ok && isEqual
}

// authorize refuses requests whose bearer token does not give access to the team in
// the path. The response does not reveal whether the team exists.
func (a *Admin) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !isBearer || !a.tokens.allows(chi.URLParam(r, "team"), token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			a.refuse(w, http.StatusUnauthorized, "unauthorized", "the token does not open this team's subtree")
			return
		}
		next.ServeHTTP(w, r)
	})
}
