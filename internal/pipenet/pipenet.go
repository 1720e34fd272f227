// Package pipenet is an in-memory network for tests. Its connections are pipes, so
// that HTTP clients and servers can run in a testing/synctest bubble with virtual
// time.
package pipenet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrRefused means that no listener is open at the address. It wraps syscall.ECONNREFUSED.
var ErrRefused = errors.Wrap(syscall.ECONNREFUSED, "pipenet")

// Network connects callers with the listeners of addresses. It is safe for
// concurrent use.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	dialCounts map[string]int
}

// New returns an empty network.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), dialCounts: make(map[string]int)}
}

// Listen returns a listener at an address. It replaces an earlier listener there
// without closing it.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Serve starts an HTTP server at an address. The caller closes the returned server.
func (n *Network) Serve(address string, handler http.Handler) *http.Server {
	l := n.Listen(address)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return server
}

// Dial opens a connection to an address. It blocks until the listener accepts the
// connection, and returns ErrRefused if there is no open listener. It has the
// signature of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	return n.dial(ctx, "", address)
}

// DialFrom returns a function like Dial whose connections seem to come from an address, as
// IP:port.
func (n *Network) DialFrom(source string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, source, address)
	}
}

// sourcedConn is a connection that seems to come from an address.
type sourcedConn struct {
	net.Conn
	source address
}

// RemoteAddr returns that address.
func (c sourcedConn) RemoteAddr() net.Addr {
	return c.source
}

func (n *Network) dial(ctx context.Context, source, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.dialCounts[address]++
	n.mu.Unlock()
	if !ok {
		return nil, ErrRefused
	}
	client, server := net.Pipe()
	if source != "" {
		server = sourcedConn{Conn: server, source: addressOf(source)}
	}
	select {
	case l.incoming <- server:
		return client, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns how often an address was dialled, refused attempts included.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialCounts[address]
}

// listener is a net.Listener of a Network.
type listener struct {
	address   string
	incoming  chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept waits for the next connection. It returns net.ErrClosed once the listener
// is closed.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener; further connections are refused.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

// address implements net.Addr.
type address string

func addressOf(text string) address {
	return address(text)
}

// Network returns "pipe".
func (address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }
