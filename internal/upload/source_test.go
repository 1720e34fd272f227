package upload_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/upload"
)

// stuckObjects is an object store that does not answer.
type stuckObjects struct{ platform.Objects }

func (stuckObjects) Put(ctx context.Context, _ string, _ io.Reader, _ int64) error {
	<-ctx.Done()
	return ctx.Err()
}

func (stuckObjects) Delete(context.Context, string) error { return nil }

// TestDrainEndsWithAStopAlthoughTheObjectStoreDoesNotAnswer guards against an upload that keeps its caller
// without an answer, because a stop ends while a part of it is being stored.
func TestDrainEndsWithAStopAlthoughTheObjectStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ending, end := context.WithCancel(context.Background())
		ctx, release := drain.WithEnd(context.Background(), ending)
		defer release()
		spool, ok := upload.NewSpool(ctx, upload.NewPool(1), stuckObjects{})
		g.Expect(ok).To(BeTrue())
		const size = 4 * upload.PartSize
		source := upload.NewSource(bytes.NewReader(make([]byte, size)), size, size, spool)
		time.AfterFunc(time.Second, end)
		began := time.Now()
		_, err := source.Drain(ctx)
		g.Expect(err).To(MatchError(drain.ErrEnded))
		g.Expect(time.Since(began)).To(Equal(time.Second))
		source.Close(false)
		time.Sleep(time.Hour)
	})
}
