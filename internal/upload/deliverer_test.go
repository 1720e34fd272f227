package upload_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upload"
)

const uploadID = "0000-1"

// TestHolderKilledOrFrozenAtEachStep stops the VM that holds the lease after
// each step of its delivery. Another VM delivers; the frozen one wakes after
// that and changes nothing.
func TestHolderKilledOrFrozenAtEachStep(t *testing.T) {
	for _, fate := range []string{"killed", "frozen"} {
		for stopAt := 1; stopAt <= 16; stopAt++ {
			t.Run(fmt.Sprint(fate, stopAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					server := platformstandin.New(nil)
					to := newReceiver()
					first := newNode(g, "vm1", server, to, time.Second)
					second := newNode(g, "vm20", server, to, time.Second)
					body := text(1_500_000)
					stored(g, second.client, uploadID, body)

					wake := make(chan struct{})
					first.machine.stopAt = stopAt
					first.machine.killed = fate == "killed"
					first.machine.frozen = wake
					ctx, cancel := context.WithCancel(context.Background())
					go func() { _ = first.deliverer.Run(ctx) }()
					time.Sleep(10 * time.Second)
					go func() { _ = second.deliverer.Run(ctx) }()
					time.Sleep(2 * time.Minute)
					g.Expect(to.received(uploadID)).NotTo(BeEmpty())
					close(wake)
					time.Sleep(2 * time.Minute)
					found, err := upload.NewStore(second.client).Get(ctx, uploadID)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
					g.Expect(len(to.received(uploadID))).To(BeNumerically("<=", 2))
					for _, data := range to.received(uploadID) {
						g.Expect(data).To(Equal(body))
					}
					cancel()
					time.Sleep(time.Hour)
				})
			})
		}
	}
}

// TestLongDeliveryKeepsItsLease: a delivery that takes longer than a lease is
// not started a second time.
func TestLongDeliveryKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		to := newReceiver()
		first := newNode(g, "vm1", server, to, 5*upload.LeaseTime)
		second := newNode(g, "vm20", server, to, 5*upload.LeaseTime)
		stored(g, second.client, uploadID, text(10))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = first.deliverer.Run(ctx) }()
		go func() { _ = second.deliverer.Run(ctx) }()
		time.Sleep(10 * upload.LeaseTime)
		g.Expect(to.received(uploadID)).To(HaveLen(1))
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestTableDownWhileDelivering: the upload arrives although its lease can't be
// renewed, and the delivery ends once the table is back.
func TestTableDownWhileDelivering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		to := newReceiver()
		first := newNode(g, "vm1", server, to, time.Minute)
		second := newNode(g, "vm20", server, to, time.Second)
		stored(g, second.client, uploadID, text(10))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = first.deliverer.Run(ctx) }()
		go func() { _ = second.deliverer.Run(ctx) }()
		time.Sleep(5 * time.Second)
		server.SetFaults(platformstandin.Faults{TableDown: true})
		time.Sleep(5 * time.Minute)
		server.SetFaults(platformstandin.Faults{})
		time.Sleep(2 * time.Minute)
		found, err := upload.NewStore(second.client).Get(ctx, uploadID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
		g.Expect(len(to.received(uploadID))).To(BeNumerically(">=", 1))
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestOldRecordsAreForgotten: a record is kept for its retention and no longer.
func TestOldRecordsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		only := newNode(g, "vm1", server, newReceiver(), time.Second)
		stored(g, only.client, uploadID, text(10))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Minute, cancel)
		g.Expect(only.deliverer.Run(ctx)).To(Succeed())
		found, err := upload.NewStore(only.client).Get(context.Background(), uploadID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
		time.Sleep(15 * 24 * time.Hour)
		ctx, cancel = context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		g.Expect(only.deliverer.Run(ctx)).To(Succeed())
		_, err = upload.NewStore(only.client).Get(context.Background(), uploadID)
		g.Expect(err).To(MatchError(upload.ErrNotFound))
	})
}
