package soak_test

import (
	"errors"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/soak"
	"github.com/figfront/figfront/platform/sitetest"
)

// step is something that the ledger hears of the request "id".
type step func(l *soak.Ledger)

func sent(kind sitetest.Kind) step {
	return func(l *soak.Ledger) { l.Sent(sitetest.Request{ID: "id", Kind: kind, Body: "body"}, nil) }
}

func ran(body string) step { return func(l *soak.Ledger) { l.Ran("id", "i-1", body) } }

func told(answer sitetest.Response) step { return func(l *soak.Ledger) { l.Told("id", answer) } }

// TestLedgerFindsBrokenPromises plays what callers and servers may see.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	served := sitetest.Response{Status: http.StatusOK, IsComplete: true}
	refused := sitetest.Response{Status: http.StatusServiceUnavailable}
	cases := map[string]struct {
		steps  []step
		broken []string
	}{
		"served":                    {[]step{sent(sitetest.Unsafe), ran("body"), told(served)}, nil},
		"refused":                   {[]step{sent(sitetest.Unsafe), told(refused)}, nil},
		"unknown":                   {[]step{sent(sitetest.Unsafe), ran("body"), told(sitetest.Response{Status: http.StatusBadGateway})}, nil},
		"lookup ran twice":          {[]step{sent(sitetest.Safe), ran("body"), ran("body"), told(served)}, nil},
		"lookup refused though run": {[]step{sent(sitetest.Safe), ran("body"), told(refused)}, nil},
		"cut on its way":            {[]step{sent(sitetest.Safe), ran("body"), told(sitetest.Response{Status: http.StatusOK, Err: errors.New("cut")})}, nil},
		"booking ran twice":         {[]step{sent(sitetest.Unsafe), ran("body"), ran("body")}, []string{"at most once"}},
		"refused though run":        {[]step{sent(sitetest.Unsafe), ran("body"), told(refused)}, []string{"not run"}},
		"runs after the refusal":    {[]step{sent(sitetest.Upload), told(refused), ran("body")}, []string{"not run"}},
		"served and not run":        {[]step{sent(sitetest.Upload), told(served)}, []string{"delivered"}},
		"answer of another":         {[]step{sent(sitetest.Safe), ran("body"), told(sitetest.Response{Status: http.StatusOK})}, []string{"whole answer"}},
		"part of the body":          {[]step{sent(sitetest.Upload), ran("bo"), told(served)}, []string{"whole request"}},
		"nobody asked":              {[]step{ran("body")}, []string{"asked"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ledger := soak.NewLedger()
			for _, s := range c.steps {
				s(ledger)
			}
			var broken []string
			for _, v := range ledger.Violations() {
				broken = append(broken, v.Promise)
			}
			g.Expect(broken).To(Equal(c.broken))
		})
	}
}
