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
	// tableWritesPerSecond is what the platform's table is rated at.
	tableWritesPerSecond = 300
	// rateVMs is the number of entry VMs of a user.
	rateVMs = 15
	// rateDuration is the virtual time of a run.
	rateDuration = 30 * time.Second
	// sustainedRefused is the share of bookings that may be refused at a rate
	// that counts as sustained.
	sustainedRefused = 0.001
)

// rateResult is what a run at one rate of bookings showed.
type rateResult struct {
	bookings, refused int64
	// beforeSend and inAll are table writes for each booking that ran.
	beforeSend, inAll float64
}

func (r rateResult) refusedShare() float64 {
	return float64(r.refused) / float64(r.bookings)
}

// runAtRate claims and ends bookings with different keys at a mean rate per
// second, with the arrivals of independent callers, spread over all VMs.
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
		result.beforeSend = before / float64(result.bookings)
		result.inAll = (before + after) / ran
	})
	return result
}

// book claims a key, runs the call for 10 ms and ends the claim.
func book(ctx context.Context, store *claim.Store, key claim.Key) {
	result := store.Claim(ctx, claim.Request{Key: key, Deadline: time.Now().Add(bookingDeadline)})
	if result.Verdict != claim.Owned {
		return
	}
	time.Sleep(10 * time.Millisecond)
	result.Ticket.Done(&claim.Answer{Status: http.StatusOK, Body: []byte("{}")})
}

// TestTableWritesPerBooking measures the writes and the rate that a table of
// 300 writes a second sustains.
func TestTableWritesPerBooking(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{150, 220, 240} {
		result := runAtRate(t, rate, 0)
		t.Logf("%.0f bookings/s: %.2f writes before the send, %.2f in all, %.4f refused",
			rate, result.beforeSend, result.inAll, result.refusedShare())
		g.Expect(result.beforeSend).To(BeNumerically("<=", 1))
		if rate == 220 {
			g.Expect(result.inAll).To(BeNumerically("<=", 1.2))
			g.Expect(result.refusedShare()).To(BeNumerically("<=", sustainedRefused))
		}
	}
}
