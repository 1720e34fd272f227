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

// The addresses of the caller tests.
const (
	gatewayAddress  = "10.0.0.1:80"
	upstreamAddress = "10.0.1.1:80"
)

// callerSettings has one upstream, one call at once and no queue.
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

// front is a gateway with one upstream on a network in memory.
type front struct {
	network  *pipenet.Network
	counters *telemetry.Counters
	upstream *upstreamstandin.Server
	close    func()
}

func newFront(t *testing.T) *front {
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
		network.Serve(upstreamAddress, withLargeAnswer(upstream.Handler())),
	}
	return &front{
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

// largeAnswer is more than the buffers between gateway and caller hold, in
// bytes.
const largeAnswer = 256 << 10

// withLargeAnswer answers /large itself and leaves the rest to next.
func withLargeAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, largeAnswer))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// exchange opens a connection to the gateway, writes what is given and returns
// a reader of the answer.
func (f *front) exchange(t *testing.T, text string) (*bufio.Reader, io.Closer) {
	t.Helper()
	conn, err := f.network.Dial(t.Context(), "tcp", gatewayAddress)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(conn, text) }()
	return bufio.NewReader(conn), conn
}

// TestSlowBodyIsEndedAtTheDeadline has a caller that sends half of a body and
// then nothing: it is told that its booking did not run, no later than at the
// booking's deadline, and its place is free again.
func TestSlowBodyIsEndedAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFront(t)
		defer f.close()
		start := time.Now()
		reader, conn := f.exchange(t, "POST /t/s/pay HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
		defer func() { _ = conn.Close() }()

		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		g.Expect(response.Header.Get(outcome.HeaderOutcome)).To(Equal(string(outcome.NotRun)))
		g.Expect(response.Header.Get(outcome.HeaderReason)).To(Equal(string(outcome.BodyBroken)))
		g.Expect(time.Since(start)).To(BeNumerically("<=", 5*time.Second))
		g.Expect(f.upstream.Counts().Received).To(BeZero())

		next, conn2 := f.exchange(t, "POST /t/s/pay HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nfull")
		defer func() { _ = conn2.Close() }()
		response, err = http.ReadResponse(next, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
}

// TestSlowReaderGivesItsPlaceBack has a caller that asks and never reads its
// answer: its place is free again after the write timeout.
func TestSlowReaderGivesItsPlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFront(t)
		defer f.close()
		_, conn := f.exchange(t, "GET /t/s/large HTTP/1.1\r\nHost: x\r\n\r\n")
		defer func() { _ = conn.Close() }()
		time.Sleep(time.Minute)

		next, conn2 := f.exchange(t, "GET /t/s/x HTTP/1.1\r\nHost: x\r\n\r\n")
		defer func() { _ = conn2.Close() }()
		response, err := http.ReadResponse(next, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
}

// TestKeepAliveAfterABody shows that a deadline set for one call's body does not
// end the next call on the same connection.
func TestKeepAliveAfterABody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFront(t)
		defer f.close()
		client := &http.Client{Transport: &http.Transport{DialContext: f.network.Dial, IdleConnTimeout: time.Hour}}
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

// TestOversizedCallersAreRefused counts what is refused by size.
func TestOversizedCallersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFront(t)
		defer f.close()
		request := fmt.Sprintf("POST /t/s/pay HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 2<<20)
		reader, conn := f.exchange(t, request)
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		g.Expect(f.counters.Get(telemetry.GroupRefusals, string(outcome.BodyTooLarge))).To(Equal(int64(1)))
	})
}

// TestUnroutedCallDoesNotWaitForItsBody has a caller whose body is slow and whose
// call is refused for another reason: the answer comes at once.
func TestUnroutedCallDoesNotWaitForItsBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFront(t)
		defer f.close()
		start := time.Now()
		reader, conn := f.exchange(t, "POST /t/none/pay HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf")
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// TestCallBeforeAnyConfiguration tells a VM that knows no team yet from an
// unknown service: the caller may come back.
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
