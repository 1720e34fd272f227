package upload_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upload"
)

// TestPoolLimitsSpools checks that a pool limits the number of spools and that a
// closed spool frees its slot.
func TestPoolLimitsSpools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := context.Background()
		pool := upload.NewPool(2)
		first, ok := upload.NewSpool(ctx, pool, nil)
		g.Expect(ok).To(BeTrue())
		_, ok = upload.NewSpool(ctx, pool, nil)
		g.Expect(ok).To(BeTrue())
		_, ok = upload.NewSpool(ctx, pool, nil)
		g.Expect(ok).To(BeFalse())
		first.Close(false)
		_, ok = upload.NewSpool(ctx, pool, nil)
		g.Expect(ok).To(BeTrue())
	})
}

// TestSpoolBuffersAtMostTwoParts checks that a spool buffers at most two parts for any
// size of its writes, and that closing it frees the memory and deletes the
// stored parts.
func TestSpoolBuffersAtMostTwoParts(t *testing.T) {
	for _, writeSize := range []int{7_777, upload.PartSize, 3 * upload.PartSize} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			server := platformstandin.New(nil)
			client := platform.NewClient("platform", &faultyTransport{handler: server.Handler()})
			pool := upload.NewPool(1)
			spool, ok := upload.NewSpool(context.Background(), pool, client)
			g.Expect(ok).To(BeTrue())
			written := 0
			for written < 10*upload.PartSize {
				spool.Write(bytes.Repeat([]byte{1}, writeSize))
				written += writeSize
			}
			body, err := spool.Finish()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body.Size).To(BeEquivalentTo(written))
			_, peak := pool.BufferedBytes()
			g.Expect(peak).To(BeNumerically("<=", 2*upload.PartSize))
			spool.Close(false)
			bufferedBytes, _ := pool.BufferedBytes()
			g.Expect(bufferedBytes).To(BeZero())
			g.Expect(server.Objects()).To(BeZero())
		})
	}
}

// TestSpoolWithoutStore checks that a spool without an object store buffers a
// body of up to PartSize bytes and fails for a larger one.
func TestSpoolWithoutStore(t *testing.T) {
	g := NewWithT(t)
	spool, ok := upload.NewSpool(context.Background(), upload.NewPool(1), nil)
	g.Expect(ok).To(BeTrue())
	spool.Write(make([]byte, upload.PartSize))
	buffered, ok := spool.Buffered()
	g.Expect(ok).To(BeTrue())
	g.Expect(buffered).To(HaveLen(upload.PartSize))
	spool.Write([]byte{1})
	_, ok = spool.Buffered()
	g.Expect(ok).To(BeFalse())
	_, err := spool.Finish()
	g.Expect(err).To(MatchError(upload.ErrUnavailable))
}
