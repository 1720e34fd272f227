package strictconn_test

import (
	"bufio"
	"fmt"
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
		conn.BeginResponse()
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
	conn.BeginResponse()
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

// readPieces reads a response that arrives in pieces of the given length.
func readPieces(text string, pieceBytes int) error {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	conn := strictconn.New(near)
	conn.BeginResponse()
	go func() {
		defer func() { _ = far.Close() }()
		for len(text) > 0 {
			n := min(pieceBytes, len(text))
			if _, err := io.WriteString(far, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	_, err := io.Copy(io.Discard, conn)
	return err
}

// TestHeadsWithBrokenNames reads heads with names of fields that are none, and such that are, in pieces of
// each length. net/http drops a line whose name holds a blank, also that of the length or the framing.
func TestHeadsWithBrokenNames(t *testing.T) {
	g := NewWithT(t)
	const status = "HTTP/1.1 200 OK\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	broken := []string{
		"X Y: z", "Content-Length : 3", "Transfer-Encoding : chunked", "X\tY: z", "X\x01: z", "X\x7f: z", "X\xe9: z",
		": z", "no colon", "X\x00Y: z", "(X): z", "X\r: z",
	}
	for _, line := range broken {
		for _, text := range []string{
			status + line + "\r\nA: b\r\n\r\nbody", status + "A: b\r\n" + line + "\r\n\r\n", status + "A: b\n" + line + "\n\n",
			interim + status + line + "\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + status + "\r\n",
		} {
			for pieceBytes := 1; pieceBytes <= len(text); pieceBytes++ {
				var headErr *strictconn.HeadError
				g.Expect(readPieces(text, pieceBytes)).To(BeAssignableToTypeOf(headErr), "%q in pieces of %d", text, pieceBytes)
			}
		}
	}
	g.Expect(readPieces(status+" X: a continuation of nothing\r\n\r\n", 1)).NotTo(Succeed())
	sound := []string{
		status + "\r\n", status + "A: b\r\n\r\nX Y: a body", status + "A:\r\nB-c_d!: e\r\n\r\n", interim + interim + status + "A: b\r\n\r\n",
		status + "A: b\r\n  continued\r\nC: d\r\n\r\n", "HTTP/1.1 101 Switching\r\nA: b\r\n\r\nX Y: z\r\n", "HTTP/1.0 200\nA: b\n\nbody : x\n",
	}
	for _, text := range sound {
		for pieceBytes := 1; pieceBytes <= len(text); pieceBytes++ {
			g.Expect(readPieces(text, pieceBytes)).To(Succeed(), "%q in pieces of %d", text, pieceBytes)
		}
	}
}

// TestHeadOfALaterResponse checks the second response on a connection.
func TestHeadOfALaterResponse(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	conn := strictconn.New(near)
	reader := bufio.NewReader(conn)
	for _, line := range []string{"A: b", "A b: c"} {
		conn.BeginResponse()
		go func() { _, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n%s\r\n\r\nX Y: z", line) }()
		response, err := http.ReadResponse(reader, nil)
		if line == "A b: c" {
			g.Expect(err).To(HaveOccurred())
			return
		}
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// FuzzHead checks that a response which is not rejected has as many header lines for its reader as were
// sent, however its bytes were cut.
func FuzzHead(f *testing.F) {
	f.Add("A: b\r\nC: d", 3)
	f.Add("Content-Length : 3", 1)
	f.Add("X Y: z\r\nA: b", 7)
	f.Fuzz(func(t *testing.T, lines string, pieceBytes int) {
		text := "HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\n"
		if pieceBytes < 1 || len(lines) > 500 || !isOneHead(text) {
			t.Skip()
		}
		if readPieces(text, pieceBytes) != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return
		}
		read := 0
		for _, values := range response.Header {
			read += len(values)
		}
		if sent := strings.Count(lines, "\n") + 1; read != sent {
			t.Errorf("%d lines of %d in %q", read, sent, text)
		}
	})
}

// isOneHead reports whether a text is a head without folded lines that ends with its last line, and no line
// of the framing, which net/http keeps elsewhere.
func isOneHead(text string) bool {
	lines := strings.SplitAfter(text, "\n")
	for i, line := range lines[:len(lines)-2] {
		isFraming := strings.HasPrefix(strings.ToLower(line), "tr")
		if strings.TrimRight(line, "\r\n") == "" || i > 0 && (line[0] == ' ' || line[0] == '\t') || isFraming {
			return false
		}
	}
	return true
}
