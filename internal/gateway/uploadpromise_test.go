package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/figfront/figfront/internal/platformstandin"
	"github.com/figfront/figfront/internal/upstreamstandin"
	. "github.com/onsi/gomega"
)

// uploadOutcomes holds the outcome that belongs to each status of an upload that no
// upstream has answered.
var uploadOutcomes = map[int]string{
	http.StatusAccepted: "accepted", http.StatusServiceUnavailable: "not run", http.StatusBadGateway: "unknown",
}

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
