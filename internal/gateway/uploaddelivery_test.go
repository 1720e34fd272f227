package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upload"
	"github.com/figfront/figfront/internal/upstreamstandin"
	. "github.com/onsi/gomega"
)

// TestDamagedPartIsNotDelivered: an object that is cut off on its way is read
// again later; no upstream sees a short body as whole.
func TestDamagedPartIsNotDelivered(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		v := b.vm("vm1", teamText)
		data := content(3_000_000, 1)
		a := b.put(v, data, "")
		b.platform.SetFaults(platformstandin.Faults{CutObjects: 3})
		u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
		b.deliver(v)
		time.Sleep(2 * time.Minute)
		s := b.statusOf(g, v, a)
		g.Expect(s.State).To(Equal("delivered"))
		g.Expect(s.Attempts).To(Equal(4))
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(1))
		hash, _ := u.UploadHash(s.ID)
		g.Expect(hash).To(Equal(sum(data)))
	})
}

// TestChangedPartIsNotDelivered: a part whose bytes differ from the accepted ones
// never arrives as a whole upload.
func TestChangedPartIsNotDelivered(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		v := b.vm("vm1", teamText)
		a := b.put(v, content(1_500_000, 1), "")
		client := platform.NewClient(platformAt, &http.Transport{DialContext: b.net.dial})
		id := b.statusOf(g, v, a).ID
		found, err := upload.NewStore(client).Get(context.Background(), id)
		g.Expect(err).NotTo(HaveOccurred())
		body := found.Record.Body
		other := content(body.Parts[1], 2)
		err = client.Put(context.Background(), body.PartKey(1), bytes.NewReader(other), int64(len(other)))
		g.Expect(err).NotTo(HaveOccurred())
		u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
		b.deliver(v)
		time.Sleep(5 * time.Minute)
		g.Expect(b.statusOf(g, v, a).State).To(Equal("pending"))
		g.Expect(u.Counts().Ran).To(BeZero())
	})
}

// TestRejectedUploadFails: an upstream that rejects a stored upload ends its
// delivery, and the body stays for the operators.
func TestRejectedUploadFails(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		v := b.vm("vm1", teamText)
		a := b.put(v, content(2_000_000, 1), "")
		b.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusUnprocessableEntity)
		}))
		b.deliver(v)
		time.Sleep(time.Minute)
		s := b.statusOf(g, v, a)
		g.Expect(s.State).To(Equal("failed"))
		g.Expect(b.platform.Objects()).To(Equal(2))
	})
}

// TestTwoDeliverers: of VMs that look at the same time one delivers.
func TestTwoDeliverers(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		var vms []*vm
		for i := range 4 {
			vms = append(vms, b.vm(fmt.Sprint("vm", i), teamText))
		}
		var accepted []answer
		for i := range 20 {
			accepted = append(accepted, b.put(vms[i%4], content(20_000, uint64(i)), ""))
		}
		u := b.upstream("u1", upstream1, upstreamstandin.Switches{ServiceTime: 50 * time.Millisecond})
		for _, v := range vms {
			b.deliver(v)
		}
		time.Sleep(time.Minute)
		for _, a := range accepted {
			g.Expect(b.statusOf(g, vms[0], a).State).To(Equal("delivered"))
		}
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(20))
	})
}

// TestDeliveryAvoidsTheUpstreamThatFailed: the delivery after a failed one goes to
// another upstream.
func TestDeliveryAvoidsTheUpstreamThatFailed(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		v := b.vm("vm1", teamText+secondUpstream)
		var accepted []answer
		for i := range 10 {
			accepted = append(accepted, b.put(v, content(20_000, uint64(i)), ""))
		}
		b.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusRequestTimeout)
		}))
		b.upstream("u2", upstream2, upstreamstandin.Switches{})
		b.deliver(v)
		time.Sleep(5 * time.Minute)
		for _, a := range accepted {
			s := b.statusOf(g, v, a)
			g.Expect(s.State).To(Equal("delivered"))
			g.Expect(s.Attempts).To(BeNumerically("<=", 2))
		}
	})
}

