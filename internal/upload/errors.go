package upload

import (
	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrExists is returned when a different upload with the same ID exists.
	ErrExists = errors.New("upload: ID already exists")
	// ErrNotFound is returned when no upload with the ID exists.
	ErrNotFound = errors.New("upload: not found")
	// ErrLeaseLost is returned when the record has changed since it was read.
	ErrLeaseLost = errors.New("upload: lease lost")
	// ErrUnavailable is returned when the platform did not respond or refused
	// the operation. A record that was to be written has not been written.
	ErrUnavailable = errors.New("upload: store unavailable")
	// ErrUncertain is returned when a record may or may not have been written.
	ErrUncertain = errors.New("upload: unknown whether the record was written")
	// ErrCorrupt is returned when a record or a stored body is malformed or
	// differs from what was accepted.
	ErrCorrupt = errors.New("upload: stored upload is corrupt")
	// ErrTooLarge is returned when a body exceeds its size limit.
	ErrTooLarge = errors.New("upload: body too large")
	// ErrDetached is returned to a reader that may no longer read the body,
	// because another reader was attached or the body was drained or closed.
	ErrDetached = errors.New("upload: reader is detached from the body")
)
