package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/claim"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/telemetry"
)

const (
	// tableWritesPerSecond is the rated write throughput of the platform's
	// table.
	tableWritesPerSecond = 300
	// rateVMs is the number of entry VMs in a deployment.
	rateVMs = 15
	// rateDuration is the virtual time during which bookings arrive.
	rateDuration = 30 * time.Second
	// maxRefusedShare is the fraction of bookings that may be refused at a rate
	// that counts as sustained.
	maxRefusedShare = 0.001
)

// rateResult is the result of a run at one rate of bookings.
type rateResult struct {
	bookings, refused int64
	// writesBeforeSend is the number of table writes before the send per
	// booking; writesTotal is the number of all table writes per booking that
	// was not refused.
	writesBeforeSend, writesTotal float64
}

func (r rateResult) refusedShare() float64 {
	return float64(r.refused) / float64(r.bookings)
}

// runAtRate runs bookings with different keys, spread over all VMs, at a mean
// rate per second. Arrivals are a Poisson process, as for independent callers.
func runAtRate(t *testing.T, rate float64, flush time.Duration) rateResult {
	var result rateResult
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := pipenet.New()
		table := platformstandin.New(nil)
		table.SetFaults(platformstandin.Faults{WritesPerSecond: tableWritesPerSecond})
		server := network.Serve(platformAddress, table.Handler())
		counters := telemetry.NewCounters()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var stores []*claim.Store
		for i := range rateVMs {
			store, err := claim.NewStore(claim.Options{
				Table:    platform.NewClient(platformAddress, &http.Transport{DialContext: network.Dial, MaxIdleConnsPerHost: 16}),
				Counters: counters, VM: fmt.Sprintf("vm%d", i), FlushInterval: flush,
			})
			g.Expect(err).NotTo(HaveOccurred())
			running.Go(func() { _ = store.Run(ctx) })
			stores = append(stores, store)
		}
		random := rand.New(rand.NewPCG(1, 2))
		var callers sync.WaitGroup
		end := time.Now().Add(rateDuration)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			store := stores[random.IntN(rateVMs)]
			key := claim.Key{Team: "split", Service: "reservations", Idempotency: fmt.Sprint(result.bookings)}
			result.bookings++
			callers.Go(func() { book(t.Context(), store, key) })
		}
		callers.Wait()
		cancel()
		running.Wait()
		_ = server.Close()
		time.Sleep(time.Minute)
		result.refused = counters.Get(telemetry.GroupClaims, "unavailable")
		ran := float64(result.bookings - result.refused)
		before := float64(counters.Get(telemetry.GroupClaims, "writes_before_send"))
		after := float64(counters.Get(telemetry.GroupClaims, "writes_after"))
		result.writesBeforeSend = before / float64(result.bookings)
		result.writesTotal = (before + after) / ran
	})
	return result
}

// book claims a key, runs the call for 10 ms and records its response.
func book(ctx context.Context, store *claim.Store, key claim.Key) {
	result := store.Claim(ctx, claim.Request{Key: key, Deadline: time.Now().Add(bookingDeadline)})
	if result.Verdict != claim.Owned {
		return
	}
	time.Sleep(10 * time.Millisecond)
	result.Ticket.Done(&claim.Response{Status: http.StatusOK, Body: []byte("{}")})
}

// TestTableWritesPerBooking measures the table writes per booking and checks
// that a table with 300 writes per second sustains 220 bookings per second.
func TestTableWritesPerBooking(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{150, 220, 240} {
		result := runAtRate(t, rate, 0)
		t.Logf("%.0f bookings/s: %.2f writes before the send, %.2f in total, %.4f refused",
			rate, result.writesBeforeSend, result.writesTotal, result.refusedShare())
		g.Expect(result.writesBeforeSend).To(BeNumerically("<=", 1))
		if rate == 220 {
			g.Expect(result.writesTotal).To(BeNumerically("<=", 1.2))
			g.Expect(result.refusedShare()).To(BeNumerically("<=", maxRefusedShare))
		}
	}
}
