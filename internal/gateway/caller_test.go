package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/gateway"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
	"github.com/figfront/figfront/internal/upstreamstandin"
)

// Addresses in the tests of this file.
const (
	gatewayAddress  = "10.0.0.1:80"
	upstreamAddress = "10.0.1.1:80"
)

// callerSettings has one upstream and admits one call at a time without a queue.
const callerSettings = `
[/teams/t/services/s/traffic/lookup]
concurrency = 1
queue = 0
[/teams/t/services/s/traffic/booking]
concurrency = 1
queue = 0
deadline = 5s
[/teams/t/services/s/upstreams/u-1]
address = ` + upstreamAddress + `
zone = z
`

// callerTestEnv is a gateway with one upstream on an in-memory network.
type callerTestEnv struct {
	network  *pipenet.Network
	counters *telemetry.Counters
	upstream *upstreamstandin.Server
	close    func()
}

func newCallerTestEnv(t *testing.T) *callerTestEnv {
	t.Helper()
	network := pipenet.New()
	counters := telemetry.NewCounters()
	g := gateway.New(gateway.Options{
		VM: "vm", Zone: "z", Log: hclog.NewNullLogger(), Counters: counters, Dial: network.Dial, Seed: 1,
	})
	if !g.Apply(merge.Config{Team: "t", Revision: 1, Settings: callerSettings}) {
		t.Fatal("the settings were not applied")
	}
	upstream := upstreamstandin.New("u-1", 2, 10, upstreamstandin.Switches{ServiceTime: 8 * time.Millisecond})
	servers := []*http.Server{
		network.Serve(gatewayAddress, g),
		network.Serve(upstreamAddress, withLargeResponse(upstream.Handler())),
	}
	return &callerTestEnv{
		network: network, counters: counters, upstream: upstream,
		close: func() {
			g.Close()
			for _, s := range servers {
				_ = s.Close()
			}
			// net/http waits a moment before it closes a refused connection.
			time.Sleep(time.Second)
		},
	}
}

// largeResponseBytes is more than the buffers between gateway and caller hold.
const largeResponseBytes = 256 << 10

// withLargeResponse serves /large itself and passes other requests to next.
func withLargeResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, largeResponseBytes))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeRaw opens a connection to the gateway, writes text and returns a reader
// for the response.
func (env *callerTestEnv) writeRaw(t *testing.T, text string) (*bufio.Reader, io.Closer) {
	t.Helper()
	conn, err := env.network.Dial(t.Context(), "tcp", gatewayAddress)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(conn, text) }()
	return bufio.NewReader(conn), conn
}

// TestSlowBodyEndsAtTheDeadline: a caller that stops in the middle of its body is
// told by the booking's deadline that the booking did not run, and its slot is
// free again.
func TestSlowBodyEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newCallerTestEnv(t)
		defer env.close()
		start := time.Now()
		reader, conn := env.writeRaw(t, "POST /t/s/pay HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
		defer func() { _ = conn.Close() }()

		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		g.Expect(response.Header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
		g.Expect(response.Header.Get(outcome.HeaderReason)).To(Equal(string(outcome.BodyBroken)))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 5*time.Second))
		g.Expect(env.upstream.Counts().Received).To(BeZero())

		next, conn2 := env.writeRaw(t, "POST /t/s/pay HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nfull")
		defer func() { _ = conn2.Close() }()
		response, err = http.ReadResponse(next, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
}

// TestSlowReaderFreesItsSlot: the slot of a caller that never reads its response
// is free again after the write timeout.
func TestSlowReaderFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newCallerTestEnv(t)
		defer env.close()
		_, conn := env.writeRaw(t, "GET /t/s/large HTTP/1.1\r\nHost: x\r\n\r\n")
		defer func() { _ = conn.Close() }()
		time.Sleep(time.Minute)

		next, conn2 := env.writeRaw(t, "GET /t/s/x HTTP/1.1\r\nHost: x\r\n\r\n")
		defer func() { _ = conn2.Close() }()
		response, err := http.ReadResponse(next, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
}

// TestKeepAliveAfterABody: the read deadline for one call's body does not affect
// the next call on the same connection.
func TestKeepAliveAfterABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newCallerTestEnv(t)
		defer env.close()
		client := &http.Client{Transport: &http.Transport{DialContext: env.network.Dial, IdleConnTimeout: time.Hour}}
		defer client.CloseIdleConnections()
		for range 3 {
			response, err := client.Post("http://"+gatewayAddress+"/t/s/pay", "text/plain", strings.NewReader("x"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			time.Sleep(20 * time.Second)
		}
	})
}

// TestOversizedBodyIsRefused: a call whose body is above the limit is refused, and
// the refusal is counted.
func TestOversizedBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newCallerTestEnv(t)
		defer env.close()
		request := fmt.Sprintf("POST /t/s/pay HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 2<<20)
		reader, conn := env.writeRaw(t, request)
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(env.counters.Get(telemetry.GroupRefusals, string(outcome.BodyTooLarge))).To(Equal(int64(1)))
	})
}

// TestUnroutedCallDoesNotWaitForItsBody: a call without a route is refused at
// once although its body is slow.
func TestUnroutedCallDoesNotWaitForItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		env := newCallerTestEnv(t)
		defer env.close()
		start := time.Now()
		reader, conn := env.writeRaw(t, "POST /t/none/pay HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// TestCallBeforeAnyConfiguration: a VM without any configuration answers 503 with
// Retry-After, and not 404 as for an unknown service.
func TestCallBeforeAnyConfiguration(t *testing.T) {
	g := NewWithT(t)
	counters := telemetry.NewCounters()
	empty := gateway.New(gateway.Options{VM: "vm", Log: hclog.NewNullLogger(), Counters: counters})
	w := httptest.NewRecorder()
	empty.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/t/s/x", nil))
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get(outcome.HeaderReason)).To(Equal(string(outcome.NotReady)))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("1"))
}
