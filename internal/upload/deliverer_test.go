package upload_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/quarantine"
	"github.com/figfront/figfront/internal/upload"
)

const uploadID = "0000-1"

// TestHolderKilledOrFrozenAtEachStep kills or freezes the VM that has the lease
// after each step of its delivery. Another VM must deliver the upload. When the
// frozen VM resumes afterwards, the upload must stay delivered, and the upstream
// must have received it at most twice, each time completely.
func TestHolderKilledOrFrozenAtEachStep(t *testing.T) {
	for _, fault := range []string{"killed", "frozen"} {
		for stopAt := 1; stopAt <= 16; stopAt++ {
			t.Run(fmt.Sprint(fault, stopAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					server := platformstandin.New(nil)
					upstream := newTestUpstream()
					first := newTestVM(g, "vm1", server, upstream, time.Second)
					second := newTestVM(g, "vm20", server, upstream, time.Second)
					body := testBody(1_500_000)
					storeUpload(g, second.client, uploadID, body)

					resume := make(chan struct{})
					first.transport.stepsBeforeFault = stopAt
					first.transport.killed = fault == "killed"
					first.transport.resume = resume
					ctx, cancel := context.WithCancel(context.Background())
					go func() { _ = first.deliverer.Run(ctx) }()
					time.Sleep(10 * time.Second)
					go func() { _ = second.deliverer.Run(ctx) }()
					time.Sleep(2 * time.Minute)
					g.Expect(upstream.received(uploadID)).NotTo(BeEmpty())
					close(resume)
					time.Sleep(2 * time.Minute)
					found, err := upload.NewStore(second.client).Get(ctx, uploadID)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
					g.Expect(len(upstream.received(uploadID))).To(BeNumerically("<=", 2))
					for _, data := range upstream.received(uploadID) {
						g.Expect(data).To(Equal(body))
					}
					cancel()
					time.Sleep(time.Hour)
				})
			})
		}
	}
}

// TestLongDeliveryKeepsItsLease checks that a delivery that takes longer than
// LeaseTime is not started a second time.
func TestLongDeliveryKeepsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		upstream := newTestUpstream()
		first := newTestVM(g, "vm1", server, upstream, 5*upload.LeaseTime)
		second := newTestVM(g, "vm20", server, upstream, 5*upload.LeaseTime)
		storeUpload(g, second.client, uploadID, testBody(10))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = first.deliverer.Run(ctx) }()
		go func() { _ = second.deliverer.Run(ctx) }()
		time.Sleep(10 * upload.LeaseTime)
		g.Expect(upstream.received(uploadID)).To(HaveLen(1))
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestTableDownWhileDelivering checks that an upload is delivered although its
// lease cannot be renewed, and that the delivery is recorded once the table is
// available again.
func TestTableDownWhileDelivering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		upstream := newTestUpstream()
		first := newTestVM(g, "vm1", server, upstream, time.Minute)
		second := newTestVM(g, "vm20", server, upstream, time.Second)
		storeUpload(g, second.client, uploadID, testBody(10))
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
		g.Expect(len(upstream.received(uploadID))).To(BeNumerically(">=", 1))
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestOldRecordsAreDeleted checks that the record of an ended delivery is deleted
// after the retention time, but not before.
func TestOldRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		vm := newTestVM(g, "vm1", server, newTestUpstream(), time.Second)
		storeUpload(g, vm.client, uploadID, testBody(10))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Minute, cancel)
		g.Expect(vm.deliverer.Run(ctx)).To(Succeed())
		found, err := upload.NewStore(vm.client).Get(context.Background(), uploadID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
		time.Sleep(15 * 24 * time.Hour)
		ctx, cancel = context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		g.Expect(vm.deliverer.Run(ctx)).To(Succeed())
		_, err = upload.NewStore(vm.client).Get(context.Background(), uploadID)
		g.Expect(err).To(MatchError(upload.ErrNotFound))
	})
}

// TestUploadThatEndsUpstreamsIsHeld delivers an upload that ends each upstream, at two VMs that
// are replaced all the while, and then one that an operator has tried again.
func TestUploadThatEndsUpstreamsIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		upstream := newTestUpstream()
		var sent int64
		deliverFor := func(length time.Duration, endsUpstream bool) *testVM {
			v := newTestVM(g, "vm1", server, upstream, time.Second)
			v.sender.endsUpstream.Store(endsUpstream)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = v.deliverer.Run(ctx) }()
			time.Sleep(length)
			cancel()
			time.Sleep(time.Minute)
			sent += v.sender.sent.Load()
			return v
		}
		v := newTestVM(g, "vm0", server, upstream, time.Second)
		storeUpload(g, v.client, uploadID, testBody(10))
		for range 40 {
			deliverFor(3*time.Minute, true)
			time.Sleep(6 * time.Hour)
		}
		g.Expect(sent).To(BeEquivalentTo(quarantine.MaxEnded + quarantine.MaxLateSends))
		found, err := upload.NewStore(v.client).Get(t.Context(), uploadID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.Record.IsHeld()).To(BeTrue())
		g.Expect(v.deliverer.Retry(t.Context(), uploadID)).To(Succeed())
		deliverFor(time.Minute, false)
		g.Expect(upstream.received(uploadID)).To(HaveLen(1))
		g.Expect(v.deliverer.Retry(t.Context(), uploadID)).To(MatchError(upload.ErrTransition))
	})
}

// TestUploadUnderWhichVMsVanishIsHeld kills each VM that delivers an upload.
func TestUploadUnderWhichVMsVanishIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		server := platformstandin.New(nil)
		upstream := newTestUpstream()
		storeUpload(g, newTestVM(g, "vm0", server, upstream, time.Second).client, uploadID, testBody(10))
		var sent int64
		for i := range 60 {
			v := newTestVM(g, fmt.Sprint("vm", i), server, upstream, time.Hour)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = v.deliverer.Run(ctx) }()
			time.Sleep(time.Minute)
			v.transport.mu.Lock()
			v.transport.killed, v.transport.stepsBeforeFault = true, 1
			v.transport.mu.Unlock()
			cancel()
			time.Sleep(time.Hour)
			sent += v.sender.sent.Load()
		}
		g.Expect(sent).To(BeNumerically("<=", quarantine.MaxEnded+quarantine.MaxLateSends))
	})
}
