package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/figfront/figfront/internal/tunnel"
)

// quickRefusal is the time within which a direct connection is refused at once.
const quickRefusal = 50 * time.Millisecond

// noWayDuration is how long no tunnel is tried after no VM has served one.
const noWayDuration = 250 * time.Millisecond

// dialer opens the connections to the upstreams of a service of a site, directly or through
// other VMs.
type dialer struct {
	// vm is the name of this VM.
	vm, service string
	direct      DialFunc
	links       *links
	// tunnels is nil if there are none.
	tunnels *tunnel.Client
	// noWayUntil is until when the upstreams count as out of reach while the links are lost,
	// in nanoseconds of Unix time.
	noWayUntil atomic.Int64
}

// dialDirect opens a direct connection and records a failure, unless ctx was cancelled.
func (d *dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := time.Now()
	conn, err := d.direct(ctx, network, address)
	if err != nil && !errors.Is(err, context.Canceled) {
		d.links.failed(began, address, err)
	}
	return conn, err
}

// dialTunnel opens a connection through another VM.
func (d *dialer) dialTunnel(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := d.tunnels.Dial(ctx, d.service, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// dial opens a connection. While the links are lost it prefers a tunnel. Otherwise it opens a
// tunnel if the direct connection is refused at once: it has then lost no time that the call
// needs for another upstream.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.tunnels == nil {
		return d.dialDirect(ctx, network, address)
	}
	if d.links.isLost() {
		return d.dialAround(ctx, network, address)
	}
	began := time.Now()
	conn, err := d.dialDirect(ctx, network, address)
	if err == nil || ctx.Err() != nil || time.Since(began) > quickRefusal && !d.links.isLost() {
		return conn, err
	}
	return d.dialTunnel(ctx, network, address)
}

// dialAround opens a tunnel. If no VM serves one although some may reach the upstreams, these
// count as out of reach for noWayDuration. If no VM reaches them, a direct connection harms
// nobody.
func (d *dialer) dialAround(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialTunnel(ctx, network, address)
	switch {
	case errors.Is(err, tunnel.ErrNoLinks):
		return d.dialDirect(ctx, network, address)
	case errors.Is(err, tunnel.ErrNoTunnel):
		d.noWayUntil.Store(time.Now().Add(noWayDuration).UnixNano())
	}
	return conn, err
}

// isOutOfReach reports whether the links are lost and no VM served a tunnel lately, so that
// no call can be sent.
func (d *dialer) isOutOfReach() bool {
	return d.links.isLost() && time.Now().UnixNano() < d.noWayUntil.Load()
}

// viaOf returns the name of the VM that a connection leads through; empty if it is direct.
func viaOf(conn net.Conn) string {
	if t, ok := conn.(*tunnel.Conn); ok {
		return t.Via()
	}
	return ""
}
