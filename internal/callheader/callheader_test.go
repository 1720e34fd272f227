package callheader_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/spectest"
)

func TestCallheader(t *testing.T) {
	spectest.Run(t, "callheader")
}

var _ = Describe("the headers of a call", func() {
	It("round-trip a load report", func() {
		report := callheader.Report{Running: 2, Queued: 7}
		got, ok := callheader.ParseReport(report.String())
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(report))
	})

	DescribeTable("reject an absent or malformed load report",
		func(value string) {
			_, ok := callheader.ParseReport(value)
			Expect(ok).To(BeFalse())
		},
		Entry("absent", ""),
		Entry("negative", "running=-1,queued=0"),
		Entry("above the maximum", "running=2000000,queued=0"),
		Entry("not a number", "running=a,queued=b"),
		Entry("swapped", "queued=1,running=1"),
		Entry("a duplicate field", "running=1,queued=1,queued=2"),
	)

	It("round-trip a deadline with millisecond precision", func() {
		h := http.Header{}
		deadline := time.UnixMilli(1_800_000_000_123)
		callheader.SetDeadline(h, deadline)
		got, ok := callheader.ParseDeadline(h)
		Expect(ok).To(BeTrue())
		Expect(got).To(BeTemporally("==", deadline))
	})

	It("treat an absent or malformed attempt as the first", func() {
		Expect(callheader.ParseAttempt(http.Header{})).To(Equal(1))
		Expect(callheader.ParseAttempt(http.Header{"Figfront-Attempt": {"0"}})).To(Equal(1))
		Expect(callheader.ParseAttempt(http.Header{"Figfront-Attempt": {"3"}})).To(Equal(3))
	})
})
