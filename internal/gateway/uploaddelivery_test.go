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

// TestDamagedPartIsNotDelivered: if the object store returns a truncated part, the
// delivery is retried later; no upstream receives a truncated body that looks
// complete.
func TestDamagedPartIsNotDelivered(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		data := randomBytes(3_000_000, 1)
		a := env.upload(v, data, "")
		env.platform.SetFaults(platformstandin.Faults{CutObjects: 3})
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
		env.startDeliverer(v)
		time.Sleep(2 * time.Minute)
		s := env.statusOf(g, v, a)
		g.Expect(s.State).To(Equal("delivered"))
		g.Expect(s.Attempts).To(Equal(4))
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(1))
		hash, _ := u.UploadHash(s.ID)
		g.Expect(hash).To(Equal(hexSHA256(data)))
	})
}

// TestChangedPartIsNotDelivered: an upload of which a stored part was modified is
// never delivered.
func TestChangedPartIsNotDelivered(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		a := env.upload(v, randomBytes(1_500_000, 1), "")
		client := platform.NewClient(platformAddress, &http.Transport{DialContext: env.net.dial})
		id := env.statusOf(g, v, a).ID
		found, err := upload.NewStore(client).Get(context.Background(), id)
		g.Expect(err).NotTo(HaveOccurred())
		body := found.Record.Body
		other := randomBytes(body.Parts[1], 2)
		err = client.Put(context.Background(), body.PartKey(1), bytes.NewReader(other), int64(len(other)))
		g.Expect(err).NotTo(HaveOccurred())
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
		env.startDeliverer(v)
		time.Sleep(5 * time.Minute)
		g.Expect(env.statusOf(g, v, a).State).To(Equal("pending"))
		g.Expect(u.Counts().Ran).To(BeZero())
	})
}

// TestRejectedUploadFails: an upstream that rejects a stored upload ends its
// delivery, and the body is kept for the operators.
func TestRejectedUploadFails(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		a := env.upload(v, randomBytes(2_000_000, 1), "")
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusUnprocessableEntity)
		}))
		env.startDeliverer(v)
		time.Sleep(time.Minute)
		s := env.statusOf(g, v, a)
		g.Expect(s.State).To(Equal("failed"))
		g.Expect(env.platform.Objects()).To(Equal(2))
	})
}

// TestTwoDeliverers: if several VMs look for uploads at the same time, each upload
// is delivered by one of them.
func TestTwoDeliverers(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var vms []*vm
		for i := range 4 {
			vms = append(vms, env.vm(fmt.Sprint("vm", i), teamSettings))
		}
		var accepted []callResult
		for i := range 20 {
			accepted = append(accepted, env.upload(vms[i%4], randomBytes(20_000, uint64(i)), ""))
		}
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{ServiceTime: 50 * time.Millisecond})
		for _, v := range vms {
			env.startDeliverer(v)
		}
		time.Sleep(time.Minute)
		for _, a := range accepted {
			g.Expect(env.statusOf(g, vms[0], a).State).To(Equal("delivered"))
		}
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(20))
	})
}

// TestDeliveryAvoidsTheUpstreamThatFailed: after a failed delivery the next one
// goes to another upstream.
func TestDeliveryAvoidsTheUpstreamThatFailed(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings+secondUpstream)
		var accepted []callResult
		for i := range 10 {
			accepted = append(accepted, env.upload(v, randomBytes(20_000, uint64(i)), ""))
		}
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusRequestTimeout)
		}))
		env.upstream("u2", upstream2, upstreamstandin.Switches{})
		env.startDeliverer(v)
		time.Sleep(5 * time.Minute)
		for _, a := range accepted {
			s := env.statusOf(g, v, a)
			g.Expect(s.State).To(Equal("delivered"))
			g.Expect(s.Attempts).To(BeNumerically("<=", 2))
		}
	})
}

