//go:build review

package main

import (
	"net"
	"sync"
)

// pathCut cuts the path from one IP to all servers: connections from there are reset. It is safe for
// concurrent use.
type pathCut struct {
	mu sync.Mutex
	// ip is the IP whose path is cut; empty while none is.
	ip string
	// conns are the open connections.
	conns map[*net.TCPConn]struct{}
}

// begin cuts the path from an IP.
func (c *pathCut) begin(ip string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ip = ip
	for conn := range c.conns {
		if sourceOf(conn) == ip {
			reset(conn)
			delete(c.conns, conn)
		}
	}
}

// end heals the cut.
func (c *pathCut) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ip = ""
}

// add adds a connection. It returns false if its path is cut, and resets it.
func (c *pathCut) add(conn *net.TCPConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sourceOf(conn) == c.ip {
		reset(conn)
		return false
	}
	if c.conns == nil {
		c.conns = make(map[*net.TCPConn]struct{})
	}
	c.conns[conn] = struct{}{}
	return true
}

// wrap returns a listener whose connections may be cut.
func (c *pathCut) wrap(listener net.Listener) net.Listener {
	return cutListener{Listener: listener, cut: c}
}

type cutListener struct {
	net.Listener
	cut *pathCut
}

// Accept returns the next connection whose path is not cut.
func (l cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok && !l.cut.add(tcp) {
			continue
		}
		return conn, nil
	}
}

// sourceOf returns the IP from which a connection was opened.
func sourceOf(conn net.Conn) string {
	ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return ip
}

// reset closes a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
