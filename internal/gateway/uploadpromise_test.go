package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upstreamstandin"
	. "github.com/onsi/gomega"
)

// expectNoPromise fails unless a response says that the call may have run, with a
// status that callers don't take as "not run".
func expectNoPromise(g *WithT, a callResult) {
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("unknown"))
	g.Expect(a.status).To(Equal(http.StatusBadGateway))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestUploadCutAtItsUpstreamIsNotAnsweredAsNotRun(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.platform.SetFaults(platformstandin.Faults{TableDown: true})
		env.crashingUpstream(upstream1, 500)
		v := env.vm("vm1", teamSettings)
		expectNoPromise(g, env.upload(v, randomBytes(1000, 1), ""))
	})
}

func TestUploadWhoseRecordIsWrittenLateIsNotAnsweredAsNotRun(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.platform.SetFaults(platformstandin.Faults{ApplyLate: 1000, ApplyLateBy: 5 * time.Minute})
		v := env.vm("vm1", teamSettings)
		a := env.upload(v, randomBytes(1000, 1), "")
		env.platform.SetFaults(platformstandin.Faults{})
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
		env.startDeliverer(v)
		time.Sleep(10 * time.Minute)
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(1))
		expectNoPromise(g, a)
	})
}

func TestUploadWhoseEarlierRecordIsUnreadableIsNotAnsweredAsNotRun(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		data := randomBytes(1000, 1)
		g.Expect(env.upload(v, data, "k").status).To(Equal(http.StatusAccepted))
		env.failRecordReadsAfter(1)
		a := env.upload(v, data, "k")
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
		env.net.kill(platformAddress)
		env.serve(platformAddress, env.platform.Handler())
		env.startDeliverer(v)
		time.Sleep(time.Minute)
		g.Expect(u.Counts().Ran).To(BeEquivalentTo(1))
		expectNoPromise(g, a)
	})
}

// failRecordReadsAfter makes the platform refuse all but the first reads of pending
// uploads.
func (env *testEnv) failRecordReadsAfter(reads int64) {
	handler := env.platform.Handler()
	var count atomic.Int64
	env.net.kill(platformAddress)
	env.serve(platformAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isRecord := r.URL.Path == "/table/row" && strings.HasPrefix(r.URL.Query().Get("key"), "uploads/pending/")
		if isRecord && count.Add(1) > reads {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
}

func TestShedUploadWithUncertainRecordHasAnAllowedOutcome(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.upstream("u1", upstream1, upstreamstandin.Switches{Shed: true})
		env.platform.SetFaults(platformstandin.Faults{ApplyLate: 1000, ApplyLateBy: time.Hour})
		v := env.vm("vm1", teamSettings)
		a := env.upload(v, randomBytes(1000, 1), "")
		g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("unknown"))
		g.Expect(v.counters.Get("calls", "outcome_replaced")).To(BeZero())
	})
}

func TestUploadCutByItsCallerAfterASendIsUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		rest   string
		status int
	}{
		"broken chunk":    {"broken\r\n", http.StatusBadRequest},
		"above the limit": {"5\r\nabcde\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
				v := env.vm("vm1", strings.Replace(teamSettings, "max_body = 200000000", "max_body = 10", 1))
				conn, err := env.net.dial(context.Background(), "tcp", v.address)
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = conn.Close() }()
				go func() {
					_, _ = io.WriteString(conn, "PUT /t/s/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabcdefgh\r\n")
					time.Sleep(5 * time.Second)
					_, _ = io.WriteString(conn, test.rest)
				}()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response.StatusCode).To(Equal(test.status))
				g.Expect(response.Header.Get("Figfront-Outcome")).To(Equal("unknown"))
				g.Expect(u.Counts().Received).To(BeEquivalentTo(1))
			})
		})
	}
}
