package gateway

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
)

// hopByHopHeaders are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// reservedHeaders are set by figfront only; they are removed from what callers
// and upstreams send.
var reservedHeaders = []string{
	callheader.Load, callheader.RateLimit, callheader.Shed, callheader.Draining, callheader.UploadID,
	callheader.Timeout, callheader.Upstream,
	outcome.HeaderOutcome, outcome.HeaderReason, outcome.HeaderRequestID, outcome.HeaderRetryAfterMs,
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// hasToken reports whether a list header contains a token, ignoring case.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for item := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(item), token) {
				return true
			}
		}
	}
	return false
}

// upstreamHeader returns the request header to send to an upstream.
func upstreamHeader(r *http.Request, id string, attempt int, deadline time.Time) http.Header {
	h := r.Header.Clone()
	acceptsTrailers := hasToken(h.Values("Te"), "trailers")
	removeHopByHopHeaders(h)
	if acceptsTrailers {
		h.Set("Te", "trailers")
	}
	h.Del("Expect")
	for _, name := range reservedHeaders {
		h.Del(name)
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		h.Add("X-Forwarded-For", host)
	}
	h.Set("X-Forwarded-Host", r.Host)
	h.Set(outcome.HeaderRequestID, id)
	h.Set(callheader.Attempt, strconv.Itoa(attempt))
	callheader.SetDeadline(h, deadline)
	callheader.SetTimeout(h, time.Until(deadline))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	return h
}

// copyResponseHeader copies the header of an upstream's response to the caller's
// response, without hop-by-hop and reserved headers.
func copyResponseHeader(dst, src http.Header) {
	h := src.Clone()
	removeHopByHopHeaders(h)
	for _, name := range reservedHeaders {
		h.Del(name)
	}
	for name, values := range h {
		dst[name] = values
	}
}
