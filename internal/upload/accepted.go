package upload

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/telemetry"
)

const (
	// acceptedCheckDelay is the time after which a VM checks that the table still has an
	// upload that it has accepted. It is longer than the age of a copy that the table may
	// come back from: a later copy holds the record.
	acceptedCheckDelay = 15 * time.Second
	// maxAccepted limits the accepted uploads that are still to be checked.
	maxAccepted = 1000
)

// acceptedUpload is an upload that this VM has told its caller to be stored.
type acceptedUpload struct {
	record  Record
	checkAt time.Time
}

// Accepted makes sure that an upload whose caller was told that it is stored is not lost when
// the table comes back from an older copy: once, after acceptedCheckDelay, it writes the
// record again if the table has lost it. It is safe for concurrent use.
func (d *Deliverer) Accepted(r Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.accepted) >= maxAccepted {
		d.count("accepted_unchecked")
		return
	}
	d.accepted = append(d.accepted, acceptedUpload{record: r, checkAt: time.Now().Add(acceptedCheckDelay)})
}

// nextAccepted returns the first accepted upload if it is to be checked.
func (d *Deliverer) nextAccepted() (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.accepted) == 0 || time.Now().Before(d.accepted[0].checkAt) {
		return Record{}, false
	}
	return d.accepted[0].record, true
}

// checkAccepted checks the accepted uploads that are due. While the table is unavailable they
// stay due.
func (d *Deliverer) checkAccepted(ctx context.Context) {
	for ctx.Err() == nil {
		record, ok := d.nextAccepted()
		if !ok || !d.ensureStored(ctx, record) {
			return
		}
		d.mu.Lock()
		d.accepted = d.accepted[1:]
		d.mu.Unlock()
	}
}

// ensureStored writes a record if the table has lost it. It returns false if the table gave
// no certain answer.
func (d *Deliverer) ensureStored(ctx context.Context, r Record) bool {
	_, err := d.store.Get(ctx, r.ID)
	if !errors.Is(err, ErrNotFound) {
		return !errors.Is(err, ErrUnavailable)
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	if err := d.store.Create(ctx, r); err != nil && !errors.Is(err, ErrExists) {
		return false
	}
	d.count("record_restored")
	d.options.Log.Warn("the table has lost an accepted upload, written again", telemetry.FieldRequestID, r.ID,
		telemetry.FieldTeam, r.Team, telemetry.FieldService, r.Service)
	return true
}
