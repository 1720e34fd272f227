package callheader

import (
	"net/http"

	"github.com/figfront/figfront/internal/outcome"
)

// Single lists the headers that an upstream sends at most once in a response.
var Single = []string{Load, RateLimit, Shed, Draining, Upstream, outcome.HeaderRequestID, "Retry-After"}

// IsRepeated reports whether one of the named headers occurs more than once. The head then holds
// lines of two responses, and none of them can be attributed to either.
func IsRepeated(h http.Header, names []string) bool {
	for _, name := range names {
		if len(h.Values(name)) > 1 {
			return true
		}
	}
	return false
}
