package upload

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/wait"
)

// update writes next in place of from, within updateTimeout. If the record has changed
// since it was read, the lease decides: an earlier renewal of the same lease may have
// been written without a response. Only a record that is no longer under that lease
// means ErrLeaseLost.
func (d *Deliverer) update(ctx context.Context, from VersionedRecord, next Record) (VersionedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	updated, err := d.store.Update(ctx, from, next)
	if !errors.Is(err, ErrLeaseLost) {
		return updated, err
	}
	current, err := d.store.Get(ctx, next.ID)
	switch {
	case errors.Is(err, ErrUnavailable):
		return from, err
	case err != nil || !current.Record.hasLeaseOf(from.Record):
		return from, ErrLeaseLost
	default:
		return d.store.Update(ctx, current, next)
	}
}

// renewLease renews the lease until ctx is done and then sends the last written
// record on the returned channel. If the record has changed because another VM
// took the lease, it cancels the delivery. If the table is unavailable, the
// delivery continues: other VMs cannot take the lease either.
func (d *Deliverer) renewLease(ctx context.Context, cancelDelivery context.CancelFunc, stored VersionedRecord) <-chan VersionedRecord {
	last := make(chan VersionedRecord, 1)
	go func() {
		defer func() { last <- stored }()
		for wait.For(ctx, LeaseTime/3) {
			next, err := d.stateMachine.Renew(time.Now(), stored.Record)
			if err != nil {
				return
			}
			renewed, err := d.update(context.WithoutCancel(ctx), stored, next)
			if errors.Is(err, ErrLeaseLost) {
				d.count("lease_lost")
				cancelDelivery()
				return
			}
			stored = renewed
		}
	}()
	return last
}
