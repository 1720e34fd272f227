package tunnel

import (
	"net"
	"sync"
	"time"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/exchange"
)

// HoldOff is what an upstream asked a VM for. To the upstream, the requests of a tunnel come
// from the VM that serves it.
type HoldOff struct {
	// Rest is the time for which it wants no requests; 0 means none.
	Rest time.Duration
	// IsLeaving means that it said that it is leaving.
	IsLeaving bool
}

func (h HoldOff) encode() *api.HoldOff {
	return &api.HoldOff{RestUs: h.Rest.Microseconds(), Leaving: h.IsLeaving}
}

func decodeHoldOff(encoded *api.HoldOff) HoldOff {
	return HoldOff{Rest: exchange.Elapsed(encoded.GetRestUs()), IsLeaving: encoded.GetLeaving()}
}

// served is a tunnel that this VM serves.
type served struct {
	service, address string
	upstream         net.Conn
	activity         activity

	// mu serializes the sends to the stream.
	mu     sync.Mutex
	stream api.DRPCTunnel_OpenStream
}

// send sends a frame to the VM that opened the tunnel.
func (t *served) send(frame *api.TunnelFrame) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stream.Send(frame)
}

// add and remove keep the set of open tunnels.
func (s *Server) add(t *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tunnels[t] = struct{}{}
}

func (s *Server) remove(t *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// TellHoldOff tells the VMs that have tunnels to an upstream through this one what it asked
// this VM for. It does not block.
func (s *Server) TellHoldOff(service, address string, h HoldOff) {
	s.tellOthers(nil, service, address, h)
}

// tellOthers tells all but one of them.
func (s *Server) tellOthers(except *served, service, address string, h HoldOff) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		if t != except && t.service == service && t.address == address {
			// The tunnel ends if this fails.
			go func() { _ = t.send(&api.TunnelFrame{HoldOff: h.encode()}) }()
		}
	}
}

// TellHoldOff tells the VM that the connection leads through what the upstream asked for.
func (c *Conn) TellHoldOff(h HoldOff) error {
	return c.send(&api.TunnelFrame{HoldOff: h.encode()})
}

// send sends a frame to the serving VM.
func (c *Conn) send(frame *api.TunnelFrame) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return c.stream.Send(frame)
}
