package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/merge"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/telemetry"
)

const resendAddress = "10.0.1.1:80"

// runsAfterLostAnswer sends a booking over a connection that has carried a call
// before. The upstream runs the booking and closes the connection without an
// answer. It returns how often the booking ran.
func runsAfterLostAnswer(t *testing.T, body func() io.ReadCloser, transport func(*pipenet.Network) *http.Transport) int {
	runs := 0
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := pipenet.New()
		server := network.Serve(resendAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Method == http.MethodGet {
				return
			}
			runs++
			if runs == 1 {
				panic(http.ErrAbortHandler)
			}
		}))
		client := transport(network)
		warmUp, err := http.NewRequest(http.MethodGet, "http://"+resendAddress+"/", nil)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := client.RoundTrip(warmUp)
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()

		booking, err := http.NewRequest(http.MethodPost, "http://"+resendAddress+"/book", bytes.NewReader([]byte("{}")))
		g.Expect(err).NotTo(HaveOccurred())
		booking.Header.Set(callheader.IdempotencyKey, "k")
		if body != nil {
			booking.Body = body()
			booking.GetBody = nil
			booking.ContentLength = opaqueLength(booking.Body)
		}
		response, err = client.RoundTrip(booking)
		if err == nil {
			_ = response.Body.Close()
		}
		client.CloseIdleConnections()
		_ = server.Close()
		time.Sleep(time.Minute)
	})
	return runs
}

// opaqueLength returns the length of the reader in an opaque body, in bytes.
func opaqueLength(body io.ReadCloser) int64 {
	return int64(body.(nonRewindableBody).Reader.(*bytes.Reader).Len())
}

func plainTransport(network *pipenet.Network) *http.Transport {
	return &http.Transport{DialContext: network.Dial}
}

func gatewayTransport(network *pipenet.Network) *http.Transport {
	return newTransport(resendAddress, 2, idleConnTimeout, network.Dial, nil).base
}

// TestTransportResendsABookingByItself shows the fault that opaqueBody is for:
// without it the Transport runs a booking twice.
func TestTransportResendsABookingByItself(t *testing.T) {
	NewWithT(t).Expect(runsAfterLostAnswer(t, nil, plainTransport)).To(Equal(2))
	NewWithT(t).Expect(runsAfterLostAnswer(t, nil, gatewayTransport)).To(Equal(2))
}

func TestOpaqueBodyIsSentOnce(t *testing.T) {
	opaque := func() io.ReadCloser { return nonRewindableBody{bytes.NewReader([]byte("{}"))} }
	NewWithT(t).Expect(runsAfterLostAnswer(t, opaque, gatewayTransport)).To(Equal(1))
}

// TestEmptyOpaqueBodyIsSentOnce covers bookings without a body, such as
// DELETE: the Transport resends a request without a body as well.
func TestEmptyOpaqueBodyIsSentOnce(t *testing.T) {
	empty := func() io.ReadCloser { return nonRewindableBody{bytes.NewReader(nil)} }
	NewWithT(t).Expect(runsAfterLostAnswer(t, empty, gatewayTransport)).To(Equal(1))
}

// TestBookingWithoutKeyIsSentOnce covers callers that give X-Idempotency-Key,
// which the Transport takes for a leave to resend, and no key of ours.
func TestBookingWithoutKeyIsSentOnce(t *testing.T) {
	upstreamSends := bookThroughGateway(t, "X-Idempotency-Key")
	NewWithT(t).Expect(upstreamSends).To(Equal(1))
}

// bookThroughGateway serves a booking with the given key header over a
// connection that dies after the upstream ran it, and returns the runs.
func bookThroughGateway(t *testing.T, keyHeader string) int {
	runs := 0
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := pipenet.New()
		upstream := network.Serve(resendAddress, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.Method == http.MethodPost {
				runs++
				panic(http.ErrAbortHandler)
			}
		}))
		gateway := New(Options{
			VM: "vm", Zone: "solin", Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(), Dial: network.Dial,
		})
		g.Expect(gateway.Apply(merge.Config{Team: "split", Revision: 1, Settings: resendSettings})).To(BeTrue())
		g.Expect(serve(gateway, http.MethodGet, "")).To(Equal(http.StatusOK))
		g.Expect(serve(gateway, http.MethodPost, keyHeader)).To(Equal(http.StatusBadGateway))
		_ = upstream.Close()
		time.Sleep(time.Minute)
	})
	return runs
}

const resendSettings = `
[/teams/split/services/reservations/traffic/lookup]
[/teams/split/services/reservations/traffic/booking]
[/teams/split/services/reservations/upstreams/u]
address = ` + resendAddress + `
zone = solin
`

// serve runs one call and returns the status of its answer.
func serve(g *Gateway, method, keyHeader string) int {
	request := httptest.NewRequest(method, "/split/reservations/book", nil)
	if keyHeader != "" {
		request.Header.Set(keyHeader, "k")
	}
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, request)
	return recorder.Code
}
