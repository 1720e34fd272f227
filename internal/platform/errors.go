package platform

import (
	"github.com/go-faster/errors"
)

// Errors of the platform's services.
var (
	// ErrConflict means that a condition of a transaction was not met; nothing was
	// written.
	ErrConflict = errors.New("platform: transaction condition not met")
	// ErrNotFound means that a row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the platform can't be reached or rejected the call;
	// nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUncertain means that there was no usable response. A write may have been
	// applied or may still be applied later.
	ErrUncertain = errors.New("platform: result unknown")
	// ErrHistoryGone means that the store does not have all changes since a position.
	ErrHistoryGone = errors.New("platform: change history no longer available")
)

// IsUncertain reports whether a write that returned err may have been applied or may
// still be applied later.
func IsUncertain(err error) bool {
	return errors.Is(err, ErrUncertain)
}
