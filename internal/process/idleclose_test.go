package process_test

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/pipenet"
)

// lateConn is a connection whose first Read has received a request by the time that the
// connection is closed, but returns it only afterwards.
type lateConn struct {
	net.Conn
	request string
	closed  chan struct{}
	once    sync.Once
	read    bool
}

func (c *lateConn) Read(p []byte) (int, error) {
	<-c.closed
	if c.read {
		return 0, net.ErrClosed
	}
	c.read = true
	return copy(p, c.request), nil
}

func (c *lateConn) Write([]byte) (int, error) { return 0, net.ErrClosed }

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *lateConn) RemoteAddr() net.Addr             { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
func (c *lateConn) LocalAddr() net.Addr              { return c.RemoteAddr() }
func (c *lateConn) SetDeadline(time.Time) error      { return nil }
func (c *lateConn) SetReadDeadline(time.Time) error  { return nil }
func (c *lateConn) SetWriteDeadline(time.Time) error { return nil }

// oneConnListener accepts one connection.
type oneConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConnListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

func TestRequestReadWhileItsIdleConnectionIsClosedIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listener := &oneConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- &lateConn{
			request: "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", closed: make(chan struct{}),
		}
		s := newTestServerAt(g, pipenet.New(), listener)
		s.stop()
		g.Expect(<-s.stopped).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(s.served.Load()).To(BeZero())
	})
}
