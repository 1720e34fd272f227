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

// runsAfterLostResponse sends a booking on a connection that was used before. The
// upstream runs the booking and closes the connection without a response. The
// result is the number of times that the booking ran.
func runsAfterLostResponse(t *testing.T, body func() io.ReadCloser, transport func(*pipenet.Network) *http.Transport) int {
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
			booking.ContentLength = bodyLength(booking.Body)
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

// bodyLength returns the length of a nonRewindableBody in bytes.
func bodyLength(body io.ReadCloser) int64 {
	return int64(body.(nonRewindableBody).Reader.(*bytes.Reader).Len())
}

func plainTransport(network *pipenet.Network) *http.Transport {
	return &http.Transport{DialContext: network.Dial}
}

func gatewayTransport(network *pipenet.Network) *http.Transport {
	return newTransport(resendAddress, 2, idleConnTimeout, network.Dial, nil, telemetry.NewCounters()).base
}

// TestTransportResendsABookingByItself demonstrates why nonRewindableBody exists:
// without it http.Transport resends the booking, which then runs twice.
func TestTransportResendsABookingByItself(t *testing.T) {
	NewWithT(t).Expect(runsAfterLostResponse(t, nil, plainTransport)).To(Equal(2))
	NewWithT(t).Expect(runsAfterLostResponse(t, nil, gatewayTransport)).To(Equal(2))
}

// TestNonRewindableBodyIsSentOnce: http.Transport does not resend a booking with a
// nonRewindableBody.
func TestNonRewindableBodyIsSentOnce(t *testing.T) {
	opaque := func() io.ReadCloser { return nonRewindableBody{bytes.NewReader([]byte("{}"))} }
	NewWithT(t).Expect(runsAfterLostResponse(t, opaque, gatewayTransport)).To(Equal(1))
}

// TestEmptyNonRewindableBodyIsSentOnce covers bookings without a body, such as
// DELETE: http.Transport would also resend a request without a body.
func TestEmptyNonRewindableBodyIsSentOnce(t *testing.T) {
	empty := func() io.ReadCloser { return nonRewindableBody{bytes.NewReader(nil)} }
	NewWithT(t).Expect(runsAfterLostResponse(t, empty, gatewayTransport)).To(Equal(1))
}

// TestBookingWithoutKeyIsSentOnce covers callers that set X-Idempotency-Key, which
// http.Transport takes as permission to resend, and no Idempotency-Key.
func TestBookingWithoutKeyIsSentOnce(t *testing.T) {
	upstreamSends := runsThroughGateway(t, "X-Idempotency-Key")
	NewWithT(t).Expect(upstreamSends).To(Equal(1))
}

// runsThroughGateway serves a booking with the given key header on a connection
// that breaks after the upstream ran it. It returns the number of runs.
func runsThroughGateway(t *testing.T, keyHeader string) int {
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

// serve makes one call and returns the status of its response.
func serve(g *Gateway, method, keyHeader string) int {
	request := httptest.NewRequest(method, "/split/reservations/book", nil)
	if keyHeader != "" {
		request.Header.Set(keyHeader, "k")
	}
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, request)
	return recorder.Code
}
