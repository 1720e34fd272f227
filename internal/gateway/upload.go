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

// maxSpools limits the uploads of one VM at once; each holds at most two parts
// in memory.
const maxSpools = 64

// Time that an upload keeps back from its sends to be stored in: a share of the
// whole, at most storeReserve.
const (
	storeReserve      = 15 * time.Second
	storeReserveShare = 4
)

// Times of writing an upload's record: how long it is tried while the table
// refuses, and the pause between two tries.
const (
	createTime  = 5 * time.Second
	createPause = 250 * time.Millisecond
)

// uploadCall is one upload of a caller.
type uploadCall struct {
	*call
	source *upload.Source
	// isKept means that the stored parts must not be deleted.
	isKept bool
	// mayHaveRun means that an upstream may have received a part of the body.
	mayHaveRun bool
}

// serveUpload streams an upload to an upstream. When no upstream acknowledges
// it, the upload is stored for a later delivery if its rule allows that.
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
	defer func() { u.source.Close(u.isKept) }()
	u.serve()
}

func (u *uploadCall) serve() {
	last, problem := u.sendUntilAnswered()
	switch {
	case u.source.Err() != nil:
		u.refuseBody(u.source.Err())
	case problem == nil && u.isAnswer(last):
		u.finish(last)
	case u.canStore():
		closeRest(last.rest)
		u.store()
	case problem != nil:
		u.refuse(*problem)
	default:
		u.finish(last)
	}
}

func (u *uploadCall) canStore() bool {
	return u.partStore() != nil
}

// sendUntilAnswered sends the upload, and sends it again elsewhere while its
// body is still in memory and the budget allows. It returns the last result or
// the problem that kept the upload from being sent.
func (u *uploadCall) sendUntilAnswered() (attemptResult, *outcome.Problem) {
	// A large answer is read after this function; ctx ends with the call then.
	reserve := min(time.Until(u.deadline)/storeReserveShare, storeReserve)
	ctx, cancel := context.WithDeadline(u.ctx, u.deadline.Add(-reserve))
	context.AfterFunc(u.ctx, cancel)
	var last attemptResult
	for {
		reader, ok := u.source.Attach()
		if !ok {
			return last, nil
		}
		sent, problem := u.startSend()
		if problem != nil {
			return last, u.problemAfter(last, problem)
		}
		last = u.sendOnce(ctx, sent, reader)
		if u.isAnswer(last) || u.source.Err() != nil || !u.canSendAgain(last) || ctx.Err() != nil {
			return last, nil
		}
		u.gateway.options.Counters.CountRetry(last.reason)
	}
}

// problemAfter returns the problem that kept an upload from being sent again;
// nil when an earlier send tells more.
func (u *uploadCall) problemAfter(last attemptResult, problem *outcome.Problem) *outcome.Problem {
	if last.upstream != "" {
		return nil
	}
	return problem
}

// sendOnce sends the upload to one upstream.
func (u *uploadCall) sendOnce(ctx context.Context, sent send, reader *upload.Reader) attemptResult {
	a := u.exchange(ctx, sent, requestBody{
		reader:   reader,
		length:   u.r.ContentLength,
		trailer:  u.r.Trailer,
		isWhole:  reader.IsWhole,
		isBroken: func() bool { return u.source.Err() != nil },
	})
	if a.outcome != outcome.NotRun {
		u.mayHaveRun = true
	}
	isEarly := !a.sentWhole && a.reason == "" && a.status < http.StatusMultipleChoices
	if isEarly {
		closeRest(a.rest)
		return attemptResult{upstream: a.upstream, outcome: outcome.Unknown, reason: outcome.UpstreamFailed}
	}
	return a
}

// isAnswer tells whether a send ended the upload: an upstream acknowledged the
// whole body or rejected it. Without a store every answer does.
func (u *uploadCall) isAnswer(a attemptResult) bool {
	if a.reason != "" || a.upstream == "" {
		return false
	}
	if !u.canStore() {
		return true
	}
	return upload.Result{Status: a.status, Whole: a.sentWhole}.Event() != upload.EventUpstreamLost
}

