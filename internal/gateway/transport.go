package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/figfront/figfront/internal/telemetry"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapFunc returns a transport that translates the calls that next sends.
type WrapFunc func(next http.RoundTripper) http.RoundTripper

// Timeouts of connections to upstreams.
const (
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout closes an idle connection. It is short, so that a call uses
	// only a connection that recently carried bytes, or a new one: a connection
	// that was idle for longer may have gone silent.
	idleConnTimeout = 2 * time.Second
	// siteIdleConnTimeout is idleConnTimeout at a site, where each new connection
	// costs the upstream the time of a slot.
	siteIdleConnTimeout = 4 * time.Second
	// continueTimeout is how long an upload waits for the upstream's 100 Continue
	// before its body is sent.
	continueTimeout = 300 * time.Millisecond
	// upstreamStallTimeout is how long an upstream may accept no byte of a
	// request.
	upstreamStallTimeout = 10 * time.Second
)

// maxResponseHeaderBytes limits the header of an upstream's response.
const maxResponseHeaderBytes = 64 << 10

// transport holds the connections from this VM to one upstream.
type transport struct {
	address        string
	maxConnections int
	base           *http.Transport
	// conns counts the connections.
	conns connStats
	// roundTripper sends calls through base.
	roundTripper http.RoundTripper
}

// newTransport returns a transport without connections. A nil wrap means no wrapper.
func newTransport(
	address string, maxConnections int, idle time.Duration, dial DialFunc, wrap WrapFunc, counters *telemetry.Counters,
) *transport {
	t := &transport{
		address:        address,
		maxConnections: maxConnections,
		conns:          connStats{counters: counters},
	}
	t.base = &http.Transport{
		DialContext:            trackDial(dial, &t.conns),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxConnections,
		MaxConnsPerHost:        maxConnections,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		Proxy:                  nil,
	}
	t.roundTripper = headChecker{next: t.base}
	if wrap != nil {
		t.roundTripper = wrap(t.roundTripper)
	}
	return t
}

func (t *transport) close() {
	t.base.CloseIdleConnections()
}
