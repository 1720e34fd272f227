package gateway

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upload"
)

// createRecord writes the record and retries while the table is unavailable.
func (u *uploadCall) createRecord(record upload.Record) error {
	end := time.Now().Add(createTimeout)
	for {
		err := u.gateway.uploads.Create(u.ctx, record)
		if !errors.Is(err, upload.ErrUnavailable) || time.Now().After(end) {
			return err
		}
		select {
		case <-time.After(createRetryInterval):
		case <-u.ctx.Done():
			return err
		}
	}
}

// acceptDuplicate answers an upload whose ID already exists: either a retry of
// the same upload, or another upload with the same idempotency key.
func (u *uploadCall) acceptDuplicate(record upload.Record) {
	found, err := u.gateway.uploads.Get(u.ctx, record.ID)
	if err != nil {
		u.gateway.options.Log.Warn("stored upload can't be read", telemetry.FieldRequestID, u.id, telemetry.FieldError, err)
		u.refuseUndelivered(outcome.Unknown, "an upload with this idempotency key is stored and can't be read now")
		return
	}
	isSame := found.Record.Body.Equals(record.Body) && found.Record.Call.Path == record.Call.Path
	if !isSame {
		u.refuse(outcome.New(http.StatusUnprocessableEntity, u.undeliveredOutcome(), outcome.ClaimMismatch,
			"another upload has this idempotency key"))
		return
	}
	u.accept(found.Record)
}

// accept answers 202 with the status and the location of a stored upload.
func (u *uploadCall) accept(record upload.Record) {
	u.gateway.options.Counters.Add(telemetry.GroupUploads, "accepted", 1)
	if deliverer := u.gateway.deliverer.Load(); deliverer != nil {
		deliverer.Accepted(record)
	}
	u.logCall(u.conclude(outcome.Accepted), "", "")
	u.interim.end()
	newStallWriter(u.w)
	u.w.Header().Set("Location", uploadStatusPath+record.ID)
	u.w.Header().Set(callheader.UploadID, record.ID)
	u.w.Header().Set(outcome.HeaderOutcome, string(outcome.Accepted))
	u.w.Header().Set(outcome.HeaderRequestID, u.id)
	writeStatus(u.w, http.StatusAccepted, record)
}
