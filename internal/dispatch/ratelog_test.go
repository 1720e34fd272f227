package dispatch_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/dispatch"
	"github.com/figfront/figfront/internal/loadbalancer"
	"github.com/figfront/figfront/internal/telemetry"
)

// TestRateLimitsAreLoggedWhenTheyChange observes several responses of one upstream.
func TestRateLimitsAreLoggedWhenTheyChange(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	counters := telemetry.NewCounters()
	d := dispatch.NewDispatcher(dispatch.Options{
		Service: "s", VM: "vm", Counters: counters, Random: rand.New(rand.NewPCG(1, 2)),
		Log: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}),
	})
	d.SetUpstreams([]loadbalancer.Upstream{{Name: "u", Address: "u", Slots: 1}})
	named := callheader.Rate{IsNamed: true, PerSecond: 1.5}
	for _, rate := range []callheader.Rate{{}, named, named, {}, {}, named} {
		d.ObserveRate("u", rate, nil)
	}
	d.ObserveRate("u", callheader.Rate{}, callheader.ErrMalformedRate)
	d.ObserveRate("u", callheader.Rate{}, callheader.ErrMalformedRate)

	lines := out.String()
	g.Expect(strings.Count(lines, "upstream names a rate limit")).To(Equal(2), lines)
	g.Expect(strings.Count(lines, "upstream no longer names a rate limit")).To(Equal(2), lines)
	g.Expect(strings.Count(lines, "upstream names an unusable rate limit")).To(Equal(1), lines)
	g.Expect(lines).To(ContainSubstring(`"per_second":1.5`))
	g.Expect(counters.Get(telemetry.GroupDispatch, "rate_named")).To(Equal(int64(2)))
	g.Expect(counters.Get(telemetry.GroupDispatch, "rate_lifted")).To(Equal(int64(2)))
	g.Expect(counters.Get(telemetry.GroupDispatch, "rate_malformed")).To(Equal(int64(2)))
}
