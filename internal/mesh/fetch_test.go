package mesh

import (
	"context"

	"github.com/figfront/figfront/internal/platform"
)

// fetch reads the store once, as Next does when a read is due.
func (s *RecordSet) fetch(ctx context.Context) (platform.Snapshot, error) {
	s.startRead(ctx)
	result := <-s.reads.results
	s.reads.finish(result)
	return s.handleResult(ctx, result)
}
