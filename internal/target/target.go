package target

import (
	"net/url"
	"slices"
	"strings"
)

// Target is the path of a request and its query, as the caller sent them.
type Target struct {
	Path string
	// Query is what follows the first "?" in the target. HasQuery tells an empty one from none.
	Query    string
	HasQuery bool
}

// Parse takes the target of a request line apart. Of a URL (absolute form), which is meant for proxies, the
// scheme and authority are left out, since a request to an origin server has none. The path of the other forms,
// of OPTIONS for a server as a whole and of CONNECT, is the whole text; it has no slash before it.
func Parse(text string) Target {
	rest, isURL := afterAuthority(text)
	if isURL {
		text = rest
	}
	var t Target
	t.Path, t.Query, t.HasQuery = strings.Cut(text, "?")
	if t.Path == "" {
		t.Path = "/"
	}
	return t
}

// schemes are those of the URLs that are targets.
var schemes = []string{"http", "https"}

// afterAuthority returns the path and query of a URL with one of the schemes; false for any other text.
func afterAuthority(text string) (string, bool) {
	scheme, rest, ok := strings.Cut(text, "://")
	isKnown := slices.ContainsFunc(schemes, func(known string) bool { return strings.EqualFold(known, scheme) })
	if !ok || !isKnown {
		return "", false
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		return "", true
	}
	return rest[end:], true
}

// String returns the path and the query in origin form.
func (t Target) String() string {
	if !t.HasQuery {
		return t.Path
	}
	return t.Path + "?" + t.Query
}

// URL returns the URL of a request to a host whose request line carries the target unchanged.
func (t Target) URL(host string) *url.URL {
	u := &url.URL{Scheme: "http", Host: host, RawQuery: t.Query, ForceQuery: t.HasQuery && t.Query == ""}
	u.Path, u.RawPath = split(t.Path)
	// net/http writes the opaque part in place of the path, but takes one with two slashes for an authority.
	if !beginsWithTwoSlashes(t.Path) {
		u.Opaque = t.Path
	}
	return u
}

// IsSendable reports whether URL can return a URL with the path. It can't if the path begins with two slashes
// and has a character that may not stand in a path.
func (t Target) IsSendable() bool {
	if !beginsWithTwoSlashes(t.Path) {
		return true
	}
	u := url.URL{}
	u.Path, u.RawPath = split(t.Path)
	return u.EscapedPath() == t.Path
}

func beginsWithTwoSlashes(path string) bool {
	return strings.HasPrefix(path, "//")
}

// split returns the decoded path and its escaped form, as in url.URL.
func split(escaped string) (path, rawPath string) {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return escaped, ""
	}
	return decoded, escaped
}
