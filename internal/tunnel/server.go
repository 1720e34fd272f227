package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	api "github.com/figfront/figfront/api/exchange"
	"github.com/figfront/figfront/internal/confine"
	"github.com/figfront/figfront/internal/strictconn"
	"github.com/figfront/figfront/internal/telemetry"
)

// Limits of a Server.
const (
	// maxTunnels is the number of tunnels that a VM serves at a time. It leaves the larger
	// part of the VM to its own callers.
	maxTunnels = 128
	// connectTimeout limits the time to connect to an upstream.
	connectTimeout = 400 * time.Millisecond
)

// Refusal is why a VM opens no tunnel.
type Refusal string

// The refusals of a Server.
const (
	// NoLinks means that the VM has itself lost its links to the service's upstreams.
	NoLinks Refusal = "no_links"
	// Full means that the VM serves as many tunnels as it may.
	Full Refusal = "full"
	// UnknownUpstream means that the VM knows no such upstream that may get calls.
	UnknownUpstream Refusal = "unknown_upstream"
	// NotConnected means that nothing accepts connections at the upstream's address.
	NotConnected Refusal = "not_connected"
	// ConnectFailed means that the upstream could not be connected to for another reason. It may be
	// full, which it shows by a reset, or out of reach.
	ConnectFailed Refusal = "connect_failed"
	// HeldOff means that the upstream asked the VM for no requests.
	HeldOff Refusal = "held_off"
	// Stopping means that the VM is being stopped.
	Stopping Refusal = "stopping"
)

// isOfUpstream reports whether the refusal concerns the upstream and not the VM.
func (r Refusal) isOfUpstream() bool {
	return r == NotConnected || r == ConnectFailed || r == UnknownUpstream || r == HeldOff
}

// isOfGoneUpstream reports whether the refusal means that the upstream is taken for gone: nothing accepts
// connections at its address, or the VM knows no such upstream.
func (r Refusal) isOfGoneUpstream() bool {
	return r == NotConnected || r == UnknownUpstream
}

// refusalOf returns the refusal that tells of the failure to connect to an upstream.
func refusalOf(err error) Refusal {
	var refused RefusedError
	switch {
	case errors.As(err, &refused):
		return refused.Refusal
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotConnected
	default:
		return ConnectFailed
	}
}

// Upstreams tells a Server about the upstreams of this VM.
type Upstreams interface {
	// DialDirect connects to an upstream of a service without a tunnel. The error wraps a
	// RefusedError if the VM may not or can't do so.
	DialDirect(ctx context.Context, service, address string) (net.Conn, error)
	// ObserveHoldOff records what the upstream at an address asked this VM for.
	ObserveHoldOff(service, address string, h HoldOff)
}

// RefusedError is the error of a tunnel that a VM refused to open.
type RefusedError struct {
	Refusal Refusal
}

// Error returns the refusal.
func (e RefusedError) Error() string {
	return "tunnel: refused: " + string(e.Refusal)
}

// Server opens tunnels for other VMs. It is safe for concurrent use.
type Server struct {
	upstreams Upstreams
	log       hclog.Logger
	counters  *telemetry.Counters
	open      atomic.Int64
	// isStopping means that no new tunnels are opened.
	isStopping atomic.Bool

	mu      sync.Mutex
	tunnels map[*served]struct{}
}

// NewServer returns a Server.
func NewServer(upstreams Upstreams, log hclog.Logger, counters *telemetry.Counters) *Server {
	return &Server{upstreams: upstreams, log: log, counters: counters, tunnels: make(map[*served]struct{})}
}

// errPanicked means that a tunnel ended with a panic.
var errPanicked = errors.New("tunnel: panicked")

// Open serves one tunnel until it ends.
func (s *Server) Open(stream api.DRPCTunnel_OpenStream) error {
	err := errPanicked
	confine.Run(s.log, s.counters, confine.Message, func() { err = s.serve(stream) })
	return err
}

func (s *Server) serve(stream api.DRPCTunnel_OpenStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive")
	}
	if s.isStopping.Load() {
		return s.refuse(stream, RefusedError{Stopping})
	}
	if s.open.Add(1) > maxTunnels {
		s.open.Add(-1)
		return s.refuse(stream, RefusedError{Full})
	}
	defer s.open.Add(-1)
	upstream, err := s.connect(stream.Context(), first.GetOpen())
	if err != nil {
		return s.refuse(stream, err)
	}
	defer func() { _ = upstream.Close() }()
	s.counters.Add(telemetry.GroupTunnels, "served", 1)
	t := &served{service: first.GetOpen().GetService(), address: first.GetOpen().GetAddress(), stream: stream, upstream: upstream}
	t.activity.receive()
	defer s.remove(t)
	if err := s.announce(t); err != nil {
		return errors.Wrap(err, "send")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go s.receiveInto(t)
	go s.watch(ctx, t)
	return sendFrom(t)
}

// announce adds a tunnel and tells the other VM that it is open. The tunnel is added first, so
// that the other VM misses nothing that the upstream asks for once it knows of the tunnel.
func (s *Server) announce(t *served) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.add(t)
	opened := &api.TunnelOpened{}
	if s.isStopping.Load() {
		opened.Refusal = string(Stopping)
	}
	return t.stream.Send(&api.TunnelFrame{Opened: opened})
}

// connect connects to the upstream that a VM asks for.
func (s *Server) connect(ctx context.Context, open *api.TunnelOpen) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.upstreams.DialDirect(ctx, open.GetService(), open.GetAddress())
	if err != nil {
		return nil, err
	}
	return strictconn.New(conn), nil
}

// refuse tells the other VM why no tunnel is opened.
func (s *Server) refuse(stream api.DRPCTunnel_OpenStream, err error) error {
	refusal := refusalOf(err)
	s.counters.Add(telemetry.GroupTunnels, "refused_"+string(refusal), 1)
	s.log.Debug("tunnel refused", telemetry.FieldReason, refusal, telemetry.FieldError, err)
	return stream.Send(&api.TunnelFrame{Opened: &api.TunnelOpened{Refusal: string(refusal)}})
}

// receiveInto passes what the other VM sends to the upstream. When the tunnel ends it closes
// the connection to the upstream.
func (s *Server) receiveInto(t *served) {
	defer func() { _ = t.upstream.Close() }()
	for {
		frame, err := t.stream.Recv()
		if err != nil {
			return
		}
		if h := frame.GetHoldOff(); h != nil {
			s.upstreams.ObserveHoldOff(t.service, t.address, decodeHoldOff(h))
			s.tellOthers(t, t.service, t.address, decodeHoldOff(h))
			continue
		}
		if !t.activity.send() {
			return
		}
		if _, err := t.upstream.Write(frame.GetData()); err != nil {
			return
		}
	}
}

// sendFrom passes what the upstream sends to the other VM until the connection ends. It
// returns an error, which breaks the tunnel, unless the upstream closed it in order.
func sendFrom(t *served) error {
	buffer := make([]byte, maxFrameBytes)
	for {
		n, readErr := t.upstream.Read(buffer)
		if n > 0 {
			t.activity.receive()
			if err := t.send(&api.TunnelFrame{Data: buffer[:n]}); err != nil {
				return errors.Wrap(err, "send")
			}
		}
		if errors.Is(readErr, io.EOF) {
			return t.send(&api.TunnelFrame{End: true})
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read from upstream")
		}
	}
}
