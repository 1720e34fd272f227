package gateway

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/outcome"
)

// sendEnd tells how the context of a send without an accepted response ended.
type sendEnd struct {
	// isSilent means that the send waited for a connection that received nothing.
	isSilent bool
	// isCancelled means that the context ended for another reason, and isLate that it ended at its
	// deadline.
	isCancelled bool
	isLate      bool
}

func newSendEnd(ctx context.Context, trace *sendTrace) sendEnd {
	isSilenceTimeout := errors.Is(context.Cause(ctx), errConnSilent)
	isLate := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return sendEnd{
		isSilent:    trace.isSilent() && (isSilenceTimeout || isLate),
		isCancelled: ctx.Err() != nil && !isSilenceTimeout,
		isLate:      isLate,
	}
}

// handleSendFailure returns the result of a send without an accepted response and records the
// failure.
func (c *call) handleSendFailure(
	ctx context.Context, sent send, trace *sendTrace, body requestBody, err error,
) attemptResult {
	result := attemptResult{upstream: sent.choice.Name, transfer: c.describeError(trace, err)}
	if isConnBroken(ctx, trace, err) {
		result.transfer.UpstreamEnd = c.checkEnd(sent, trace)
	}
	end := newSendEnd(ctx, trace)
	result.isConnectionSilent = end.isSilent
	result.retryReserved = trace.isRetryReserved()
	if end.isSilent {
		c.gateway.options.Counters.Add(groupAnswers, "connection_silent", 1)
		sent.transport.base.CloseIdleConnections()
	}
	result.outcome, result.reason = failureOutcome(trace, err)
	switch {
	case c.r.Context().Err() != nil:
		result.reason = c.endReason()
	case end.isCancelled:
		result.reason = outcome.DeadlinePassed
	}
	isPathAtFault := end.isSilent || c.route.service.isPathAtFault(trace, err)
	isAborted := end.isCancelled && !end.isLate || body.isTruncated != nil && body.isTruncated()
	c.route.service.recordFailure(sent, result.transfer.UpstreamEnd, isPathAtFault, isAborted)
	return result
}

// recordFailure records the failure of a send. It is not held against an upstream that lives if the
// path to it was at fault (a silent connection, the loss of this VM's links), or if the send was
// aborted: by a truncated request body, by its caller, or by the response to another send.
func (s *service) recordFailure(sent send, end upstreamEnd, isPathAtFault, isAborted bool) {
	isUpstreamAtFault := end == upstreamEnded || !isPathAtFault && !isAborted
	switch {
	case isUpstreamAtFault:
		s.endSend(sent, loadbalancer.Result{Failed: true}, end.runResult())
	case isPathAtFault:
		s.abandonSend(sent)
	default:
		s.cancelSend(sent)
	}
}
