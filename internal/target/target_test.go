package target_test

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/target"
)

func TestParse(t *testing.T) {
	for text, want := range map[string]target.Target{
		"/a/b":                     {Path: "/a/b"},
		"/":                        {Path: "/"},
		"/a?":                      {Path: "/a", HasQuery: true},
		"/a?b?c=%2F|":              {Path: "/a", Query: "b?c=%2F|", HasQuery: true},
		"/a%2Fb|\xc3\xa9;x#y":      {Path: "/a%2Fb|\xc3\xa9;x#y"},
		"/a/../b/./c//":            {Path: "/a/../b/./c//"},
		"//a/b":                    {Path: "//a/b"},
		"http://h.example/a%2F?q":  {Path: "/a%2F", Query: "q", HasQuery: true},
		"HTTPS://u:p@h:8/a":        {Path: "/a"},
		"http://h.example":         {Path: "/"},
		"http://h.example?q":       {Path: "/", Query: "q", HasQuery: true},
		"ftp://h.example/a":        {Path: "ftp://h.example/a"},
		"*":                        {Path: "*"},
		"h.example:443":            {Path: "h.example:443"},
		"/r?to=http://h.example/a": {Path: "/r", Query: "to=http://h.example/a", HasQuery: true},
	} {
		NewWithT(t).Expect(target.Parse(text)).To(Equal(want), text)
	}
}

// TestOnlyAPathWithTwoSlashesAndACharacterThatMayNotStandInItCantBeSent checks which paths are refused.
func TestOnlyAPathWithTwoSlashesAndACharacterThatMayNotStandInItCantBeSent(t *testing.T) {
	for path, want := range map[string]bool{"/a|b": true, "//a/b%2f;c": true, "//a|b": false, "//a\xc3\xa9": false} {
		NewWithT(t).Expect(target.Target{Path: path}.IsSendable()).To(Equal(want), path)
	}
}

// FuzzTarget checks that a request carries exactly the bytes of a target, if it can be sent, and that nothing
// of an origin-form target is lost.
func FuzzTarget(f *testing.F) {
	for _, text := range []string{"/", "/a%2Fb|c", "//a", "//a|", "/a?", "/a??b#c", "*", "http://h/a|b", "/\xff\x80", "/%zz"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		g := NewWithT(t)
		parsed := target.Parse(text)
		if strings.HasPrefix(text, "/") {
			g.Expect(parsed.String()).To(Equal(text))
		}
		// What net/http doesn't accept from callers doesn't get here.
		if _, err := url.ParseRequestURI(text); err != nil || strings.ContainsAny(text, " \t\r\n") || !parsed.IsSendable() {
			return
		}
		r := &http.Request{Method: http.MethodGet, URL: parsed.URL("10.0.0.1:80"), Header: http.Header{}}
		var written bytes.Buffer
		g.Expect(r.Write(&written)).To(Succeed())
		line, err := bufio.NewReader(&written).ReadString('\n')
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(line).To(Equal("GET " + parsed.String() + " HTTP/1.1\r\n"))
	})
}
