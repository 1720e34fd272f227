package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"

	api "github.com/figfront/figfront/api/exchange"
)

// maxFrameBytes is the largest number of bytes of one frame.
const maxFrameBytes = 32 << 10

// ErrBroken means that a tunnel ended without the end of the connection at its other side.
var ErrBroken = errors.New("tunnel: broken")

// Conn is a connection to an upstream through another VM. It implements net.Conn; a read
// deadline has no effect. Reads may run concurrently with writes.
type Conn struct {
	via     string
	address upstreamAddress
	conn    *drpcconn.Conn
	stream  api.DRPCTunnel_OpenClient
	cancel  context.CancelFunc
	// onHoldOff is called with what the upstream asked the serving VM for.
	onHoldOff func(HoldOff)
	// sendMu serializes stream.Send.
	sendMu sync.Mutex

	// isLeaving means that the serving VM takes no further requests. onLeaving is called when it says so.
	isLeaving atomic.Bool
	onLeaving func()

	// unread holds the received bytes that were not read yet; isEnded means that no more
	// follow.
	unread  []byte
	isEnded bool

	mu            sync.Mutex
	writeDeadline time.Time
}

// Via returns the name of the VM that the connection leads through.
func (c *Conn) Via() string {
	return c.via
}

// IsLeaving reports whether the serving VM takes no further requests on the tunnel. What is under way goes on.
func (c *Conn) IsLeaving() bool {
	return c.isLeaving.Load()
}

// Read reads the next bytes from the upstream. It returns io.EOF only if the upstream closed
// the connection in order, and otherwise an error that wraps ErrBroken.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.isEnded {
			return 0, io.EOF
		}
		frame, err := c.stream.Recv()
		if err != nil {
			return 0, errors.Wrap(ErrBroken, err.Error())
		}
		if h := frame.GetHoldOff(); h != nil {
			c.onHoldOff(decodeHoldOff(h))
		}
		if frame.GetOpened().GetRefusal() != "" {
			c.isLeaving.Store(true)
			c.onLeaving()
		}
		c.unread = frame.GetData()
		c.isEnded = frame.GetEnd()
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write sends bytes to the upstream. It closes the connection if that takes longer than the
// write deadline.
func (c *Conn) Write(p []byte) (int, error) {
	stop := c.startWriteTimer()
	defer stop()
	written := 0
	for written < len(p) {
		end := min(len(p), written+maxFrameBytes)
		if err := c.send(&api.TunnelFrame{Data: p[written:end]}); err != nil {
			return written, errors.Wrap(ErrBroken, err.Error())
		}
		written = end
	}
	return written, nil
}

// startWriteTimer closes the connection at the write deadline, unless the returned function
// is called before.
func (c *Conn) startWriteTimer() (stop func()) {
	c.mu.Lock()
	deadline := c.writeDeadline
	c.mu.Unlock()
	if deadline.IsZero() {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(deadline), func() { _ = c.Close() })
	return func() { timer.Stop() }
}

// Close closes the tunnel; the serving VM then closes the connection to the upstream.
func (c *Conn) Close() error {
	c.cancel()
	return c.conn.Close()
}

// LocalAddr returns the name of the VM that the connection leads through.
func (c *Conn) LocalAddr() net.Addr {
	return upstreamAddress(c.via)
}

// RemoteAddr returns the address of the upstream.
func (c *Conn) RemoteAddr() net.Addr {
	return c.address
}

// SetDeadline sets the write deadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return c.SetWriteDeadline(t)
}

// SetReadDeadline has no effect.
func (c *Conn) SetReadDeadline(time.Time) error {
	return nil
}

// SetWriteDeadline sets the time at which a write that is still going on closes the
// connection.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// upstreamAddress implements net.Addr.
type upstreamAddress string

// Network returns "tunnel".
func (upstreamAddress) Network() string { return "tunnel" }

// String returns the address.
func (a upstreamAddress) String() string { return string(a) }
