package tunnel_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/tunnel"
)

// resetConn is a connection that is reset after its first write: the next write fails, and only then a read
// sees the end, as on a socket whose error the write has taken.
type resetConn struct {
	net.Conn
	writes atomic.Int64
	reset  chan struct{}
	once   sync.Once
}

// Read reads bytes, and the end once the connection was reset.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		<-c.reset
	}
	return n, err
}

// Write fails from the second time on.
func (c *resetConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		return c.Conn.Write(p)
	}
	c.once.Do(func() { close(c.reset) })
	return 0, syscall.ECONNRESET
}

// Close closes the connection and ends a read that waits.
func (c *resetConn) Close() error {
	c.once.Do(func() { close(c.reset) })
	return c.Conn.Close()
}

// TestTunnelOfAConnectionThatIsResetDoesNotEndInOrder guards against a part of a response that looks whole
// at the other VM.
func TestTunnelOfAConnectionThatIsResetDoesNotEndInOrder(t *testing.T) {
	withTunnels(t, answerOnce, func(g *WithT, client *tunnel.Client, first, second *servingVM) {
		for _, v := range []*servingVM{first, second} {
			v.wrap = func(conn net.Conn) net.Conn { return &resetConn{Conn: conn, reset: make(chan struct{})} }
		}
		conn, err := client.Dial(context.Background(), "a", upstreamAddress)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("a part"))
		g.Expect(err).NotTo(HaveOccurred())
		part := make([]byte, len("a part"))
		_, err = io.ReadFull(conn, part)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("the rest of a long request"))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(part)
		g.Expect(err).To(MatchError(tunnel.ErrBroken))
	})
}