func TestMisdirectedUploadIsNotGivenUp(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		stored := env.upload(v, randomBytes(2_000_000, 1), "")
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusMisdirectedRequest)
		}))
		env.startDeliverer(v)
		time.Sleep(10 * time.Second)
		sent := env.upload(v, randomBytes(2_000_000, 2), "")
		g.Expect(sent.status).To(Equal(http.StatusAccepted))
		env.replaceUpstream(upstream1, "u1")
		time.Sleep(5 * time.Minute)
		g.Expect(env.statusOf(g, v, stored).State).To(Equal("delivered"))
		g.Expect(env.statusOf(g, v, sent).State).To(Equal("delivered"))
	})
}

// TestStopHandsDeliveryOver: a VM that stops releases its lease, so that another
// VM delivers without waiting for the lease to expire.
func TestStopHandsDeliveryOver(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		first := env.vm("vm1", teamSettings)
		second := env.vm("vm2", teamSettings)
		a := env.upload(first, randomBytes(20_000, 1), "")
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{ServiceTime: 10 * time.Second})
		env.startDeliverer(first)
		time.Sleep(5 * time.Second)
		first.stop()
		synctest.Wait()
		u.Set(upstreamstandin.Switches{})
		env.startDeliverer(second)
		time.Sleep(5 * time.Second)
		g.Expect(env.statusOf(g, second, a).State).To(Equal("delivered"))
	})
}

// TestUploadSchedules runs uploads under random faults of upstreams, platform and
// deliverers. Every upload that was reported as accepted or delivered arrives
// with the bytes that were sent.
func TestUploadSchedules(t *testing.T) {
	const schedules = 60
	reported, accepted := 0, 0
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) {
			env := newTestEnv(t)
			defer env.close()
			delivered, stored := runUploadSchedule(NewWithT(t), env, seed)
			reported += delivered
			accepted += stored
		})
	}
	t.Logf("%d schedules: %d uploads told as delivered or accepted, %d of them stored", schedules, reported, accepted)
}

// runUploadSchedule runs one schedule. It returns the number of uploads that were
// reported as delivered or accepted, and how many of those were stored.
func runUploadSchedule(g *WithT, env *testEnv, seed uint64) (reported, accepted int) {
	random := rand.New(rand.NewPCG(seed, 2))
	u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
	dying := env.crashingUpstream(upstream2, random.Int64N(3_000_000))
	_ = dying
	vms := []*vm{env.vm("vm1", teamSettings+secondUpstream), env.vm("vm2", teamSettings+secondUpstream)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go injectFaults(ctx, env, u, rand.New(rand.NewPCG(seed, 3)))
	env.startDeliverer(vms[0])
	env.startDeliverer(vms[1])
	sent := map[string]string{}
	var answers []callResult
	for i := range 6 {
		size := 1000 + random.IntN(100_000)
		if random.IntN(8) == 0 {
			size = 1_000_000 + random.IntN(1_500_000)
		}
		data := randomBytes(size, seed*10+uint64(i))
		key := fmt.Sprint(seed, "-", i)
		a := env.upload(vms[random.IntN(2)], data, key)
		if a.err == nil && a.status/100 == 2 {
			reported++
			sent[upload.NewID("t", "s", key)] = hexSHA256(data)
			if a.status == http.StatusAccepted {
				accepted++
				answers = append(answers, a)
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(3 * time.Second))))
	}
	cancel()
	time.Sleep(time.Second)
	env.platform.SetFaults(platformstandin.Faults{})
	u.Set(upstreamstandin.Switches{})
	time.Sleep(3 * time.Minute)
	for id, want := range sent {
		hash, ok := u.UploadHash(id)
		g.Expect(ok).To(BeTrue(), "seed %d %s", seed, id)
		g.Expect(hash).To(Equal(want), "seed %d", seed)
	}
	for _, a := range answers {
		g.Expect(env.statusOf(g, vms[0], a).State).To(Equal("delivered"), "seed %d", seed)
	}
	return reported, accepted
}

// injectFaults changes the faults at random until ctx ends.
func injectFaults(ctx context.Context, env *testEnv, u *upstreamstandin.Server, random *rand.Rand) {
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
		env.platform.SetFaults(faults)
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
