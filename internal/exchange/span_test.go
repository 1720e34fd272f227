package exchange_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/exchange"
)

func TestTimesOfMessagesDoNotOverflow(t *testing.T) {
	g := NewWithT(t)
	for us, want := range map[int64]time.Duration{
		0: 0, 1500: 1500 * time.Microsecond, -1500: -1500 * time.Microsecond, math.MaxInt64: exchange.MaxSpan,
		math.MinInt64: -exchange.MaxSpan, math.MaxInt64/1000 + 1: exchange.MaxSpan,
	} {
		g.Expect(exchange.Span(us)).To(Equal(want))
		g.Expect(exchange.Elapsed(us)).To(Equal(max(want, 0)))
		g.Expect(exchange.ClockReading(us)).To(BeNumerically(">=", 0))
	}
	g.Expect(exchange.ClockReading(5_000_000)).To(Equal(5 * time.Second))
}
