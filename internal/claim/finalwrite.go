package claim

import (
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/platform"
)

// FinalWrite is the write of a claim's final state: released, done or unknown.
// It is retried until it is confirmed. It is not safe for concurrent use.
type FinalWrite struct {
	attempt *Attempt
	rowKey  string
	// baseVersion is the row's version before the attempt's claim write.
	baseVersion uint64
	// isWritten means that the claim write is known to have been applied.
	isWritten bool
	record    Record
	// rowVersion is the row version that the write is conditional on; valid
	// only if isVersionKnown.
	rowVersion     uint64
	isVersionKnown bool
}

// HandleReadResult processes the result of reading the row and reports whether
// the final write is no longer needed: an earlier try was applied, or the row
// does not belong to this attempt's claim. If the read failed, nothing changes.
func (w *FinalWrite) HandleReadResult(row platform.Row, err error) bool {
	if errors.Is(err, platform.ErrNotFound) {
		row = platform.Row{}
		err = nil
	}
	if err != nil {
		return false
	}
	if w.isWritten && row.Version <= w.baseVersion {
		// The table has lost the claim. Without a final state the key would be free
		// for a second run.
		w.setVersion(row.Version)
		return false
	}
	if row.Version == w.baseVersion && w.record.State == RowReleased {
		// The attempt's claim write may still be applied later. The release is
		// conditional on the same version, so once it is written the claim
		// write fails.
		w.setVersion(row.Version)
		return false
	}
	found, err := Decode(row.Value)
	isOwn := err == nil && found.Attempt == w.record.Attempt
	if isOwn && found.State == RowStarted {
		w.setVersion(row.Version)
		return false
	}
	return true
}

// setVersion sets the row version that the write is conditional on.
func (w *FinalWrite) setVersion(version uint64) {
	w.rowVersion = version
	w.isVersionKnown = true
}

// ForgetVersion records that the row's version is no longer known.
func (w *FinalWrite) ForgetVersion() {
	w.isVersionKnown = false
}

// Confirm records that the final state is written or no longer needed.
func (w *FinalWrite) Confirm() {
	w.attempt.fire(eventClosed)
}

// size returns the approximate memory use of the final write, in bytes.
func (w *FinalWrite) size() int {
	size := finalWriteOverheadBytes
	if w.record.Response != nil {
		size += len(w.record.Response.Body)
	}
	return size
}

// dropResponse removes the response, so that only the state is written.
func (w *FinalWrite) dropResponse() {
	w.record.Response = nil
}

// finalWriteOverheadBytes is the approximate size of a final write without the
// body of its response.
const finalWriteOverheadBytes = 512
