package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Timeouts of connections to upstreams.
const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
)

// maxAnswerHeaderBytes limits the header of an upstream's answer.
const maxAnswerHeaderBytes = 64 << 10

// transport holds the connections from this VM to one upstream.
type transport struct {
	address        string
	maxConnections int
	http           *http.Transport
}

func newTransport(address string, maxConnections int, dial DialFunc) *transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &transport{
		address:        address,
		maxConnections: maxConnections,
		http: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxConnections,
			MaxConnsPerHost:        maxConnections,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
			Proxy:                  nil,
		},
	}
}

func (t *transport) close() {
	t.http.CloseIdleConnections()
}
