package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/pace"
)

// Calls whose responses have no end.
const (
	longCalls   = 5
	longTimeout = 2 * time.Second
	// bufferedBytes is what is read of a response before it is passed on.
	bufferedBytes = 1 << 20
	pieceBytes    = 32 << 10
)

// responsesWithoutEnd are the heads of such responses and the bytes that follow again and again.
var responsesWithoutEnd = map[string]struct{ head, repeat string }{
	"no length":     {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", pieceBytes)},
	"failure":       {"HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\n", strings.Repeat("x", pieceBytes)},
	"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("x", pieceBytes))},
	"small chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("10\r\n0123456789abcdef\r\n", 200)},
	"length of TiB": {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", strings.Repeat("x", pieceBytes)},
}

// TestResponsesWithoutEndTakeABoundedPartOfAVMTogether counts what is passed on of them until their
// deadline.
func TestResponsesWithoutEndTakeABoundedPartOfAVMTogether(t *testing.T) {
	bound := pace.New(1).MaxBytes(longTimeout, pieceBytes) + longCalls*(bufferedBytes+2*pieceBytes)
	for name, response := range responsesWithoutEnd {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
					if _, err := readRequest(in); err != nil {
						return
					}
					written, err := io.WriteString(conn, response.head)
					for err == nil && int64(written) < bound {
						var n int
						n, err = io.WriteString(conn, response.repeat)
						written += n
					}
				})
				v := env.vm("vm1", teamSettings)
				var passedOn atomic.Int64
				var calls sync.WaitGroup
				began := time.Now()
				for range longCalls {
					calls.Go(func() { passedOn.Add(passedOnBytes(env, v)) })
				}
				calls.Wait()
				g.Expect(time.Since(began)).To(BeNumerically("<=", longTimeout+100*time.Millisecond))
				g.Expect(passedOn.Load()).To(BeNumerically("<=", bound))
			})
		})
	}
}

// passedOnBytes makes a call and returns the number of bytes of the response's body.
func passedOnBytes(env *testEnv, v *vm) int64 {
	r := request("POST", v, "/t/s/x", strings.NewReader("b"))
	callheader.SetTimeout(r.Header, longTimeout)
	client := env.net.client()
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	n, _ := io.Copy(io.Discard, response.Body)
	return n
}

// TestResponseThatIsTooLongForItsDeadlineIsRefusedAtOnce has a response of 1 TiB to a
// booking. The response to HEAD has no body whatever it says.
func TestResponseThatIsTooLongForItsDeadlineIsRefusedAtOnce(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		const head = "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n"
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			r, err := readRequest(in)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, head)
			if r.Method != http.MethodHead {
				_, _ = io.WriteString(conn, strings.Repeat("x", pieceBytes))
			}
		})
		v := env.vm("vm1", teamSettings)
		began := time.Now()
		a := env.send(request("POST", v, "/t/s/x", strings.NewReader("b")))
		g.Expect(a.status).To(Equal(http.StatusBadGateway))
		g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(v.counters.Get("answers", "rejected_too_long")).To(BeEquivalentTo(1))
		a = env.send(request("HEAD", v, "/t/s/x", nil))
		g.Expect(a.status).To(Equal(http.StatusOK))
	})
}

// TestRefusalThatSaysThatItIsLongIsARefusal has an upstream that refuses with a length of 1 TiB.
func TestRefusalThatSaysThatItIsLongIsARefusal(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			r, err := readRequest(in)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%s: %s\r\nContent-Length: 1099511627776\r\n\r\n",
				callheader.Shed, outcome.HeaderRequestID, r.Header.Get(outcome.HeaderRequestID))
		})
		v := env.vm("vm1", teamSettings)
		a := env.send(request("POST", v, "/t/s/x", strings.NewReader("b")))
		g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(a.header.Get(outcome.HeaderReason)).To(Equal(string(outcome.UpstreamShed)))
	})
}

// TestLongResponseIsPassedOnWhole has a sound response of 20 MB.
func TestLongResponseIsPassedOnWhole(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		body := strings.Repeat("x", 20<<20)
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		v := env.vm("vm1", teamSettings)
		began := time.Now()
		a := env.send(request("GET", v, "/t/s/x", nil))
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.body).To(HaveLen(len(body)))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 200*time.Millisecond))
	})
}
