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

// tokenSet holds the hash of each team's token.
type tokenSet struct {
	hashes map[string][]byte
}

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

// opens tells whether the token opens the team's subtree. It compares hashes
// in constant time, also for a team that has no token.
func (s *tokenSet) opens(team, token string) bool {
	given := sha256.Sum256([]byte(token))
	wanted, ok := s.hashes[team]
	if !ok {
		wanted = make([]byte, sha256.Size)
	}
	isEqual := subtle.ConstantTimeCompare(given[:], wanted) == 1
	return ok && isEqual
}

// authorize refuses calls whose token does not open the team of the path. It
// does not tell whether the team exists.
func (a *Admin) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !isBearer || !a.tokens.opens(chi.URLParam(r, "team"), token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			a.refuse(w, http.StatusUnauthorized, "unauthorized", "the token does not open this team's subtree")
			return
		}
		next.ServeHTTP(w, r)
	})
}
