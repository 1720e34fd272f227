package gateway_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upload"
	"github.com/figfront/figfront/internal/upstreamstandin"
	. "github.com/onsi/gomega"
)

// status is what the status path tells.
type status struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	SHA256   string `json:"sha256"`
	Attempts int    `json:"attempts"`
}

// content returns size bytes that differ at each offset and seed.
func content(size int, seed uint64) []byte {
	random := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	data := make([]byte, size)
	_, _ = random.Read(data)
	return data
}

func sum(data []byte) string {
	hash := sha256.Sum256(data)
	return hex.EncodeToString(hash[:])
}

// put uploads data with its length declared.
func (b *bench) put(v *vm, data []byte, key string) answer {
	r := request("PUT", v, "/t/s/files/1", bytes.NewReader(data))
	if key != "" {
		r.Header.Set(callheader.IdempotencyKey, key)
	}
	return b.send(r)
}

// statusOf asks a VM for the status of an accepted upload.
func (b *bench) statusOf(g *WithT, v *vm, accepted answer) status {
	location := accepted.header.Get("Location")
	g.Expect(location).To(HavePrefix("/figfront/uploads/"))
	a := b.send(request("GET", v, location, nil))
	g.Expect(a.status).To(Equal(http.StatusOK), string(a.body))
	var s status
	g.Expect(json.Unmarshal(a.body, &s)).To(Succeed())
	return s
}

// upstreamThatDies serves an upstream that reads so many bytes of each body and
// dies.
func (b *bench) upstreamThatDies(address string, after int64) *atomic.Int64 {
	var died atomic.Int64
	b.serve(address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, after)
		died.Add(1)
		panic(http.ErrAbortHandler)
	}))
	return &died
}

// replace puts another upstream at an address.
func (b *bench) replace(address, name string) *upstreamstandin.Server {
	b.net.kill(address)
	return b.upstream(name, address, upstreamstandin.Switches{})
}

// TestUploadOutlivesItsUpstream: the upstream dies at each tenth of the body;
// the upload is told as accepted and delivered, byte for byte, by another VM.
func TestUploadOutlivesItsUpstream(t *testing.T) {
	for _, size := range []int{1000, 400_000, 5_000_000} {
		for tenth := range 11 {
			t.Run(fmt.Sprintf("%d bytes, %d tenths", size, tenth), func(t *testing.T) {
				inBench(t, func(g *WithT, b *bench) {
					died := b.upstreamThatDies(upstream1, int64(size)*int64(tenth)/10)
					first := b.vm("vm1", teamText)
					second := b.vm("vm2", teamText)
					data := content(size, uint64(tenth))
					a := b.put(first, data, "")
					g.Expect(a.status).To(Equal(http.StatusAccepted), string(a.body))
					g.Expect(died.Load()).To(BeNumerically(">=", 1))
					g.Expect(b.statusOf(g, second, a).State).To(Equal("pending"))

					u := b.replace(upstream1, "u1")
					b.deliver(second)
					time.Sleep(10 * time.Second)
					s := b.statusOf(g, first, a)
					g.Expect(s.State).To(Equal("delivered"))
					hash, ok := u.UploadHash(s.ID)
					g.Expect(ok).To(BeTrue())
					g.Expect(hash).To(Equal(sum(data)))
					g.Expect(b.platform.Objects()).To(BeZero())
				})
			})
		}
	}
}

// TestUploadGoesElsewhereFromMemory: an upload that is still in memory goes to
// the next upstream at once and is not stored.
func TestUploadGoesElsewhereFromMemory(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		b.upstreamThatDies(upstream1, 100)
		u := b.upstream("u2", upstream2, upstreamstandin.Switches{})
		v := b.vm("vm1", teamText+secondUpstream)
		for i := range 40 {
			data := content(100_000, uint64(i))
			a := b.put(v, data, fmt.Sprint("key", i))
			g.Expect(a.status).To(Or(Equal(200), Equal(202)))
			if a.status == http.StatusOK {
				hash, _ := u.UploadHash(upload.NewID("t", "s", fmt.Sprint("key", i)))
				g.Expect(hash).To(Equal(sum(data)))
			}
		}
		g.Expect(v.counters.Get("retries", "upstream_failed")).To(BeNumerically(">=", 1))
	})
}

// TestUploadStoredWhenNoUpstreamTakesIt: shedding and failing upstreams leave the
// upload stored, also one of unknown length.
func TestUploadStoredWhenNoUpstreamTakesIt(t *testing.T) {
	faults := map[string]upstreamstandin.Switches{
		"shed": {Shed: true}, "failing": {FailFast: true},
	}
	for name, switches := range faults {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(g *WithT, b *bench) {
				u := b.upstream("u1", upstream1, switches)
				v := b.vm("vm1", teamText)
				b.deliver(v)
				data := content(3_000_000, 1)
				r := request("PUT", v, "/t/s/x?a=b%20c", io.MultiReader(bytes.NewReader(data)))
				r.Header.Set("Content-Type", "application/pdf")
				a := b.send(r)
				g.Expect(a.status).To(Equal(http.StatusAccepted))
				g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("accepted"))
				time.Sleep(5 * time.Second)
				g.Expect(b.statusOf(g, v, a).State).To(Equal("pending"))
				u.Set(upstreamstandin.Switches{})
				time.Sleep(2 * time.Minute)
				s := b.statusOf(g, v, a)
				g.Expect(s.State).To(Equal("delivered"))
				hash, _ := u.UploadHash(s.ID)
				g.Expect(hash).To(Equal(sum(data)))
			})
		})
	}
}

