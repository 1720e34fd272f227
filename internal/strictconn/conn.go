package strictconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

// ErrBroken means that a connection has ended while a request was being written, so that its end is not
// the end of a response.
var ErrBroken = errors.New("strictconn: connection broke while it was written to")

// Conn is a connection to a server. It is safe for concurrent use by one reader and writers.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writeEnded is signalled when a write has ended.
	writeEnded sync.Cond
	// writes is the number of writes that are going on.
	writes int
	// writeErr is the first error of a write; nil before it.
	writeErr error
	// head checks the bytes that are read.
	head headChecker
	// headErr is the error of the check; nil before it.
	headErr error
}

// New returns a Conn. Heads are checked from the first call of BeginResponse on.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.writeEnded.L = &c.mu
	return c
}

// BeginResponse means that the next bytes that are received begin the head of a response. It must be called
// before a request is written.
func (c *Conn) BeginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
}

// Write writes p.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.writeEnded.Broadcast()
	return n, err
}

// Read reads bytes. It returns io.EOF only if no write has failed, otherwise an error that wraps
// ErrBroken, and a HeadError after the bytes before a header line that is none.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.brokenHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if valid, headErr := c.checkHead(p[:n]); headErr != nil {
		if valid > 0 {
			return valid, nil
		}
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.endErr()
	}
	return n, err
}

// checkHead checks received bytes. It returns how many of them precede a broken header line.
func (c *Conn) checkHead(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	valid, err := c.head.add(p)
	c.headErr = err
	return valid, err
}

func (c *Conn) brokenHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// endErr returns the error of a read that met the end of the connection. A write that is going on may have
// taken the error that broke it, so it is waited for.
func (c *Conn) endErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writes > 0 {
		c.writeEnded.Wait()
	}
	if c.writeErr != nil {
		return errors.Wrap(ErrBroken, c.writeErr.Error())
	}
	return io.EOF
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial wraps a dial function so that it returns Conns. A nil dial means the network.
func Dial(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Transport is a transport whose connections were opened with a function that Dial returned. It begins
// the check of each response.
type Transport struct {
	*http.Transport
}

// RoundTrip sends a request and returns the response.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.BeginResponse()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
