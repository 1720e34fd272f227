package gateway_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/config/site"
	"github.com/figfront/figfront/internal/outcome"
)

// shedsWithID returns an upstream that sheds every call, in a response with a request ID.
func shedsWithID(id string) func(*siteTestEnv, http.ResponseWriter, *http.Request) {
	return func(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(outcome.HeaderRequestID, id)
		sheds(env, w, r)
	}
}

// shedsWithRest sheds every call and asks for rest; the upstream leaves.
func shedsWithRest(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Retry-After", "2.5")
	w.Header().Set(callheader.Draining, "1")
	sheds(env, w, r)
}

// TestLogShowsTheTransferOfAFailedSend checks that the log line of a failed call tells
// apart a response without an ID, a response to another call, a connection that broke,
// and a connection that was refused.
func TestLogShowsTheTransferOfAFailedSend(t *testing.T) {
	const id = "call-1"
	unreachable := []site.Upstream{{Name: "gone", Service: "a", Address: "10.0.9.9:80", Zone: "z", Slots: 2}}
	cases := map[string]struct {
		upstream  func(*siteTestEnv, http.ResponseWriter, *http.Request)
		upstreams []site.Upstream
		want      string
	}{
		"shed with ID": {
			sheds, siteUpstreams(),
			`"transfer":{"conn":"new","conn_number":1,"written":true,"status":503,"response_id":"own"}`,
		},
		"shed with a rest": {
			shedsWithRest, siteUpstreams(),
			`"transfer":{"conn":"new","conn_number":1,"written":true,"status":503,"response_id":"own","retry_after":"2.5","leaving":true}`,
		},
		"shed without ID": {
			shedsWithID(""), siteUpstreams(),
			`"transfer":{"conn":"new","conn_number":1,"written":true,"status":503,"response_id":"none","rejected":"no_id"}`,
		},
		"response to another call": {
			shedsWithID("call-0"), siteUpstreams(),
			`"transfer":{"conn":"new","conn_number":1,"written":true,"status":503,"response_id":"foreign","rejected":"foreign_id"}`,
		},
		"connection broke": {
			abortsConnection, siteUpstreams(), `"transfer":{"conn":"new","conn_number":1,"written":true,"upstream_end":"lives"}`,
		},
		"upstream ended": {
			endsUpstream, siteUpstreams(), `"transfer":{"conn":"new","conn_number":1,"written":true,"upstream_end":"ended"}`,
		},
		"not connected": {respondAtOnce, unreachable, `"transfer":{"written":false}`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withSiteTestEnv(t, c.upstream, func(g *WithT, env *siteTestEnv) {
				env.gateway.ApplySite(siteConfig(1))
				env.gateway.SetUpstreams(c.upstreams)
				env.callAs(id, http.MethodPost, "/book/1", "x")
				g.Expect(env.logLine(id)).To(ContainSubstring(c.want))
			})
		})
	}
}
