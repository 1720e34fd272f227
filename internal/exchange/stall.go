package exchange

import (
	"net"
	"time"
)

// stallTimeout is how long another process may accept no byte of what is sent to it, before the
// connection is broken. It is longer than processes stand still at times.
const stallTimeout = 10 * time.Second

// stallConn is a connection to another process whose writes fail after stallTimeout. Without it a
// process that has fallen silent would hold up each stream that sends to it until the kernel gives
// the connection up.
type stallConn struct {
	net.Conn
}

// Write writes p.
func (c stallConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// stallListener accepts stallConns.
type stallListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l stallListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return stallConn{conn}, nil
}