// TestStopHandsDeliveryOver: a VM that stops gives its lease back, so that
// another VM delivers without waiting for the lease to lapse.
func TestStopHandsDeliveryOver(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		first := b.vm("vm1", teamText)
		second := b.vm("vm2", teamText)
		a := b.put(first, content(20_000, 1), "")
		u := b.upstream("u1", upstream1, upstreamstandin.Switches{ServiceTime: 10 * time.Second})
		b.deliver(first)
		time.Sleep(5 * time.Second)
		first.stop()
		synctest.Wait()
		u.Set(upstreamstandin.Switches{})
		b.deliver(second)
		time.Sleep(5 * time.Second)
		g.Expect(b.statusOf(g, second, a).State).To(Equal("delivered"))
	})
}

// TestUploadSchedules runs uploads through seeded faults of upstreams, platform
// and deliverers. Every upload told as accepted or delivered arrives with the
// bytes that were sent.
func TestUploadSchedules(t *testing.T) {
	const schedules = 60
	told, accepted := 0, 0
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(t)
			defer b.close()
			a, b2 := runUploadSchedule(NewWithT(t), b, seed)
			told += a
			accepted += b2
		})
	}
	t.Logf("%d schedules: %d uploads told as delivered or accepted, %d of them stored", schedules, told, accepted)
}

func runUploadSchedule(g *WithT, b *bench, seed uint64) (told, accepted int) {
	random := rand.New(rand.NewPCG(seed, 2))
	u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
	dying := b.upstreamThatDies(upstream2, random.Int64N(3_000_000))
	_ = dying
	vms := []*vm{b.vm("vm1", teamText+secondUpstream), b.vm("vm2", teamText+secondUpstream)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go disturb(ctx, b, u, rand.New(rand.NewPCG(seed, 3)))
	b.deliver(vms[0])
	b.deliver(vms[1])
	sent := map[string]string{}
	var answers []answer
	for i := range 6 {
		size := 1000 + random.IntN(100_000)
		if random.IntN(8) == 0 {
			size = 1_000_000 + random.IntN(1_500_000)
		}
		data := content(size, seed*10+uint64(i))
		key := fmt.Sprint(seed, "-", i)
		a := b.put(vms[random.IntN(2)], data, key)
		if a.err == nil && a.status/100 == 2 {
			told++
			sent[upload.NewID("t", "s", key)] = sum(data)
			if a.status == http.StatusAccepted {
				accepted++
				answers = append(answers, a)
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
	}
	cancel()
	time.Sleep(time.Second)
	b.platform.SetFaults(platformstandin.Faults{})
	u.Set(upstreamstandin.Switches{})
	time.Sleep(3 * time.Minute)
	for id, want := range sent {
		hash, ok := u.UploadHash(id)
		g.Expect(ok).To(BeTrue(), "seed %d %s", seed, id)
		g.Expect(hash).To(Equal(want), "seed %d", seed)
	}
	for _, a := range answers {
		g.Expect(b.statusOf(g, vms[0], a).State).To(Equal("delivered"), "seed %d", seed)
	}
	return told, accepted
}

// disturb switches faults on and off until ctx ends.
func disturb(ctx context.Context, b *bench, u *upstreamstandin.Server, random *rand.Rand) {
	for ctx.Err() == nil {
		faults := platformstandin.Faults{
			TableDown:     random.IntN(6) == 0,
			ObjectsDown:   random.IntN(6) == 0,
			LoseResponses: random.IntN(3),
			ApplyLate:     random.IntN(2),
			ApplyLateBy:   time.Duration(random.Int64N(int64(5 * time.Second))),
			CutObjects:    random.IntN(2),
			ObjectDelay:   time.Duration(random.Int64N(int64(100 * time.Millisecond))),
		}
		b.platform.SetFaults(faults)
		u.Set(upstreamstandin.Switches{
			Shed: random.IntN(3) == 0, FailFast: random.IntN(4) == 0,
			ServiceTime: time.Duration(random.Int64N(int64(time.Second))),
		})
		select {
		case <-time.After(time.Duration(random.Int64N(int64(4 * time.Second)))):
		case <-ctx.Done():
		}
	}
}
