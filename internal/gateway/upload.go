package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upload"
)

// maxSpools limits the concurrent uploads of one VM; each holds at most two parts
// in memory.
const maxSpools = 64

// The sends of an upload end before its deadline, to reserve time for storing the
// body: the time left divided by storeReserveDivisor, at most maxStoreReserve.
const (
	maxStoreReserve     = 15 * time.Second
	storeReserveDivisor = 4
)

// createTimeout is how long the write of an upload's record is retried while the
// table refuses it, createRetryInterval the pause between two tries.
const (
	createTimeout       = 5 * time.Second
	createRetryInterval = 250 * time.Millisecond
)

// uploadCall is one upload from a caller.
type uploadCall struct {
	*call
	source *upload.Source
	// keepParts means that the stored parts must not be deleted.
	keepParts bool
	// mayHaveRun means that an upstream may have received part of the body.
	mayHaveRun bool
}

// serveUpload streams an upload to an upstream. When no upstream acknowledges it,
// the upload is stored for later delivery if its rule allows that.
func (c *call) serveUpload() {
	limit := int64(c.route.rule.settings.MaxBody)
	if c.r.ContentLength > limit {
		c.refuse(outcome.New(http.StatusRequestEntityTooLarge, outcome.NotRun, outcome.BodyTooLarge,
			"the upload is above the limit"))
		return
	}
	spool, ok := upload.NewSpool(c.ctx, c.gateway.spools, c.partStore())
	if !ok {
		c.refuse(outcome.New(http.StatusServiceUnavailable, outcome.NotRun, outcome.ConcurrencyLimit,
			"this VM takes no more uploads now").WithRetryAfter(retryAfter))
		return
	}
	c.uploadID = upload.NewID(c.route.service.team, c.route.service.name, c.r.Header.Get(callheader.IdempotencyKey))
	u := &uploadCall{
		call:   c,
		source: upload.NewSource(c.r.Body, c.r.ContentLength, limit, spool),
	}
	defer func() { u.source.Close(u.keepParts) }()
	u.serve()
}

// serve sends the upload and answers it, or stores it.
func (u *uploadCall) serve() {
	last, problem := u.sendUntilAnswered()
	switch {
	case u.source.Err() != nil:
		u.refuseBody(u.source.Err())
	case problem == nil && u.isConclusive(last):
		u.respond(last)
	case u.canStore():
		closeRest(last.rest)
		u.store()
	case problem != nil:
		u.refuse(*problem)
	default:
		u.respond(last)
	}
}

// canStore reports whether the upload may be stored.
func (u *uploadCall) canStore() bool {
	return u.partStore() != nil
}

// sendUntilAnswered sends the upload, and retries it on other upstreams while its
// body is still in memory and the budget allows it. It returns the last result or
// the problem that kept the upload from being sent.
func (u *uploadCall) sendUntilAnswered() (attemptResult, *outcome.Problem) {
	// The context is not cancelled here but with the call, because a large
	// response is read after this function returns.
	reserve := min(time.Until(u.deadline)/storeReserveDivisor, maxStoreReserve)
	ctx, cancel := context.WithDeadline(u.ctx, u.deadline.Add(-reserve))
	context.AfterFunc(u.ctx, cancel)
	var last attemptResult
	for {
		body, ok := u.streamedBody()
		if !ok {
			return last, nil
		}
		sent, problem := u.startSend()
		if problem != nil {
			return last, u.problemIfUnsent(last, problem)
		}
		last = u.sendOnce(ctx, sent, body)
		if u.isConclusive(last) || u.source.Err() != nil || !u.canResend(last) || ctx.Err() != nil {
			return last, nil
		}
		u.gateway.options.Counters.CountRetry(last.reason)
	}
}

// problemIfUnsent returns the problem that kept an upload from being sent; nil when
// an earlier send has a result, which says more.
func (u *uploadCall) problemIfUnsent(last attemptResult, problem *outcome.Problem) *outcome.Problem {
	if last.upstream != "" {
		return nil
	}
	return problem
}

// streamedBody returns the upload's body from its first byte. It returns false if that is no longer
// in memory.
func (u *uploadCall) streamedBody() (requestBody, bool) {
	reader, ok := u.source.Attach()
	if !ok {
		return requestBody{}, false
	}
	return requestBody{
		reader:      reader,
		length:      u.r.ContentLength,
		trailer:     u.r.Trailer,
		isComplete:  reader.IsComplete,
		restart:     u.streamedBody,
		isTruncated: func() bool { return u.source.Err() != nil },
	}, true
}

