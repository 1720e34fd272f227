package strictconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/strictconn"
)

// resetConn is a connection that is reset while it is written to: the write fails, and reads then see an
// end in order, as on a socket whose error the write has taken.
type resetConn struct {
	net.Conn
	received io.Reader
	// isReset is closed when the connection is reset.
	isReset chan struct{}
}

// Read returns what was received, and then the end once the connection is reset.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.received.Read(p)
	if err == io.EOF {
		<-c.isReset
	}
	return n, err
}

// Write fails when the connection is reset, a while after reads have seen the end.
func (c *resetConn) Write([]byte) (int, error) {
	<-c.isReset
	time.Sleep(time.Second)
	return 0, syscall.ECONNRESET
}

// cutAnswer is the beginning of a response without a length.
const cutAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part"

// TestEndAfterAFailedWriteIsNoEnd guards against a part of a response that looks whole, since the write of
// the request took the error of the reset.
func TestEndAfterAFailedWriteIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		conn := strictconn.New(&resetConn{received: strings.NewReader(cutAnswer), isReset: make(chan struct{})})
		inner := conn.Conn.(*resetConn)
		go func() { _, _ = conn.Write([]byte("a long request")) }()
		synctest.Wait()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		close(inner.isReset)
		_, err = io.ReadAll(response.Body)
		g.Expect(err).To(MatchError(strictconn.ErrBroken))
	})
}

// TestEndInOrderIsAnEnd reads a response that ends with its connection after the request was written.
func TestEndInOrderIsAnEnd(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	conn := strictconn.New(near)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, len("request")))
		_, _ = io.WriteString(far, cutAnswer)
		_ = far.Close()
	}()
	_, err := conn.Write([]byte("request"))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("a part"))
}
