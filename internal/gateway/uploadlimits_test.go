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

// TestUploadOfUnknownLengthAboveTheLimit is refused and never cut to the limit.
func TestUploadOfUnknownLengthAboveTheLimit(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
		v := b.vm("vm1", strings.Replace(teamText, "max_body = 200000000", "max_body = 2000000", 1))
		a := b.send(request("PUT", v, "/t/s/x", io.MultiReader(bytes.NewReader(content(2_000_001, 1)))))
		g.Expect(a.status).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(u.Counts().Ran).To(BeZero())
		a = b.send(request("PUT", v, "/t/s/x", io.MultiReader(bytes.NewReader(content(2_000_000, 1)))))
		g.Expect(a.status).To(Equal(http.StatusOK))
	})
}

// TestUploadMemoryIsBounded: a 100 MB body goes by in at most two parts, to an
// upstream and into the store.
func TestUploadMemoryIsBounded(t *testing.T) {
	const size = 100_000_000
	for name, after := range map[string]int64{"delivered": size * 2, "stored after half": size / 2} {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(g *WithT, b *bench) {
				if after > size {
					b.upstream("u1", upstream1, upstreamstandin.Switches{})
				} else {
					b.upstreamThatDies(upstream1, after)
				}
				v := b.vm("vm1", teamText)
				var before, later runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := request("PUT", v, "/t/s/x", &countingReader{left: size})
				r.ContentLength = size
				a := b.send(r)
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

// moreUpstreams returns settings of further upstreams at the first one's
// address, so that the limits of the upstreams let more calls in.
func moreUpstreams(count int) string {
	text := "max_connections = 200\n"
	for i := range count {
		text += fmt.Sprintf("[/teams/t/services/s/upstreams/more-%d]\naddress = %s\nzone = a\nmax_connections = 200\n", i, upstream1)
	}
	return text
}

// TestUploadsBeyondTheMemoryAreRefused: the VM's bound on the uploads at once
// holds.
func TestUploadsBeyondTheMemoryAreRefused(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		b.upstream("u1", upstream1, upstreamstandin.Switches{ServiceTime: time.Second})
		v := b.vm("vm1", teamText+moreUpstreams(29))
		statuses := make(chan int, 100)
		for range 100 {
			go func() { statuses <- b.put(v, make([]byte, 2000), "").status }()
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

// TestManyUploadsAtOnce: the bytes that a VM holds stay within its bound however
// many uploads come at once, and each is answered.
func TestManyUploadsAtOnce(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		b.platform.SetFaults(platformstandin.Faults{ObjectDelay: time.Second})
		v := b.vm("vm1", teamText)
		answers := make(chan answer, 100)
		for range 100 {
			go func() { answers <- b.put(v, make([]byte, 1_200_000), "") }()
		}
		for range 100 {
			a := <-answers
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Or(Equal(http.StatusAccepted), Equal(http.StatusServiceUnavailable)))
		}
		_, peak := v.gateway.UploadMemory()
		g.Expect(peak).To(BeNumerically("<=", 64*2*upload.PartSize))
	})
}
