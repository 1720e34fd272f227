package upload

import (
	"github.com/go-faster/errors"
)

// Errors of this package.
var (
	// ErrExists means that another upload with the same id is there already.
	ErrExists = errors.New("upload: id is taken")
	// ErrNotFound means that there is no upload with this id.
	ErrNotFound = errors.New("upload: not found")
	// ErrLeaseLost means that the record changed since it was read.
	ErrLeaseLost = errors.New("upload: lease lost")
	// ErrUnavailable means that the platform did not answer or refused; what
	// was to be written is not in force.
	ErrUnavailable = errors.New("upload: store unavailable")
	// ErrUncertain means that a record may or may not have been written.
	ErrUncertain = errors.New("upload: not known whether the record was written")
	// ErrCorrupt means that a stored upload differs from what was accepted.
	ErrCorrupt = errors.New("upload: stored body is damaged")
	// ErrTooLarge means that a body is above its limit.
	ErrTooLarge = errors.New("upload: body too large")
	// ErrDetached means that a body is read by somebody else now.
	ErrDetached = errors.New("upload: body detached")
)
