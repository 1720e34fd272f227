package callheader_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
)

// TestRateIsASingleFiniteNumber parses usable and unusable values.
func TestRateIsASingleFiniteNumber(t *testing.T) {
	g := NewWithT(t)
	for value, want := range map[string]float64{"0": 0, "0.3": 0.3, "12": 12, "1e2": 100} {
		rate, err := callheader.ParseRate(http.Header{callheader.RateLimit: {value}})
		g.Expect(err).NotTo(HaveOccurred(), value)
		g.Expect(rate).To(Equal(callheader.Rate{IsNamed: true, PerSecond: want}), value)
	}
	for _, values := range [][]string{{""}, {"-1"}, {"NaN"}, {"Inf"}, {"+Inf"}, {"1e999"}, {"many"}, {"1, 2"}, {"1", "2"}} {
		rate, err := callheader.ParseRate(http.Header{callheader.RateLimit: values})
		g.Expect(err).To(MatchError(callheader.ErrMalformedRate), "%q", values)
		g.Expect(rate).To(Equal(callheader.Rate{}), "%q", values)
	}
	rate, err := callheader.ParseRate(http.Header{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rate.IsNamed).To(BeFalse())
}
