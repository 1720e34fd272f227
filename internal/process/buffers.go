package process

import (
	"net"
	"syscall"
)

// Receive buffers of the sockets of callers. What a socket has received and the process has not read
// takes memory of the VM. Left to itself, the kernel enlarges the buffer of a connection that is read fast
// to some megabytes.
const (
	// largeBufferBytes is the buffer of a connection, and smallBufferBytes that of each while there are more
	// than one for every connsPerLargeBuffer that the listener accepts.
	largeBufferBytes    = 256 << 10
	smallBufferBytes    = 16 << 10
	connsPerLargeBuffer = 8
)

// limitBuffersLocked limits the receive buffer of a new connection, and shrinks those of all if there are
// many. The caller holds t.mu.
func (t *connTracker) limitBuffersLocked(added *serverConn) {
	wasCrowded := t.isCrowded
	t.isCrowded = t.maxLargeBuffers > 0 && t.limit.Len() > t.maxLargeBuffers
	if !t.isCrowded {
		added.limitBuffer(largeBufferBytes)
		return
	}
	added.shrinkBufferLocked()
	if wasCrowded {
		return
	}
	for _, c := range t.byPlace {
		c.shrinkBufferLocked()
	}
}

// shrinkBufferLocked gives a connection a small receive buffer. The caller holds tracker.mu.
func (c *serverConn) shrinkBufferLocked() {
	if c.hasSmallBuffer {
		return
	}
	c.hasSmallBuffer = true
	c.limitBuffer(smallBufferBytes)
}

// limitBuffer sets the size of the receive buffer of a connection. Its window, which the kernel derived from
// the first buffer, may grow as far. A system that does not know the option, or a connection that has no
// buffer, is left as it was.
func (c *serverConn) limitBuffer(bytes int) {
	conn := c.Conn
	if limited, ok := conn.(*limitedConn); ok {
		conn = limited.Conn
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, bytes)
	})
}
