package callheader

import (
	"math"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// Rate is the rate of calls that an upstream accepts from all VMs together. The zero Rate
// means that the upstream names none.
type Rate struct {
	IsNamed bool
	// PerSecond is finite and not negative.
	PerSecond float64
}

// ErrMalformedRate means that a RateLimit header holds no rate.
var ErrMalformedRate = errors.New("callheader: malformed rate limit")

// ParseRate parses the RateLimit header of a response. It returns the zero Rate and
// ErrMalformedRate unless there is no header or a single one with a number that is finite
// and not negative.
func ParseRate(h http.Header) (Rate, error) {
	values := h.Values(RateLimit)
	if len(values) == 0 {
		return Rate{}, nil
	}
	if len(values) > 1 {
		return Rate{}, errors.Wrapf(ErrMalformedRate, "%d values", len(values))
	}
	perSecond, err := strconv.ParseFloat(values[0], 64)
	if err != nil || math.IsInf(perSecond, 0) || !(perSecond >= 0) {
		return Rate{}, errors.Wrapf(ErrMalformedRate, "value %.40q", values[0])
	}
	return Rate{IsNamed: true, PerSecond: perSecond}, nil
}
