package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
)

// copyingUpstream refuses each call when it arrives for the first time. When it arrives again on the
// same connection the upstream runs it and repeats the refusal, on another one it serves the call.
type copyingUpstream struct {
	mu sync.Mutex
	// refusedOn holds the connection on which each call was refused, by its ID.
	refusedOn map[string]net.Conn
	// ran holds the bodies of the calls that ran.
	ran [][]byte
}

// serve serves the calls on a connection.
func (u *copyingUpstream) serve(conn net.Conn, in *bufio.Reader) {
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.Header.Get("Expect") != "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(outcome.HeaderRequestID)
		if u.refuses(conn, id, body) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
				outcome.HeaderRequestID, id, callheader.Shed)
			continue
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", outcome.HeaderRequestID, id)
	}
}

// refuses reports whether the response to a call is a refusal, and records the call if it runs.
func (u *copyingUpstream) refuses(conn net.Conn, id string, body []byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	refusedOn, ok := u.refusedOn[id]
	if !ok {
		u.refusedOn[id] = conn
		return true
	}
	u.ran = append(u.ran, body)
	return refusedOn == conn
}

// TestStreamedUploadDoesNotGetTheCopyOfItsRefusal guards against an upload that ran, was told as not
// run, or lost the beginning of its body because its connection could not carry its ID again.
func TestStreamedUploadDoesNotGetTheCopyOfItsRefusal(t *testing.T) {
	data := randomBytes(3<<20, 1)
	upstream := &copyingUpstream{refusedOn: make(map[string]net.Conn)}
	var results []callResult
	var dials int
	withTestEnv(t, func(_ *WithT, env *testEnv) {
		env.net.serveRaw(upstream1, upstream.serve)
		v := env.vm("vm1", strings.Replace(teamSettings, "max_body", "park = false\nmax_body", 1))
		for range 2 {
			r := request("PUT", v, "/t/s/files/1", io.MultiReader(bytes.NewReader(data)))
			r.Header.Set(outcome.HeaderRequestID, "own")
			results = append(results, env.send(r))
		}
		dials = env.net.dials(upstream1)
	})
	g := NewWithT(t)
	g.Expect(results[0].status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(results[1].status).To(Equal(http.StatusOK))
	g.Expect(upstream.ran).To(HaveLen(1))
	g.Expect(hexSHA256(upstream.ran[0])).To(Equal(hexSHA256(data)))
	g.Expect(dials).To(Equal(2))
}

// slowBody is a body whose first byte comes late.
type slowBody struct {
	io.Reader
	delay time.Duration
}

// Read waits before the first byte.
func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	return b.Reader.Read(p)
}

// TestStreamedUploadIsWholeOnItsNextConnection guards against an upload without its first byte, which
// net/http reads ahead for some methods, also when the connection can't carry the upload.
func TestStreamedUploadIsWholeOnItsNextConnection(t *testing.T) {
	settings := strings.Replace(teamSettings, "max_body", "park = false\nmethods = PUT, POST, DELETE, GET\nmax_body", 1)
	settings = strings.Replace(settings, "methods = POST\n", "methods = PATCH\n", 1)
	settings = strings.Replace(settings, "deadline = 900ms\n", "deadline = 900ms\nmethods = HEAD\n", 1)
	data := randomBytes(100_000, 1)
	for _, method := range []string{http.MethodPut, http.MethodPost, http.MethodDelete, http.MethodGet} {
		for _, delay := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
			t.Run(fmt.Sprint(method, " ", delay), func(t *testing.T) {
				upstream := &copyingUpstream{refusedOn: make(map[string]net.Conn)}
				var last callResult
				withTestEnv(t, func(_ *WithT, env *testEnv) {
					env.net.serveRaw(upstream1, upstream.serve)
					v := env.vm("vm1", settings)
					for range 2 {
						r := request(method, v, "/t/s/files/1", &slowBody{bytes.NewReader(data), delay})
						r.TransferEncoding = []string{"chunked"}
						r.Header.Set(outcome.HeaderRequestID, "own")
						last = env.send(r)
					}
				})
				g := NewWithT(t)
				g.Expect(last.status).To(Equal(http.StatusOK))
				g.Expect(upstream.ran).To(HaveLen(1))
				g.Expect(hexSHA256(upstream.ran[0])).To(Equal(hexSHA256(data)))
			})
		}
	}
}

// TestCallWithManyIDsTakesOneConnection guards against a call with more IDs than a connection may
// carry, for which connections were opened without end.
func TestCallWithManyIDsTakesOneConnection(t *testing.T) {
	var status, dials int
	withTestEnv(t, func(_ *WithT, env *testEnv) {
		env.serve(upstream1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		v := env.vm("vm1", teamSettings)
		r := request("POST", v, "/t/s/x", strings.NewReader("b"))
		for i := range 1030 {
			r.Header.Add(outcome.HeaderRequestID, fmt.Sprint(i))
		}
		status = env.send(r).status
		dials = env.net.dials(upstream1)
	})
	g := NewWithT(t)
	g.Expect(status).To(Equal(http.StatusOK))
	g.Expect(dials).To(Equal(1))
}

// TestCallsWithoutAnIDShareAConnection guards against a connection for each call whose caller names an
// empty ID, or one that the gateway replaces by its own.
func TestCallsWithoutAnIDShareAConnection(t *testing.T) {
	dials := make(map[string]int)
	for _, id := range []string{" ", strings.Repeat("x", 300)} {
		withTestEnv(t, func(_ *WithT, env *testEnv) {
			env.serve(upstream1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			v := env.vm("vm1", teamSettings)
			for range 20 {
				r := request("POST", v, "/t/s/x", strings.NewReader("b"))
				r.Header[outcome.HeaderRequestID] = []string{id}
				env.send(r)
			}
			dials[id] = env.net.dials(upstream1)
		})
	}
	NewWithT(t).Expect(dials).To(HaveEach(1))
}

// TestCallsGoOnWhenTheirConnectionHasCarriedAllItMay guards against a call that fails because its
// connection carries no further request.
func TestCallsGoOnWhenTheirConnectionHasCarriedAllItMay(t *testing.T) {
	const calls = 1100
	failed, dials := 0, 0
	withTestEnv(t, func(_ *WithT, env *testEnv) {
		env.serve(upstream1, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		v := env.vm("vm1", teamSettings)
		client := env.net.client()
		defer client.CloseIdleConnections()
		for range calls {
			if a := sendWith(client, request("POST", v, "/t/s/x", bytes.NewReader([]byte("b")))); a.status != http.StatusOK {
				failed++
			}
		}
		dials = env.net.dials(upstream1)
	})
	g := NewWithT(t)
	g.Expect(failed).To(BeZero())
	g.Expect(dials).To(Equal(2))
}