// canSendAgain tells whether the upload may be sent to another upstream. One
// that may be stored is delivered at least once in any case.
func (u *uploadCall) canSendAgain(a attemptResult) bool {
	return u.canStore() || a.outcome == outcome.NotRun
}

// outcomeUnsent returns what is true of an upload that nobody has taken over.
func (u *uploadCall) outcomeUnsent() outcome.Outcome {
	if u.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// refuseBody answers an upload whose body ended before it was whole.
func (u *uploadCall) refuseBody(err error) {
	if errors.Is(err, upload.ErrTooLarge) {
		u.refuse(outcome.New(http.StatusRequestEntityTooLarge, u.outcomeUnsent(), outcome.BodyTooLarge,
			"the upload is above the limit"))
		return
	}
	u.refuse(outcome.New(http.StatusBadRequest, u.outcomeUnsent(), outcome.BodyBroken,
		"the upload's body ended early"))
}

// store reads the rest of the body into the object store, writes the record
// and tells the caller that the upload is accepted.
func (u *uploadCall) store() {
	body, err := u.source.Drain(u.ctx)
	if err != nil {
		u.refuseStore(err)
		return
	}
	record := u.record(body)
	err = u.create(record)
	switch {
	case err == nil:
		u.isKept = true
		u.gateway.wakeDeliverer()
		u.accept(record)
	case errors.Is(err, upload.ErrExists):
		u.acceptAgain(record)
	case errors.Is(err, upload.ErrUncertain):
		u.isKept = true
		u.refuse(outcome.New(http.StatusServiceUnavailable, outcome.Unknown, outcome.StoreUnavailable,
			"it is not known whether the upload was stored").WithRetryAfter(retryAfter))
	default:
		u.refuseStore(err)
	}
}

func (u *uploadCall) record(body upload.Body) upload.Record {
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
			Query:  u.r.URL.RawQuery,
			Header: header,
		},
		Body:     body,
		State:    upload.StatePending,
		Accepted: time.Now().UTC(),
	}
}

// create writes the record and tries again while the table refuses.
func (u *uploadCall) create(record upload.Record) error {
	end := time.Now().Add(createTime)
	for {
		err := u.gateway.uploads.Create(u.ctx, record)
		if !errors.Is(err, upload.ErrUnavailable) || time.Now().After(end) {
			return err
		}
		select {
		case <-time.After(createPause):
		case <-u.ctx.Done():
			return err
		}
	}
}

// acceptAgain answers an upload whose id is taken: it is the same upload once
// more, or another one under the same idempotency key.
func (u *uploadCall) acceptAgain(record upload.Record) {
	found, err := u.gateway.uploads.Get(u.ctx, record.ID)
	if err != nil {
		u.refuseStore(err)
		return
	}
	isSame := found.Record.Body.Equals(record.Body) && found.Record.Call.Path == record.Call.Path
	if !isSame {
		u.refuse(outcome.New(http.StatusUnprocessableEntity, u.outcomeUnsent(), outcome.ClaimMismatch,
			"another upload has this idempotency key"))
		return
	}
	u.accept(found.Record)
}

func (u *uploadCall) accept(record upload.Record) {
	u.gateway.options.Counters.Add(telemetry.GroupUploads, "accepted", 1)
	u.log(u.tell(outcome.Accepted), "", "")
	u.informational.end()
	newStallWriter(u.w)
	u.w.Header().Set("Location", uploadStatusPath+record.ID)
	u.w.Header().Set(callheader.UploadID, record.ID)
	u.w.Header().Set(outcome.HeaderOutcome, string(outcome.Accepted))
	u.w.Header().Set(outcome.HeaderRequestID, u.id)
	writeStatus(u.w, http.StatusAccepted, record)
}

// refuseStore answers an upload that neither an upstream nor the store took.
func (u *uploadCall) refuseStore(err error) {
	if bodyErr := u.source.Err(); bodyErr != nil {
		u.refuseBody(bodyErr)
		return
	}
	u.gateway.options.Log.Warn("upload not stored", telemetry.FieldRequestID, u.id, telemetry.FieldError, err)
	u.refuse(outcome.New(http.StatusServiceUnavailable, u.outcomeUnsent(), outcome.StoreUnavailable,
		"no upstream took the upload and it could not be stored").WithRetryAfter(retryAfter))
}
