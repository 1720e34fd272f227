package gateway

import (
	"context"
	"net"

	"github.com/figfront/figfront/internal/tunnel"
)

// DialDirect connects to an upstream for another VM. It refuses upstreams that this VM does
// not know as ones that may get calls, and all of a service to which it has lost its links.
func (g *Gateway) DialDirect(ctx context.Context, serviceName, address string) (net.Conn, error) {
	g.mu.Lock()
	s, ok := g.site.services[serviceName]
	g.mu.Unlock()
	if !ok || !s.hasUpstreamAt(address) {
		return nil, tunnel.RefusedError{Refusal: tunnel.UnknownUpstream}
	}
	if s.links.isLost() {
		return nil, tunnel.RefusedError{Refusal: tunnel.NoLinks}
	}
	if s.isHeldOffAt(address) {
		return nil, tunnel.RefusedError{Refusal: tunnel.HeldOff}
	}
	conn, err := s.dialer.dialDirect(ctx, "tcp", address)
	if err != nil && s.links.isLost() {
		return nil, tunnel.RefusedError{Refusal: tunnel.NoLinks}
	}
	return conn, err
}

// hasUpstreamAt reports whether an upstream that may get calls has the address.
func (s *service) hasUpstreamAt(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.transports[address]
	return ok
}

// ObserveHoldOff records what the upstream of a service at an address asked for, which concerns
// this VM: in a response that this VM passed on through a tunnel, or to the VM that serves a
// tunnel of this one.
func (g *Gateway) ObserveHoldOff(serviceName, address string, h tunnel.HoldOff) {
	g.mu.Lock()
	s, ok := g.site.services[serviceName]
	g.mu.Unlock()
	if ok {
		s.holdOffAt(address, h)
	}
}
