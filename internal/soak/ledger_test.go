package soak_test

import (
	"errors"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/soak"
	"github.com/figfront/figfront/platform/sitetest"
)

// step records one event of the request "id" in the ledger.
type step func(l *soak.Ledger)

func sent(kind sitetest.Kind) step {
	return func(l *soak.Ledger) { l.Sent(sitetest.Request{ID: "id", Kind: kind, Body: "body"}, nil) }
}

func ran(body string) step { return func(l *soak.Ledger) { l.Ran("id", "i-1", body) } }

func finished(response sitetest.Response) step {
	return func(l *soak.Ledger) { l.Finished("id", response) }
}

// TestLedgerReportsViolations checks which sequences of events the ledger reports as
// violations.
func TestLedgerReportsViolations(t *testing.T) {
	served := sitetest.Response{Status: http.StatusOK, IsComplete: true}
	refused := sitetest.Response{Status: http.StatusServiceUnavailable}
	cases := map[string]struct {
		steps  []step
		broken []string
	}{
		"served":                      {[]step{sent(sitetest.Unsafe), ran("body"), finished(served)}, nil},
		"refused":                     {[]step{sent(sitetest.Unsafe), finished(refused)}, nil},
		"unknown":                     {[]step{sent(sitetest.Unsafe), ran("body"), finished(sitetest.Response{Status: http.StatusBadGateway})}, nil},
		"lookup ran twice":            {[]step{sent(sitetest.Safe), ran("body"), ran("body"), finished(served)}, nil},
		"lookup refused though run":   {[]step{sent(sitetest.Safe), ran("body"), finished(refused)}, nil},
		"response truncated":          {[]step{sent(sitetest.Safe), ran("body"), finished(sitetest.Response{Status: http.StatusOK, Err: errors.New("cut")})}, nil},
		"booking ran twice":           {[]step{sent(sitetest.Unsafe), ran("body"), ran("body")}, []string{"at most once"}},
		"refused though run":          {[]step{sent(sitetest.Unsafe), ran("body"), finished(refused)}, []string{"not run"}},
		"runs after the refusal":      {[]step{sent(sitetest.Upload), finished(refused), ran("body")}, []string{"not run"}},
		"served and not run":          {[]step{sent(sitetest.Upload), finished(served)}, []string{"delivered"}},
		"response of another request": {[]step{sent(sitetest.Safe), ran("body"), finished(sitetest.Response{Status: http.StatusOK})}, []string{"whole answer"}},
		"incomplete request body":     {[]step{sent(sitetest.Upload), ran("bo"), finished(served)}, []string{"whole request"}},
		"run without a request":       {[]step{ran("body")}, []string{"asked"}},
		"refused, sent again, served": {[]step{sent(sitetest.Unsafe), finished(refused), sent(sitetest.Unsafe), ran("body"), finished(served)}, nil},
		"refused twice":               {[]step{sent(sitetest.Unsafe), finished(refused), sent(sitetest.Unsafe), finished(refused)}, nil},
		"refused, sent again, unknown": {
			[]step{sent(sitetest.Upload), finished(refused), sent(sitetest.Upload), ran("body"), finished(sitetest.Response{})}, nil,
		},
		"refused, sent again, refused though run": {
			[]step{sent(sitetest.Unsafe), finished(refused), sent(sitetest.Unsafe), ran("body"), finished(refused)}, []string{"not run"},
		},
		"refused though run, sent again, served": {
			[]step{sent(sitetest.Unsafe), ran("body"), finished(refused), sent(sitetest.Unsafe), ran("body"), finished(served)}, []string{"not run"},
		},
		"refused, ran, sent again": {
			[]step{sent(sitetest.Unsafe), finished(refused), ran("body"), sent(sitetest.Unsafe), finished(refused)}, []string{"not run"},
		},
		"refused twice, ran": {
			[]step{sent(sitetest.Unsafe), finished(refused), sent(sitetest.Unsafe), finished(refused), ran("body")}, []string{"not run"},
		},
		"refused, sent again, ran twice": {
			[]step{sent(sitetest.Unsafe), finished(refused), sent(sitetest.Unsafe), ran("body"), ran("body"), finished(served)}, []string{"at most once"},
		},
		"refused, sent again, served without a run": {
			[]step{sent(sitetest.Unsafe), finished(refused), sent(sitetest.Unsafe), finished(served)}, []string{"delivered"},
		},
		"lookup refused though run, sent again, served": {
			[]step{sent(sitetest.Safe), ran("body"), finished(refused), sent(sitetest.Safe), ran("body"), finished(served)}, nil,
		},
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
