package upload

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// partRetention is how long the parts of a delivered upload are kept at least. It is
	// longer than the age of a copy that the table may come back from: the upload is
	// pending again then.
	partRetention = time.Minute
	// maxKeptParts limits the delivered uploads whose parts are kept.
	maxKeptParts = 10000
)

// keptParts holds delivered uploads in the order of their delivery.
type keptParts []keptUpload

// keptUpload is a delivered upload whose parts are deleted at a time.
type keptUpload struct {
	id       string
	body     Body
	deleteAt time.Time
}

// add adds an upload. It returns the one that exceeds maxKeptParts, if any.
func (k *keptParts) add(u keptUpload) (excess keptUpload, hasExcess bool) {
	*k = append(*k, u)
	if len(*k) <= maxKeptParts {
		return keptUpload{}, false
	}
	excess = (*k)[0]
	*k = (*k)[1:]
	return excess, true
}

// takeDue removes and returns the first upload whose parts are to be deleted.
func (k *keptParts) takeDue(now time.Time) (keptUpload, bool) {
	if len(*k) == 0 || now.Before((*k)[0].deleteAt) {
		return keptUpload{}, false
	}
	due := (*k)[0]
	*k = (*k)[1:]
	return due, true
}

// keepParts keeps the parts of a delivered upload for partRetention. If this VM stops before,
// they are deleted with the record.
func (d *Deliverer) keepParts(id string, body Body) {
	d.mu.Lock()
	excess, hasExcess := d.delivered.add(keptUpload{id: id, body: body, deleteAt: time.Now().Add(partRetention)})
	d.mu.Unlock()
	if hasExcess {
		deleteParts(d.options.Objects, excess.body)
	}
}

// deleteDeliveredParts deletes the parts that have been kept for long enough, unless the table
// has lost the delivery.
func (d *Deliverer) deleteDeliveredParts(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		due, ok := d.delivered.takeDue(time.Now())
		d.mu.Unlock()
		if !ok {
			return
		}
		found, err := d.store.Get(ctx, due.id)
		switch {
		case err == nil && found.Record.State == StateDelivered:
			deleteParts(d.options.Objects, due.body)
		case errors.Is(err, ErrUnavailable):
			d.keepParts(due.id, due.body)
			return
		default:
			d.count("delivery_lost")
		}
	}
}
