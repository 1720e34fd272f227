package callheader_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
)

func TestRestOfARefusal(t *testing.T) {
	g := NewWithT(t)
	for value, want := range map[string]time.Duration{"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "3600": time.Hour, "0": 0} {
		got, err := callheader.ParseRest(http.Header{"Retry-After": {value}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want), value)
	}
	g.Expect(callheader.ParseRest(http.Header{})).To(BeZero())
	for _, values := range [][]string{
		{""}, {"-1"}, {"soon"}, {"Inf"}, {"NaN"}, {"1e300"}, {"86401"}, {"3", "3"}, {"Wed, 21 Oct 2026 07:28:00 GMT"},
	} {
		got, err := callheader.ParseRest(http.Header{"Retry-After": values})
		g.Expect(err).To(MatchError(callheader.ErrMalformedRest), "%v", values)
		g.Expect(got).To(BeZero())
	}
}
