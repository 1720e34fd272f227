package retry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/retry"
)

var _ = Describe("Decide", func() {
	lookup := retry.Call{IsIdempotent: true, Attempt: 1}
	booking := retry.Call{Attempt: 1}
	DescribeTable("allows a retry only where it is safe",
		func(call retry.Call, failure retry.Failure, want retry.Verdict) {
			Expect(retry.Decide(call, failure)).To(Equal(want))
		},
		Entry("a booking that was shed", booking,
			retry.Failure{Outcome: outcome.NotRun, Reason: outcome.UpstreamShed}, retry.Retry),
		Entry("a booking without a connection to the upstream", booking,
			retry.Failure{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}, retry.Retry),
		Entry("a booking that may have run", booking,
			retry.Failure{Outcome: outcome.Unknown, Reason: outcome.UpstreamFailed}, retry.NoRetryMayHaveRun),
		Entry("a booking that ran", booking,
			retry.Failure{Outcome: outcome.Ran, Reason: outcome.UpstreamFailed}, retry.NoRetryMayHaveRun),
		Entry("a lookup that may have run", lookup,
			retry.Failure{Outcome: outcome.Unknown, Reason: outcome.UpstreamFailed}, retry.Retry),
		Entry("a lookup with a truncated response", lookup,
			retry.Failure{Outcome: outcome.Ran, Reason: outcome.UpstreamTruncated}, retry.Retry),
		Entry("a lookup past its deadline", lookup,
			retry.Failure{Outcome: outcome.Unknown, Reason: outcome.DeadlinePassed}, retry.NoRetryTooLate),
		Entry("a lookup whose caller disconnected", lookup,
			retry.Failure{Outcome: outcome.Unknown, Reason: outcome.CallerGone}, retry.NoRetryTooLate),
		Entry("a failure on which a later hop gave up", lookup,
			retry.Failure{Outcome: outcome.Ran, Reason: outcome.UpstreamFailed, IsFromLaterHop: true}, retry.NoRetryFromLaterHop),
		Entry("a call that an earlier hop sent again", retry.Call{IsIdempotent: true, Attempt: 2},
			retry.Failure{Outcome: outcome.NotRun, Reason: outcome.UpstreamShed}, retry.NoRetryFromEarlierHop),
	)
})

var _ = Describe("Call", func() {
	It("increments the attempt number for a retry and keeps that of an earlier hop", func() {
		Expect(retry.Call{Attempt: 1}.AttemptNumber(1)).To(Equal(1))
		Expect(retry.Call{Attempt: 1}.AttemptNumber(2)).To(Equal(2))
		Expect(retry.Call{Attempt: 3}.AttemptNumber(1)).To(Equal(3))
		Expect(retry.Call{}.AttemptNumber(1)).To(Equal(1))
	})
})