// TestUploadIsNotToldAsAcceptedWithoutStore: with the table or the object store
// down and the upstream dead the caller is refused; with the upstream alive the
// upload passes.
func TestUploadIsNotToldAsAcceptedWithoutStore(t *testing.T) {
	faults := map[string]platformstandin.Faults{
		"table down":   {TableDown: true},
		"objects down": {ObjectsDown: true},
	}
	for name, faults := range faults {
		for _, size := range []int{1000, 3_000_000} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				inBench(t, func(g *WithT, b *bench) {
					b.platform.SetFaults(faults)
					b.upstreamThatDies(upstream1, int64(size/2))
					v := b.vm("vm1", teamText)
					data := content(size, 1)
					a := b.put(v, data, "")
					g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
					g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("unknown"))
					g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
					b.net.kill(upstream1)
					a = b.put(v, data, "")
					g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
					g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("not run"))

					u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
					a = b.put(v, data, "k")
					g.Expect(a.status).To(Equal(http.StatusOK))
					hash, _ := u.UploadHash(upload.NewID("t", "s", "k"))
					g.Expect(hash).To(Equal(sum(data)))
				})
			})
		}
	}
}

// TestUploadAnsweredEarlyIsNotAcknowledged: a 2xx that comes before the body was
// sent is not passed on, whether the upload may be stored or not.
func TestUploadAnsweredEarlyIsNotAcknowledged(t *testing.T) {
	for _, park := range []string{"true", "false"} {
		t.Run("park "+park, func(t *testing.T) {
			inBench(t, func(g *WithT, b *bench) {
				b.net.script(upstream1, func(conn net.Conn, in *bufio.Reader) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
					_, _ = io.CopyN(io.Discard, r.Body, 1000)
					_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
					_, _ = io.Copy(io.Discard, r.Body)
				})
				v := b.vm("vm1", strings.Replace(teamText, "max_body", "park = "+park+"\nmax_body", 1))
				body := io.MultiReader(bytes.NewReader(content(100_000, 1)), &slowReader{left: 10},
					bytes.NewReader(content(100_000, 2)))
				a := b.send(request("PUT", v, "/t/s/x", body))
				if park == "true" {
					g.Expect(a.status).To(Equal(http.StatusAccepted))
					return
				}
				g.Expect(a.status).To(Equal(http.StatusBadGateway))
				g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("unknown"))
			})
		})
	}
}

// slowReader gives a byte each 100 ms.
type slowReader struct{ left int }

func (s *slowReader) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(100 * time.Millisecond)
	s.left--
	p[0] = 'x'
	return 1, nil
}

// TestUploadCutByItsCaller leaves nothing behind.
func TestUploadCutByItsCaller(t *testing.T) {
	for tenth := range 10 {
		t.Run(fmt.Sprint(tenth), func(t *testing.T) {
			inBench(t, func(g *WithT, b *bench) {
				u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
				v := b.vm("vm1", teamText)
				data := content(3_000_000, 1)
				r := request("PUT", v, "/t/s/x", io.MultiReader(bytes.NewReader(data[:tenth*300_000]), failingReader{}))
				r.ContentLength = int64(len(data))
				g.Expect(b.send(r).err).To(HaveOccurred())
				time.Sleep(time.Minute)
				g.Expect(u.Counts().Ran).To(BeZero())
				g.Expect(b.platform.Objects()).To(BeZero())
			})
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestUploadAnswersOfTheTableLost: the answer to the record's write is lost, or
// the write lands late; the caller is told what is true.
func TestUploadAnswersOfTheTableLost(t *testing.T) {
	faults := map[string]platformstandin.Faults{
		"lost":      {LoseResponses: 1},
		"all lost":  {LoseResponses: 50},
		"land late": {ApplyLate: 1, ApplyLateBy: time.Second},
	}
	for name, faults := range faults {
		t.Run(name, func(t *testing.T) {
			inBench(t, func(g *WithT, b *bench) {
				v := b.vm("vm1", teamText)
				b.platform.SetFaults(faults)
				data := content(2_000_000, 1)
				a := b.put(v, data, "k")
				g.Expect(a.status).To(Equal(http.StatusAccepted))
				b.platform.SetFaults(platformstandin.Faults{})
				u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
				b.deliver(v)
				time.Sleep(time.Minute)
				s := b.statusOf(g, v, a)
				g.Expect(s.State).To(Equal("delivered"))
				hash, _ := u.UploadHash(s.ID)
				g.Expect(hash).To(Equal(sum(data)))
			})
		})
	}
}

// TestUploadWithTheSameKey: the same upload once more is the same upload;
// another body under the key is refused.
func TestUploadWithTheSameKey(t *testing.T) {
	inBench(t, func(g *WithT, b *bench) {
		v := b.vm("vm1", teamText)
		data := content(2_000_000, 1)
		first := b.put(v, data, "k")
		again := b.put(v, data, "k")
		other := b.put(v, content(2_000_000, 2), "k")
		free := b.put(v, data, "")
		g.Expect(first.status).To(Equal(http.StatusAccepted))
		g.Expect(again.status).To(Equal(http.StatusAccepted))
		g.Expect(again.header.Get("Location")).To(Equal(first.header.Get("Location")))
		g.Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
		g.Expect(free.header.Get("Location")).NotTo(Equal(first.header.Get("Location")))
		u := b.upstream("u1", upstream1, upstreamstandin.Switches{})
		b.deliver(v)
		time.Sleep(time.Minute)
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(2))
	})
}
