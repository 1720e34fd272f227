package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefusalDoesNotWaitForTheBody: a call is refused at once although its caller
// is still sending the body.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		conn, err := env.net.dial(context.Background(), "", v.address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /t/none/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n12345")
		g.Expect(err).NotTo(HaveOccurred())
		started := time.Now()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		g.Expect(time.Since(started)).To(BeZero())
	})
}

// TestRefusedCallIsNotAskedForItsBody: a caller that waits for 100 Continue does
// not send its body when the call is refused.
func TestRefusedCallIsNotAskedForItsBody(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		v := env.vm("vm1", teamSettings)
		client := &http.Client{Transport: &http.Transport{DialContext: env.net.dial, ExpectContinueTimeout: time.Minute}}
		defer client.CloseIdleConnections()
		for _, path := range []string{"/t/none/x", "/t/s/x"} {
			body := &countingReader{remaining: 300 << 20}
			r := request("PUT", v, path, body)
			r.ContentLength = 300 << 20
			r.Header.Set("Expect", "100-continue")
			a := sendWith(client, r)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Or(Equal(404), Equal(413)))
			g.Expect(body.read).To(BeZero())
		}
	})
}

// countingReader returns the remaining number of zero bytes and counts those that
// were read.
type countingReader struct {
	remaining, read int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	if c.remaining == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), c.remaining)
	c.remaining -= n
	c.read += n
	return int(n), nil
}

// TestLargeAndChunkedBodies: bodies of known and unknown length that exceed the
// buffer in memory, and a trailer, arrive complete.
func TestLargeAndChunkedBodies(t *testing.T) {
	const size = 3<<20 + 17
	content := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
	for _, length := range []string{"known", "unknown"} {
		t.Run(length, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if length == "known" {
						w.Header().Set("Content-Length", fmt.Sprint(size))
					}
					body, _ := io.ReadAll(r.Body)
					if len(body) > 0 {
						_, _ = w.Write(body)
					} else {
						_, _ = w.Write(content)
					}
					if length == "unknown" {
						w.Header().Set(http.TrailerPrefix+"X-Sum", "42")
					}
				}))
				v := env.vm("vm1", teamSettings)
				a := env.send(request("GET", v, "/t/s/x", nil))
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(bytes.Equal(a.body, content)).To(BeTrue())
				if length == "unknown" {
					g.Expect(a.trailer.Get("X-Sum")).To(Equal("42"))
				}
				r := request("PUT", v, "/t/s/x", io.MultiReader(bytes.NewReader(content)))
				if length == "known" {
					r.ContentLength = size
				}
				a = env.send(r)
				g.Expect(a.err).NotTo(HaveOccurred())
				g.Expect(a.status).To(Equal(200))
				g.Expect(bytes.Equal(a.body, content)).To(BeTrue())
			})
		})
	}
}

// TestSmallAnswerWithTrailer: the trailer of a response that is buffered in
// memory is forwarded.
func TestSmallAnswerWithTrailer(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
			_ = http.NewResponseController(w).Flush()
			w.Header().Set(http.TrailerPrefix+"X-Sum", "42")
		}))
		v := env.vm("vm1", teamSettings)
		a := env.send(request("GET", v, "/t/s/x", nil))
		g.Expect(string(a.body)).To(Equal("whole"))
		g.Expect(a.trailer.Get("X-Sum")).To(Equal("42"))
	})
}

// TestUploadWithTrailer: the trailer of an upload of unknown length reaches the
// upstream.
func TestUploadWithTrailer(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var got http.Header
		env.serve(upstream1, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			got = r.Trailer.Clone()
		}))
		v := env.vm("vm1", teamSettings)
		r := request("PUT", v, "/t/s/x", io.MultiReader(strings.NewReader("body")))
		r.Trailer = http.Header{"X-Sum": {"42"}}
		a := env.send(r)
		g.Expect(a.status).To(Equal(http.StatusOK))
		g.Expect(got.Get("X-Sum")).To(Equal("42"))
	})
}
