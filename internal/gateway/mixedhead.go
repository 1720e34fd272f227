package gateway

import (
	"net/http"
	"strings"

	"github.com/figfront/figfront/internal/callheader"
)

// headChecker is a transport that rejects responses whose status can't be that of a final response,
// and those whose head holds the status line of another response. An upstream that breaks off
// within a head and sends another response on the same connection joins the two: net/http takes
// both for one, with the status of the first and header lines of both.
type headChecker struct {
	next http.RoundTripper
}

// RoundTrip sends a request. It returns a callheader.RejectedError if the response is none, or its
// head is mixed.
func (t headChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	var reason callheader.Rejection
	switch {
	case !isFinalStatus(response.StatusCode):
		reason = callheader.RejectedNotFinal
	case isHeadMixed(response):
		reason = callheader.RejectedMixedHead
	default:
		return response, nil
	}
	_ = response.Body.Close()
	return nil, &callheader.RejectedError{Status: response.StatusCode, Reason: reason}
}

// Statuses of final responses (RFC 9110, section 15), from and to. net/http passes on others, and
// 101 although no request asks for another protocol.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// isFinalStatus reports whether a status can be that of a final response.
func isFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxFinalStatus
}

// isHeadMixed reports whether the reason phrase or a header line of a response holds the
// status line of another one.
func isHeadMixed(response *http.Response) bool {
	return containsStatusLine(response.Status) || hasStatusLine(response.Header)
}

// hasStatusLine reports whether a header line holds a status line.
func hasStatusLine(h http.Header) bool {
	for _, values := range h {
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether a text holds the beginning of a status line, such as
// "HTTP/1.1 503 ". The end of the status code may be that of the text.
func containsStatusLine(text string) bool {
	const version = "HTTP/1."
	for {
		_, rest, ok := strings.Cut(text, version)
		if !ok {
			return false
		}
		if isStatusLineRest(rest) {
			return true
		}
		text = rest
	}
}

// isStatusLineRest reports whether a text begins like a status line after its major version:
// a digit, a space and three digits.
func isStatusLineRest(text string) bool {
	const pattern = "0 000"
	if len(text) < len(pattern) {
		return false
	}
	for i, p := range []byte(pattern) {
		isDigit := text[i] >= '0' && text[i] <= '9'
		if isDigit != (p == '0') || p == ' ' && text[i] != ' ' {
			return false
		}
	}
	return true
}
