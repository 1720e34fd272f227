package soak

import (
	"net"
	"sync"
	"time"
)

// LinkState is what a proxy does with the bytes of its connections.
type LinkState int

// The states of a link.
const (
	// Sound passes everything on.
	Sound LinkState = iota
	// Slow passes everything on after linkDelay.
	Slow
	// CutRequests drops what callers send, CutAnswers what the target sends.
	CutRequests
	CutAnswers
	// Silent drops both and takes new connections without a word.
	Silent
)

// linkDelay is how late a slow link passes bytes on.
const linkDelay = 120 * time.Millisecond

// copyBytes is the size of a proxy's buffers.
const copyBytes = 16 << 10

// Proxy passes the connections to an address on and harms them. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state LinkState
	conns map[net.Conn]struct{}
}

// NewProxy returns a running proxy before target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Set sets the state of the link, for open connections too.
func (p *Proxy) Set(state LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// Reset closes all connections so that both ends see a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
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

func (p *Proxy) serve(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	p.hold(caller, target)
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(target, caller, CutRequests) })
	pipes.Go(func() { p.pipe(caller, target, CutAnswers) })
	pipes.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, caller)
	delete(p.conns, target)
}

func (p *Proxy) hold(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
}

// pipe copies one direction of a connection, which cut drops, until either end
// closes.
func (p *Proxy) pipe(dst, src net.Conn, cut LinkState) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buffer := make([]byte, copyBytes)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		state := p.current()
		if state == cut || state == Silent {
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

func (p *Proxy) current() LinkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}
