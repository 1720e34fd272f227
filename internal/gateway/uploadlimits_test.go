package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upload"
	"github.com/figfront/figfront/internal/upstreamstandin"
	. "github.com/onsi/gomega"
)

// TestUploadOfUnknownLengthAboveTheLimit: an upload above the limit is refused and
// never truncated.
func TestUploadOfUnknownLengthAboveTheLimit(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
		v := env.vm("vm1", strings.Replace(teamSettings, "max_body = 200000000", "max_body = 2000000", 1))
		a := env.send(request("PUT", v, "/t/s/x", io.MultiReader(bytes.NewReader(randomBytes(2_000_001, 1)))))
		g.Expect(a.status).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(u.Counts().Ran).To(BeZero())
		a = env.send(request("PUT", v, "/t/s/x", io.MultiReader(bytes.NewReader(randomBytes(2_000_000, 1)))))
		g.Expect(a.status).To(Equal(http.StatusOK))
	})
}

// TestUploadMemoryIsBounded: an upload of 100 MB holds at most two parts in
// memory, whether it is sent to an upstream or stored.
func TestUploadMemoryIsBounded(t *testing.T) {
	const size = 100_000_000
	for name, after := range map[string]int64{"delivered": size * 2, "stored after half": size / 2} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				if after > size {
					env.upstream("u1", upstream1, upstreamstandin.Switches{})
				} else {
					env.crashingUpstream(upstream1, after)
				}
				v := env.vm("vm1", teamSettings)
				var before, later runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := request("PUT", v, "/t/s/x", &countingReader{remaining: size})
				r.ContentLength = size
				a := env.send(r)
				g.Expect(a.status).To(Or(Equal(200), Equal(202)))
				synctest.Wait()
				runtime.GC()
				runtime.ReadMemStats(&later)
				held, peak := v.gateway.UploadMemory()
				t.Logf("held %d, peak %d bytes; heap in use %d before, %d after (with the stand-in's objects)",
					held, peak, before.HeapInuse, later.HeapInuse)
				g.Expect(held).To(BeZero())
				g.Expect(peak).To(BeNumerically("<=", 2*upload.PartSize))
			})
		})
	}
}

// moreUpstreams returns the settings of additional upstreams at the address of
// the first one, which raise the number of admitted calls.
func moreUpstreams(count int) string {
	text := "max_connections = 200\n"
	for i := range count {
		text += fmt.Sprintf("[/teams/t/services/s/upstreams/more-%d]\naddress = %s\nzone = a\nmax_connections = 200\n", i, upstream1)
	}
	return text
}

// TestUploadsBeyondTheMemoryAreRefused: uploads above the VM's limit of concurrent
// uploads are refused.
func TestUploadsBeyondTheMemoryAreRefused(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.upstream("u1", upstream1, upstreamstandin.Switches{ServiceTime: time.Second})
		v := env.vm("vm1", teamSettings+moreUpstreams(29))
		statuses := make(chan int, 100)
		for range 100 {
			go func() { statuses <- env.upload(v, make([]byte, 2000), "").status }()
		}
		counts := map[int]int{}
		for range 100 {
			counts[<-statuses]++
		}
		g.Expect(counts[http.StatusServiceUnavailable]).To(Equal(100 - 64))
		_, peak := v.gateway.UploadMemory()
		g.Expect(peak).To(BeNumerically("<=", 64*2*upload.PartSize))
	})
}

// TestManyUploadsAtOnce: the upload memory of a VM stays within its limit however
// many uploads arrive at once, and each of them is answered.
func TestManyUploadsAtOnce(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.platform.SetFaults(platformstandin.Faults{ObjectDelay: time.Second})
		v := env.vm("vm1", teamSettings)
		answers := make(chan callResult, 100)
		for range 100 {
			go func() { answers <- env.upload(v, make([]byte, 1_200_000), "") }()
		}
		for range 100 {
			a := <-answers
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(uploadOutcomes).To(HaveKeyWithValue(a.status, a.header.Get("Figfront-Outcome")))
		}
		_, peak := v.gateway.UploadMemory()
		g.Expect(peak).To(BeNumerically("<=", 64*2*upload.PartSize))
	})
}
