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

// connectionHeaders belong to one connection and are not passed on (RFC 9110,
// section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// ownHeaders are set by figfront alone.
var ownHeaders = []string{
	callheader.Load, callheader.Shed, callheader.Draining, callheader.UploadID,
	callheader.Timeout, callheader.Upstream,
	outcome.HeaderOutcome, outcome.HeaderReason, outcome.HeaderRequestID, outcome.HeaderRetryAfterMs,
}

// removeConnectionHeaders removes what belongs to one connection.
func removeConnectionHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// hasToken tells whether a list header holds a token.
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

// upstreamHeader returns the header that an upstream gets for a call.
func upstreamHeader(r *http.Request, id string, attempt int, deadline time.Time) http.Header {
	h := r.Header.Clone()
	takesTrailer := hasToken(h.Values("Te"), "trailers")
	removeConnectionHeaders(h)
	if takesTrailer {
		h.Set("Te", "trailers")
	}
	h.Del("Expect")
	for _, name := range ownHeaders {
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

// callerHeader copies the header of an upstream's answer for the caller.
func callerHeader(dst, src http.Header) {
	h := src.Clone()
	removeConnectionHeaders(h)
	for _, name := range ownHeaders {
		h.Del(name)
	}
	for name, values := range h {
		dst[name] = values
	}
}
