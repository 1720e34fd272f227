package upload

import (
	"context"
	"time"

	"github.com/figfront/figfront/internal/telemetry"
)

// deliver takes the lease, sends the upload once and writes the result.
func (d *Deliverer) deliver(ctx context.Context, stored VersionedRecord) {
	leased, err := d.stateMachine.Lease(time.Now(), stored.Record, d.options.Holder)
	if err != nil {
		return
	}
	stored, err = d.update(ctx, stored, leased)
	if err != nil {
		d.count("lease_not_taken")
		return
	}
	d.count("delivery_started")
	deliveryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewal := d.renewLease(deliveryCtx, cancel, stored)
	body := newBodyReader(deliveryCtx, d.options.Objects, stored.Record.Body)
	result := d.options.Sender.SendUpload(deliveryCtx, stored.Record, body)
	cancel()
	stored = <-renewal
	_ = body.Close()
	d.finish(ctx, stored, result)
}

// finish writes the result of a delivery. The upload's parts are deleted some time after the
// state delivered has been written.
func (d *Deliverer) finish(ctx context.Context, stored VersionedRecord, result Result) {
	next, err := d.nextRecord(ctx, stored.Record, result)
	if err != nil {
		return
	}
	d.options.Log.Info("upload delivery ended", telemetry.FieldRequestID, next.ID, telemetry.FieldTeam, next.Team,
		telemetry.FieldService, next.Service, "state", next.State, "status", result.Status,
		telemetry.FieldAttempt, next.Attempts, "ended", next.Ended)
	if _, err := d.update(context.WithoutCancel(ctx), stored, next); err != nil {
		d.count("result_not_written")
		return
	}
	d.count("delivery_" + string(next.State))
	if next.IsHeld() {
		d.count("delivery_held")
		d.options.Log.Warn("upload is held: upstreams end under it", telemetry.FieldRequestID, next.ID,
			telemetry.FieldTeam, next.Team, telemetry.FieldService, next.Service, "ended", next.Ended)
	}
	if next.State == StateDelivered {
		d.keepParts(next.ID, next.Body)
	}
}

// nextRecord returns the record after a delivery. A delivery that was cancelled
// by a shutdown of this VM releases the lease without a retry delay.
func (d *Deliverer) nextRecord(ctx context.Context, r Record, result Result) (Record, error) {
	if ctx.Err() != nil && result.Status == 0 {
		return d.stateMachine.Release(time.Now(), r)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stateMachine.Finish(time.Now(), r, result, d.random)
}