// sendOnce sends the upload to one upstream. A 2xx response that arrives before
// the whole body was sent counts as a failure with an unknown outcome.
func (u *uploadCall) sendOnce(ctx context.Context, sent send, body requestBody) attemptResult {
	a := u.confineSend(sent, func() attemptResult { return u.roundTrip(ctx, sent, body) })
	if a.outcome != outcome.NotRun {
		u.mayHaveRun = true
	}
	isPremature := !a.bodySent && a.reason == "" && a.status < http.StatusMultipleChoices
	if isPremature {
		closeRest(a.rest)
		return attemptResult{upstream: a.upstream, outcome: outcome.Unknown, reason: outcome.UpstreamFailed}
	}
	return a
}

// isConclusive reports whether a send ended the upload: an upstream acknowledged
// the whole body or rejected it. If the upload can't be stored, every response
// ends it.
func (u *uploadCall) isConclusive(a attemptResult) bool {
	if a.reason != "" || a.upstream == "" {
		return false
	}
	if !u.canStore() {
		return true
	}
	return upload.Result{Status: a.status, BodySent: a.bodySent}.Event() != upload.EventUpstreamLost
}

// canResend reports whether the upload may be sent to another upstream. An upload
// that may be stored is delivered at least once, so it may always be sent again.
func (u *uploadCall) canResend(a attemptResult) bool {
	return u.canStore() || a.outcome == outcome.NotRun
}

// undeliveredOutcome returns the outcome of an upload that was neither
// acknowledged nor stored.
func (u *uploadCall) undeliveredOutcome() outcome.Outcome {
	if u.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// refuseBody refuses an upload whose body was not received whole.
func (u *uploadCall) refuseBody(err error) {
	if u.isEndedByStop() {
		u.refuse(endedAtStop(u.undeliveredOutcome()))
		return
	}
	if errors.Is(err, upload.ErrTooLarge) {
		u.refuse(outcome.New(http.StatusRequestEntityTooLarge, u.undeliveredOutcome(), outcome.BodyTooLarge,
			"the upload is above the limit"))
		return
	}
	u.refuse(outcome.New(http.StatusBadRequest, u.undeliveredOutcome(), outcome.BodyBroken,
		"the upload's body ended early"))
}

// store reads the rest of the body into the object store, writes the record and
// answers that the upload is accepted.
func (u *uploadCall) store() {
	body, err := u.source.Drain(u.ctx)
	if err != nil {
		u.refuseUnstored(err)
		return
	}
	record := u.newRecord(body)
	err = u.createRecord(record)
	switch {
	case err == nil:
		u.keepParts = true
		u.gateway.wakeDeliverer()
		u.accept(record)
	case errors.Is(err, upload.ErrExists):
		u.acceptDuplicate(record)
	case errors.Is(err, upload.ErrUncertain):
		u.keepParts = true
		u.refuseUndelivered(outcome.Unknown, "it is not known whether the upload was stored")
	default:
		u.refuseUnstored(err)
	}
}

// newRecord returns the record of an upload that is to be stored.
func (u *uploadCall) newRecord(body upload.Body) upload.Record {
	header := upstreamHeader(u.r, u.id, u.attempts, u.deadline)
	for _, name := range []string{callheader.Deadline, callheader.Attempt, outcome.HeaderRequestID} {
		header.Del(name)
	}
	return upload.Record{
		ID:      u.uploadID,
		Team:    u.route.service.team,
		Service: u.route.service.name,
		Call: upload.Call{
			Method: u.r.Method,
			Host:   u.r.Host,
			Path:   u.route.path,
			Query:  u.target.Query, HasQuery: u.target.HasQuery,
			Header: header,
		},
		Body:     body,
		State:    upload.StatePending,
		Accepted: time.Now().UTC(),
	}
}

// refuseUnstored refuses an upload that neither an upstream nor the store accepted.
func (u *uploadCall) refuseUnstored(err error) {
	if u.isEndedByStop() {
		u.refuse(endedAtStop(u.undeliveredOutcome()))
		return
	}
	if bodyErr := u.source.Err(); bodyErr != nil {
		u.refuseBody(bodyErr)
		return
	}
	u.gateway.options.Log.Warn("upload not stored", telemetry.FieldRequestID, u.id, telemetry.FieldError, err)
	u.refuseUndelivered(u.undeliveredOutcome(), "no upstream took the upload and it could not be stored")
}

// refuseUndelivered refuses an upload whose receipt neither an upstream nor the store
// has confirmed. A record that may have been written can still run, as a send can.
func (u *uploadCall) refuseUndelivered(out outcome.Outcome, detail string) {
	if out != outcome.NotRun {
		u.state.fire(eventMayHaveRun)
	}
	u.refuse(outcome.New(http.StatusServiceUnavailable, out, outcome.StoreUnavailable, detail).WithRetryAfter(retryAfter))
}
