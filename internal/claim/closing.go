package claim

import (
	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/platform"
)

// Closing is the write that ends a claim: released, done or unknown. It is
// written until it is confirmed. It is not safe for concurrent use.
type Closing struct {
	attempt *Attempt
	row     string
	// base is the row's version before the attempt's first write.
	base   uint64
	record Record
	// version is the version that the row has to have; it counts when
	// isResolved.
	version    uint64
	isResolved bool
}

// ReadEnded takes the row as it was read back, and returns whether the claim
// is closed already. A row that could not be read leaves the closing as it is.
func (c *Closing) ReadEnded(row platform.Row, err error) bool {
	if errors.Is(err, platform.ErrNotFound) {
		row = platform.Row{}
		err = nil
	}
	if err != nil {
		return false
	}
	if row.Version == c.base && c.record.State == RowReleased {
		// The attempt's own write may still take effect. The release takes the
		// version that it waits for.
		c.resolve(row.Version)
		return false
	}
	found, err := Decode(row.Value)
	isOwn := err == nil && found.Attempt == c.record.Attempt
	if isOwn && found.State == RowStarted {
		c.resolve(row.Version)
		return false
	}
	return true
}

func (c *Closing) resolve(version uint64) {
	c.version = version
	c.isResolved = true
}

// Unresolve records that the row's version is not known any more.
func (c *Closing) Unresolve() {
	c.isResolved = false
}

// Confirmed records that the claim is closed.
func (c *Closing) Confirmed() {
	c.attempt.fire(eventClosed)
}

// size returns the bytes that the closing holds, roughly.
func (c *Closing) size() int {
	size := closingOverheadBytes
	if c.record.Answer != nil {
		size += len(c.record.Answer.Body)
	}
	return size
}

// dropAnswer closes the claim without the answer.
func (c *Closing) dropAnswer() {
	c.record.Answer = nil
}

// closingOverheadBytes is the size of a closing without an answer.
const closingOverheadBytes = 512
