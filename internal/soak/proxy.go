package soak

import (
	"net"
	"sync"
	"time"
)

// LinkState is how a proxy treats the bytes of its connections.
type LinkState int

// The states of a link.
const (
	// Healthy forwards everything at once.
	Healthy LinkState = iota
	// Slow forwards everything after linkDelay.
	Slow
	// DropRequests drops what the client of the connection sends, DropResponses what
	// the target sends.
	DropRequests
	DropResponses
	// DropAll drops both directions; new connections are still accepted.
	DropAll
	// ResetAll resets all connections.
	ResetAll
)

// linkDelay is the delay of a slow link for each block of bytes.
const linkDelay = 120 * time.Millisecond

// bufferBytes is the size of the buffer of each direction of a connection.
const bufferBytes = 16 << 10

// Proxy is a TCP proxy that injects faults into its connections. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	state  LinkState
	// hostStates holds the states of the links of single client hosts, where they differ
	// from state.
	hostStates map[string]LinkState
	conns      map[net.Conn]struct{}
}

// NewProxy starts a proxy on a free port of loopback that forwards to target (host:port).
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{}), hostStates: make(map[string]LinkState)}
	go p.accept()
	return p, nil
}

// Address returns the host:port at which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetTarget sets the target (host:port) of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// dialTarget opens a connection to the target.
func (p *Proxy) dialTarget() (net.Conn, error) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	return net.Dial("tcp", target)
}

// Set sets the state of the link; it also applies to open connections.
func (p *Proxy) Set(state LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// SetFor sets the state of the links of the clients at one host; Healthy means that they have
// the state of all again.
func (p *Proxy) SetFor(host string, state LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state == Healthy {
		delete(p.hostStates, host)
		return
	}
	p.hostStates[host] = state
	if state == ResetAll {
		for conn := range p.conns {
			if hostOf(conn) == host {
				reset(conn)
			}
		}
	}
}

// hostOf returns the host at the other end of a connection.
func hostOf(conn net.Conn) string {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return host
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Reset closes all connections with a TCP reset on both sides. New connections are
// still accepted.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// Close stops the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	host := hostOf(client)
	if p.stateFor(host) == ResetAll {
		reset(client)
		return
	}
	target, err := p.dialTarget()
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, target)
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(target, client, host, DropRequests) })
	pipes.Go(func() { p.pipe(client, target, host, DropResponses) })
	pipes.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, target)
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

// pipe copies one direction of a connection until either side closes. It discards the
// bytes while the link is in dropState or in DropAll.
func (p *Proxy) pipe(dst, src net.Conn, host string, dropState LinkState) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		state := p.stateFor(host)
		if state == dropState || state == DropAll {
			continue
		}
		if state == Slow {
			time.Sleep(linkDelay)
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// stateFor returns the state of the link of a client host.
func (p *Proxy) stateFor(host string) LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, ok := p.hostStates[host]; ok {
		return state
	}
	return p.state
}
