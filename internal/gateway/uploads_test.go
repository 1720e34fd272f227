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

// uploadStatus is the status of an upload that the gateway serves.
type uploadStatus struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	SHA256   string `json:"sha256"`
	Attempts int    `json:"attempts"`
}

// randomBytes returns size pseudo-random bytes that depend on the seed.
func randomBytes(size int, seed uint64) []byte {
	random := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
	data := make([]byte, size)
	_, _ = random.Read(data)
	return data
}

func hexSHA256(data []byte) string {
	hash := sha256.Sum256(data)
	return hex.EncodeToString(hash[:])
}

// upload makes an upload with a declared length.
func (env *testEnv) upload(v *vm, data []byte, key string) callResult {
	r := request("PUT", v, "/t/s/files/1", bytes.NewReader(data))
	if key != "" {
		r.Header.Set(callheader.IdempotencyKey, key)
	}
	return env.send(r)
}

// statusOf requests the status of an accepted upload from a VM.
func (env *testEnv) statusOf(g *WithT, v *vm, accepted callResult) uploadStatus {
	location := accepted.header.Get("Location")
	g.Expect(location).To(HavePrefix("/figfront/uploads/"))
	a := env.send(request("GET", v, location, nil))
	g.Expect(a.status).To(Equal(http.StatusOK), string(a.body))
	var s uploadStatus
	g.Expect(json.Unmarshal(a.body, &s)).To(Succeed())
	return s
}

// crashingUpstream serves an upstream that reads a number of bytes of each body
// and then closes the connection. The result counts these crashes.
func (env *testEnv) crashingUpstream(address string, after int64) *atomic.Int64 {
	var crashes atomic.Int64
	env.serve(address, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, after)
		crashes.Add(1)
		panic(http.ErrAbortHandler)
	}))
	return &crashes
}

// replaceUpstream replaces the upstream at an address.
func (env *testEnv) replaceUpstream(address, name string) *upstreamstandin.Server {
	env.net.kill(address)
	return env.upstream(name, address, upstreamstandin.Switches{})
}

// keptPartsTime is the time after a delivery by which the parts have to be deleted.
const keptPartsTime = 2 * time.Minute

// TestUploadOutlivesItsUpstream: if the upstream crashes after any number of tenths
// of the body, the upload is accepted and delivered unchanged by another VM.
func TestUploadOutlivesItsUpstream(t *testing.T) {
	for _, size := range []int{1000, 400_000, 5_000_000} {
		for tenth := range 11 {
			t.Run(fmt.Sprintf("%d bytes, %d tenths", size, tenth), func(t *testing.T) {
				withTestEnv(t, func(g *WithT, env *testEnv) {
					crashes := env.crashingUpstream(upstream1, int64(size)*int64(tenth)/10)
					first := env.vm("vm1", teamSettings)
					second := env.vm("vm2", teamSettings)
					data := randomBytes(size, uint64(tenth))
					a := env.upload(first, data, "")
					g.Expect(a.status).To(Equal(http.StatusAccepted), string(a.body))
					g.Expect(crashes.Load()).To(BeNumerically(">=", 1))
					g.Expect(env.statusOf(g, second, a).State).To(Equal("pending"))

					u := env.replaceUpstream(upstream1, "u1")
					env.startDeliverer(second)
					time.Sleep(10 * time.Second)
					s := env.statusOf(g, first, a)
					g.Expect(s.State).To(Equal("delivered"))
					hash, ok := u.UploadHash(s.ID)
					g.Expect(ok).To(BeTrue())
					g.Expect(hash).To(Equal(hexSHA256(data)))
					time.Sleep(keptPartsTime)
					g.Expect(env.platform.Objects()).To(BeZero())
				})
			})
		}
	}
}

// TestUploadInMemoryIsRetriedAtOnce: an upload whose body is still in memory is
// retried on the next upstream at once and not stored.
func TestUploadInMemoryIsRetriedAtOnce(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.crashingUpstream(upstream1, 100)
		u := env.upstream("u2", upstream2, upstreamstandin.Switches{})
		v := env.vm("vm1", teamSettings+secondUpstream)
		for i := range 40 {
			data := randomBytes(100_000, uint64(i))
			a := env.upload(v, data, fmt.Sprint("key", i))
			g.Expect(a.status).To(Or(Equal(200), Equal(202)))
			if a.status == http.StatusOK {
				hash, _ := u.UploadHash(upload.NewID("t", "s", fmt.Sprint("key", i)))
				g.Expect(hash).To(Equal(hexSHA256(data)))
			}
		}
		g.Expect(v.counters.Get("retries", "upstream_failed")).To(BeNumerically(">=", 1))
	})
}

// TestUploadStoredWhenNoUpstreamTakesIt: an upload of unknown length is stored if
// its only upstream sheds it or fails, and delivered when the upstream recovers.
func TestUploadStoredWhenNoUpstreamTakesIt(t *testing.T) {
	faults := map[string]upstreamstandin.Switches{
		"shed": {Shed: true}, "failing": {FailFast: true},
	}
	for name, switches := range faults {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				u := env.upstream("u1", upstream1, switches)
				v := env.vm("vm1", teamSettings)
				env.startDeliverer(v)
				data := randomBytes(3_000_000, 1)
				r := request("PUT", v, "/t/s/x?a=b%20c", io.MultiReader(bytes.NewReader(data)))
				r.Header.Set("Content-Type", "application/pdf")
				a := env.send(r)
				g.Expect(a.status).To(Equal(http.StatusAccepted))
				g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("accepted"))
				time.Sleep(5 * time.Second)
				g.Expect(env.statusOf(g, v, a).State).To(Equal("pending"))
				u.Set(upstreamstandin.Switches{})
				time.Sleep(2 * time.Minute)
				s := env.statusOf(g, v, a)
				g.Expect(s.State).To(Equal("delivered"))
				hash, _ := u.UploadHash(s.ID)
				g.Expect(hash).To(Equal(hexSHA256(data)))
			})
		})
	}
}

