package upload_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upload"
)

// oldestCopy is the age of the oldest copy that the table comes back from.
const oldestCopy = 10 * time.Second

// TestUploadIsDeliveredAgainWholeAfterTheTableLostItsDelivery guards against a record without
// parts, which would be tried for good.
func TestUploadIsDeliveredAgainWholeAfterTheTableLostItsDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		upstream := newTestUpstream()
		vm := newTestVM(g, "vm1", server, upstream, time.Second)
		body := testBody(1_500_000)
		storeUpload(g, vm.client, uploadID, body)
		pending := server.CopyTable()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = vm.deliverer.Run(ctx) }()
		time.Sleep(oldestCopy)
		g.Expect(upstream.received(uploadID)).To(HaveLen(1))
		server.RestoreTable(pending)
		time.Sleep(10 * time.Minute)
		cancel()
		g.Expect(upstream.received(uploadID)).To(HaveLen(2))
		g.Expect(bytes.Equal(upstream.received(uploadID)[1], body)).To(BeTrue())
		found, err := upload.NewStore(vm.client).Get(context.Background(), uploadID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
		g.Expect(vm.sender.sent.Load()).To(Equal(int64(2)))
		g.Expect(server.Objects()).To(BeZero())
		time.Sleep(time.Hour)
	})
}

// TestAcceptedUploadIsDeliveredAfterTheTableLostIt loses the record before its first delivery,
// and after it.
func TestAcceptedUploadIsDeliveredAfterTheTableLostIt(t *testing.T) {
	for name, away := range map[string]time.Duration{"before its delivery": 0, "after its delivery": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				server := platformstandin.New(nil)
				upstream := newTestUpstream()
				vm := newTestVM(g, "vm1", server, upstream, time.Second)
				empty := server.CopyTable()
				ctx, cancel := context.WithCancel(context.Background())
				go func() { _ = vm.deliverer.Run(ctx) }()
				body := testBody(1_500_000)
				vm.deliverer.Accepted(storeUpload(g, vm.client, uploadID, body))
				time.Sleep(away)
				server.RestoreTable(empty)
				time.Sleep(10 * time.Minute)
				cancel()
				g.Expect(upstream.received(uploadID)).NotTo(BeEmpty())
				for _, received := range upstream.received(uploadID) {
					g.Expect(bytes.Equal(received, body)).To(BeTrue())
				}
				found, err := upload.NewStore(vm.client).Get(context.Background(), uploadID)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
				g.Expect(server.Objects()).To(BeZero())
				time.Sleep(time.Hour)
			})
		})
	}
}
