package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapFunc returns a transport that translates what next carries.
type WrapFunc func(next http.RoundTripper) http.RoundTripper

// Timeouts of connections to upstreams.
const (
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout closes a connection that carried nothing. It is short,
	// so that a call goes only over a connection that carried bytes lately or
	// over a new one: an older one may have gone silent.
	idleConnTimeout = 2 * time.Second
	// siteIdleConnTimeout is that at a site, whose upstreams charge for new
	// connections with a slot's time.
	siteIdleConnTimeout = 4 * time.Second
	// continueTimeout is how long an upload waits for the upstream's consent
	// before its body is sent.
	continueTimeout = 300 * time.Millisecond
	// upstreamStall is how long an upstream may take no byte of a request.
	upstreamStall = 10 * time.Second
)

// maxAnswerHeaderBytes limits the header of an upstream's answer.
const maxAnswerHeaderBytes = 64 << 10

// transport holds the connections from this VM to one upstream.
type transport struct {
	address        string
	maxConnections int
	http           *http.Transport
	// calls carries calls over http.
	calls http.RoundTripper
}

func newTransport(
	address string, maxConnections int, idle time.Duration, dial DialFunc, wrap WrapFunc,
) *transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	t := &transport{
		address:        address,
		maxConnections: maxConnections,
		http: &http.Transport{
			DialContext:            trackDial(dial),
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxConnections,
			MaxConnsPerHost:        maxConnections,
			IdleConnTimeout:        idle,
			ExpectContinueTimeout:  continueTimeout,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
			Proxy:                  nil,
		},
	}
	t.calls = t.http
	if wrap != nil {
		t.calls = wrap(t.http)
	}
	return t
}

func (t *transport) close() {
	t.http.CloseIdleConnections()
}
