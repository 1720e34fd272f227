package agent_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// One-way latencies of the in-memory network.
const (
	latencyInZone     = 100 * time.Microsecond
	latencyAcrossZone = 1500 * time.Microsecond
)

// network is an in-memory network of net.Pipe connections. A connection that loses
// bytes to a partition stays open but delivers nothing more, even after the partition
// has healed.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// isPartitioned reports whether two addresses are partitioned.
	isPartitioned func(from, to string) bool
	zones         map[string]string
	// bytes counts the bytes that each address sent to others.
	bytes map[string]*atomic.Int64
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener), zones: make(map[string]string),
		bytes: make(map[string]*atomic.Int64), isPartitioned: func(string, string) bool { return false },
	}
}

func (n *network) partition(isPartitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
}

func (n *network) isConnected(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isPartitioned(from, to)
}

func (n *network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.zones[from] == n.zones[to] {
		return latencyInZone
	}
	return latencyAcrossZone
}

// listen opens the listener of an address.
func (n *network) listen(address, zone string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	n.zones[address] = zone
	if n.bytes[address] == nil {
		n.bytes[address] = new(atomic.Int64)
	}
	return l
}

// sent returns the number of bytes that an address sent to other addresses.
func (n *network) sent(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[address].Load()
}

// dialer opens connections from an address.
type dialer struct {
	network *network
	from    string
}

func (d dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.network.mu.Lock()
	l, ok := d.network.listeners[address]
	d.network.mu.Unlock()
	if !ok || !d.network.isConnected(d.from, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := d.network.connect(d.from, address)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
	case <-ctx.Done():
	}
	_ = near.Close()
	_ = far.Close()
	return nil, net.ErrClosed
}

type listener struct {
	network *network
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

func (l *listener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// connect returns the two ends of a new connection.
func (n *network) connect(from, to string) (near, far net.Conn) {
	nearPipe, farPipe := net.Pipe()
	return newConn(n, nearPipe, from, to), newConn(n, farPipe, to, from)
}

// packet holds the bytes of one Write.
type packet struct {
	data []byte
	due  time.Time
}

// conn is one end of a connection. Writes are buffered and delivered after the
// latency, so that a writer never waits for the reader.
type conn struct {
	net.Conn
	network  *network
	from, to string
	packets  chan packet
	done     chan struct{}
	once     sync.Once
}

func newConn(n *network, pipe net.Conn, from, to string) *conn {
	c := &conn{
		Conn: pipe, network: n, from: from, to: to,
		packets: make(chan packet, 4096), done: make(chan struct{}),
	}
	go c.deliver()
	return c
}

func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.done:
		return 0, io.ErrClosedPipe
	default:
	}
	if c.from != c.to {
		c.network.mu.Lock()
		counter := c.network.bytes[c.from]
		c.network.mu.Unlock()
		counter.Add(int64(len(p)))
	}
	due := time.Now().Add(c.network.latency(c.from, c.to))
	select {
	case c.packets <- packet{data: append([]byte(nil), p...), due: due}:
		return len(p), nil
	case <-c.done:
		return 0, io.ErrClosedPipe
	}
}

// deliver delivers packets until the connection closes. Once a packet is lost, all
// later ones are lost too.
func (c *conn) deliver() {
	isLost := false
	for {
		select {
		case p := <-c.packets:
			time.Sleep(time.Until(p.due))
			isLost = isLost || !c.network.isConnected(c.from, c.to)
			if isLost {
				continue
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