// TestUploadIsNotToldAsAcceptedWithoutStore: while the table or the object store
// is down, an upload is refused if the upstream crashes or is unreachable, and
// succeeds if the upstream works.
func TestUploadIsNotToldAsAcceptedWithoutStore(t *testing.T) {
	faults := map[string]platformstandin.Faults{
		"table down":   {TableDown: true},
		"objects down": {ObjectsDown: true},
	}
	for name, faults := range faults {
		for _, size := range []int{1000, 3_000_000} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				withTestEnv(t, func(g *WithT, env *testEnv) {
					env.platform.SetFaults(faults)
					env.crashingUpstream(upstream1, int64(size/2))
					v := env.vm("vm1", teamSettings)
					data := randomBytes(size, 1)
					a := env.upload(v, data, "")
					g.Expect(a.status).To(Equal(http.StatusBadGateway))
					g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("unknown"))
					g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
					env.net.kill(upstream1)
					a = env.upload(v, data, "")
					g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
					g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("not run"))

					u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
					a = env.upload(v, data, "k")
					g.Expect(a.status).To(Equal(http.StatusOK))
					hash, _ := u.UploadHash(upload.NewID("t", "s", "k"))
					g.Expect(hash).To(Equal(hexSHA256(data)))
				})
			})
		}
	}
}

// TestUploadAnsweredEarlyIsNotAcknowledged: a 2xx response that arrives before the
// whole body was sent is not forwarded, whether the upload may be stored or not.
func TestUploadAnsweredEarlyIsNotAcknowledged(t *testing.T) {
	for _, park := range []string{"true", "false"} {
		t.Run("park "+park, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
					_, _ = io.CopyN(io.Discard, r.Body, 1000)
					_, _ = io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
					_, _ = io.Copy(io.Discard, r.Body)
				})
				v := env.vm("vm1", strings.Replace(teamSettings, "max_body", "park = "+park+"\nmax_body", 1))
				body := io.MultiReader(bytes.NewReader(randomBytes(100_000, 1)), &slowReader{remaining: 10},
					bytes.NewReader(randomBytes(100_000, 2)))
				a := env.send(request("PUT", v, "/t/s/x", body))
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

// slowReader returns one byte every 100 ms.
type slowReader struct{ remaining int }

func (s *slowReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(100 * time.Millisecond)
	s.remaining--
	p[0] = 'x'
	return 1, nil
}

// TestUploadTruncatedByItsCaller: an upload whose body ends early does not run and
// leaves no stored parts behind.
func TestUploadTruncatedByItsCaller(t *testing.T) {
	for tenth := range 10 {
		t.Run(fmt.Sprint(tenth), func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
				v := env.vm("vm1", teamSettings)
				data := randomBytes(3_000_000, 1)
				r := request("PUT", v, "/t/s/x", io.MultiReader(bytes.NewReader(data[:tenth*300_000]), failingReader{}))
				r.ContentLength = int64(len(data))
				g.Expect(env.send(r).err).To(HaveOccurred())
				time.Sleep(time.Minute)
				g.Expect(u.Counts().Ran).To(BeZero())
				g.Expect(env.platform.Objects()).To(BeZero())
			})
		})
	}
}

// failingReader fails on every read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestUploadAnswersOfTheTableLost: if the response to the write of the record is
// lost, or the write is applied late, the caller is still told the true state.
func TestUploadAnswersOfTheTableLost(t *testing.T) {
	faults := map[string]platformstandin.Faults{
		"lost":      {LoseResponses: 1},
		"all lost":  {LoseResponses: 50},
		"land late": {ApplyLate: 1, ApplyLateBy: time.Second},
	}
	for name, faults := range faults {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				v := env.vm("vm1", teamSettings)
				env.platform.SetFaults(faults)
				data := randomBytes(2_000_000, 1)
				a := env.upload(v, data, "k")
				g.Expect(a.status).To(Equal(http.StatusAccepted))
				env.platform.SetFaults(platformstandin.Faults{})
				u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
				env.startDeliverer(v)
				time.Sleep(time.Minute)
				s := env.statusOf(g, v, a)
				g.Expect(s.State).To(Equal("delivered"))
				hash, _ := u.UploadHash(s.ID)
				g.Expect(hash).To(Equal(hexSHA256(data)))
			})
		})
	}
}

// TestUploadWithTheSameKey: a retry of the same upload refers to the first one;
// an upload of another body under the same key is refused.
func TestUploadWithTheSameKey(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		data := randomBytes(2_000_000, 1)
		first := env.upload(v, data, "k")
		again := env.upload(v, data, "k")
		other := env.upload(v, randomBytes(2_000_000, 2), "k")
		withoutKey := env.upload(v, data, "")
		g.Expect(first.status).To(Equal(http.StatusAccepted))
		g.Expect(again.status).To(Equal(http.StatusAccepted))
		g.Expect(again.header.Get("Location")).To(Equal(first.header.Get("Location")))
		g.Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
		g.Expect(withoutKey.header.Get("Location")).NotTo(Equal(first.header.Get("Location")))
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
		env.startDeliverer(v)
		time.Sleep(time.Minute)
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(2))
	})
}
