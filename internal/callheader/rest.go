package callheader

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// RetryAfter is the standard header with which an upstream that refuses a call asks for rest.
const RetryAfter = "Retry-After"

// maxRest is the longest rest that is taken at its word.
const maxRest = 24 * time.Hour

// ErrMalformedRest means that a RetryAfter header holds no rest.
var ErrMalformedRest = errors.New("callheader: malformed Retry-After")

// ParseRest parses the RetryAfter header of a refusal, which is a number of seconds that may
// have a fraction. It returns 0 without a header, and 0 and ErrMalformedRest unless there is a
// single one with a number that is not negative and at most maxRest. A date is not taken: the clocks of
// upstreams and VMs differ.
func ParseRest(h http.Header) (time.Duration, error) {
	values := h.Values(RetryAfter)
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) > 1 {
		return 0, errors.Wrapf(ErrMalformedRest, "%d values", len(values))
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	isUsable := err == nil && !math.IsNaN(seconds) && seconds >= 0 && seconds <= maxRest.Seconds()
	if !isUsable {
		return 0, errors.Wrapf(ErrMalformedRest, "value %.40q", values[0])
	}
	return time.Duration(seconds * float64(time.Second)), nil
}
