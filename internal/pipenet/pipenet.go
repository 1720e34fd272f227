// Package pipenet is a network in memory for tests: connections are pipes, so
// HTTP clients and servers run in a testing/synctest bubble on virtual time.
package pipenet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// ErrRefused means that nothing listens at an address.
var ErrRefused = errors.New("pipenet: connection refused")

// Network connects addresses.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	dials     map[string]int
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: make(map[string]*listener), dials: make(map[string]int)}
}

// Listen returns a listener at an address, in place of an earlier one.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Serve runs an HTTP server at an address and returns what closes it.
func (n *Network) Serve(address string, handler http.Handler) *http.Server {
	l := n.Listen(address)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return server
}

// Dial opens a connection. It has the signature of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.dials[address]++
	n.mu.Unlock()
	if !ok {
		return nil, ErrRefused
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, ErrRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns how often an address was dialled.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// listener is a net.Listener at an address of a Network.
type listener struct {
	address  string
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

// address is a net.Addr.
type address string

// Network returns "pipe".
func (address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }
