package outcome_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/spectest"
)

func TestOutcome(t *testing.T) {
	spectest.Run(t, "outcome")
}

var _ = Describe("a problem", func() {
	It("carries outcome, reason and request id in the headers and the body", func() {
		w := httptest.NewRecorder()
		p := outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.QueueFull, "full").
			WithRetryAfter(1200 * time.Millisecond)
		p.RequestID = "r-1"
		p.Write(w)

		Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(w.Header().Get("Content-Type")).To(Equal("application/problem+json"))
		Expect(w.Header().Get("Retry-After")).To(Equal("2"))
		Expect(w.Header().Get(outcome.HeaderOutcome)).To(Equal("not run"))
		var got outcome.Problem
		Expect(json.Unmarshal(w.Body.Bytes(), &got)).To(Succeed())
		Expect(got.Type).To(Equal("urn:figfront:problem:queue_full"))
		Expect(got.Reason).To(Equal(outcome.QueueFull))
		Expect(got.RequestID).To(Equal("r-1"))
	})
})

var _ = DescribeTable("the status of a problem implies not run only with that outcome",
	func(status int) {
		for _, out := range []outcome.Outcome{outcome.Ran, outcome.NotRun, outcome.Unknown, outcome.Accepted} {
			problems := []outcome.Problem{
				outcome.New(status, out, outcome.NoUpstream, ""),
				outcome.New(status, outcome.NotRun, outcome.NoUpstream, "").WithOutcome(out),
			}
			for _, p := range problems {
				w := httptest.NewRecorder()
				p.Write(w)
				want := http.StatusBadGateway
				if out == outcome.NotRun {
					want = status
				}
				Expect(w.Code).To(Equal(want), string(out))
				Expect(p.Title).To(Equal(http.StatusText(want)))
			}
		}
	},
	Entry("408", http.StatusRequestTimeout),
	Entry("421", http.StatusMisdirectedRequest),
	Entry("429", http.StatusTooManyRequests),
	Entry("503", http.StatusServiceUnavailable),
)
