package process

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Listen returns a TCP listener at address that accepts at most maxConnections
// connections at a time.
func Listen(address string, maxConnections int) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return LimitConnections(listener, maxConnections), nil
}

// LimitConnections returns a listener that accepts at most maxConnections connections of another one at a
// time.
func LimitConnections(listener net.Listener, maxConnections int) net.Listener {
	return &limitedListener{
		Listener: listener, places: make(chan struct{}, maxConnections), closed: make(chan struct{}),
	}
}

// limitedListener accepts a limited number of connections at a time.
type limitedListener struct {
	net.Listener
	// places holds an element for each open connection.
	places    chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits until a connection may be accepted and for the next one.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.places })}, nil
}

// Close closes the listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and gives back its place.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
