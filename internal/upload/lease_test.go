package upload_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upload"
)

// loseRenewal makes the table apply the first renewal of a lease taken now without a
// response and then stay down for longer than the write is retried.
func loseRenewal(server *platformstandin.Server) {
	const beforeRetry = 100 * time.Millisecond
	time.Sleep(upload.LeaseTime/3 - time.Second)
	server.SetFaults(platformstandin.Faults{LoseResponses: 1})
	time.Sleep(time.Second + beforeRetry)
	server.SetFaults(platformstandin.Faults{TableDown: true})
	time.Sleep(6 * time.Second)
	server.SetFaults(platformstandin.Faults{})
}

func TestLostResponseToARenewalIsNotALostLease(t *testing.T) {
	for name, duration := range map[string]time.Duration{
		"delivery ends before the next renewal": upload.LeaseTime/3 + 8*time.Second,
		"delivery is renewed again":             2 * upload.LeaseTime,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				server := platformstandin.New(nil)
				upstream := newTestUpstream()
				vm := newTestVM(g, "vm1", server, upstream, duration)
				storeUpload(g, vm.client, uploadID, testBody(10))
				ctx, cancel := context.WithCancel(context.Background())
				go func() { _ = vm.deliverer.Run(ctx) }()
				synctest.Wait()
				loseRenewal(server)
				time.Sleep(10 * upload.LeaseTime)
				g.Expect(vm.counters.Get("uploads", "lease_lost")).To(BeZero())
				g.Expect(vm.sender.sent.Load()).To(BeEquivalentTo(1))
				found, err := upload.NewStore(vm.client).Get(ctx, uploadID)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(found.Record.State).To(Equal(upload.StateDelivered))
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
