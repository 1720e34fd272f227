package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// maxEndlessBytes is the number of bytes of an endless response that may be read from one
// connection: a header of 64 KB for each of its parts, and a megabyte of body that is buffered.
const maxEndlessBytes = 4 << 20

// endless are responses that never end: what they begin with and what follows again and again.
var endless = map[string]struct{ begin, repeat string }{
	"interim responses":       {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	"header lines":            {"HTTP/1.1 200 OK\r\n", "X-Line: 0123456789\r\n"},
	"one header line":         {"HTTP/1.1 200 OK\r\nX-Line: ", "0123456789"},
	"one chunk extension":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "0123456789"},
	"chunks of one byte":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;extension=0123456789012345678901234567890123456789\r\nx\r\n"},
	"trailer lines":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: 0123456789\r\n"},
	"bytes that are no HTTP":  {"", "0123456789"},
	"empty lines":             {"", "\r\n"},
	"a status line of digits": {"HTTP/1.1 200 ", "0123456789"},
}

// TestEndlessResponseIsCutAndItsConnectionClosed answers a call, or the probe of one, without
// end.
func TestEndlessResponseIsCutAndItsConnectionClosed(t *testing.T) {
	for name, response := range endless {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				var largest, open atomic.Int64
				env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
					open.Add(1)
					defer open.Add(-1)
					if _, err := readRequest(in); err != nil {
						return
					}
					written, _ := io.WriteString(conn, response.begin)
					block := strings.Repeat(response.repeat, 1024/len(response.repeat)+1)
					for written < 4*maxEndlessBytes {
						n, err := io.WriteString(conn, block)
						written += n
						if err != nil {
							break
						}
					}
					largest.Store(max(largest.Load(), int64(written)))
				})
				v := env.vm("vm1", teamSettings)
				a := env.send(request("POST", v, "/t/s/x", strings.NewReader("b")))
				g.Expect(a.status).NotTo(Equal(http.StatusOK))
				synctest.Wait()
				g.Expect(largest.Load()).To(BeNumerically("<=", maxEndlessBytes))
				g.Expect(open.Load()).To(BeZero(), "open connections")
			})
		})
	}
}
