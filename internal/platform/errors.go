package platform

import (
	"github.com/go-faster/errors"
)

// Errors of the platform's services.
var (
	// ErrConflict means that a condition of a transaction did not hold;
	// nothing was written.
	ErrConflict = errors.New("platform: condition does not hold")
	// ErrNotFound means that a row or object is not there.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the platform refused; nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUncertain means that no answer came; a write may have taken effect
	// or may still do so.
	ErrUncertain = errors.New("platform: no answer")
	// ErrHistoryGone means that changes since a version can't be told any more.
	ErrHistoryGone = errors.New("platform: history is gone")
)

// IsUncertain tells whether a write that returned err may have taken effect.
func IsUncertain(err error) bool {
	return errors.Is(err, ErrUncertain)
}
