package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figfront/figfront/internal/outcome"
	. "github.com/onsi/gomega"
)

// readRequest reads a request and its body from a raw connection.
func readRequest(in *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// TestAnswerCutOffIsNeverWhole: if an upstream dies while it sends its header,
// body or trailer, or sends fewer bytes than it declared, the caller gets an
// error and never a response that looks complete.
func TestAnswerCutOffIsNeverWhole(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	cuts := map[string]string{
		"header":             "HTTP/1.1 200 OK\r\nContent-Le",
		"body":               "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
		"chunk":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
		"between chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"trailer":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nX-Sum: 1",
		"large body":         "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + large,
		"large chunked body": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n300000\r\n" + large + "\r\n",
	}
	for name, text := range cuts {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
					if _, err := readRequest(in); err == nil {
						_, _ = io.WriteString(conn, text)
					}
				})
				v := env.vm("vm1", teamSettings)
				a := env.send(request("GET", v, "/t/s/x", nil))
				if a.err == nil {
					g.Expect(a.status).To(BeNumerically(">=", 500))
					g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
				}
			})
		})
	}
}

// TestAnswerLongerThanDeclared: bytes beyond the declared length reach neither
// this caller nor the next one, whether they arrive at once or later.
func TestAnswerLongerThanDeclared(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers"
	delays := map[string]time.Duration{"at once": 0, "late": 20 * time.Millisecond}
	for name, delay := range delays {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
					for {
						r, err := readRequest(in)
						if err != nil {
							return
						}
						path := r.URL.Path
						answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
						if delay == 0 {
							_, _ = io.WriteString(conn, answer+surplus)
							continue
						}
						_, _ = io.WriteString(conn, answer)
						time.Sleep(delay)
						_, _ = io.WriteString(conn, surplus)
					}
				})
				v := env.vm("vm1", strings.Replace(teamSettings, "zone = a", "zone = a\nmax_connections = 1", 1))
				client := env.net.client()
				defer client.CloseIdleConnections()
				for i := range 40 {
					path := fmt.Sprintf("/%03d", i)
					a := sendWith(client, request("GET", v, "/t/s"+path, nil))
					if a.err == nil && a.status == http.StatusOK {
						g.Expect(string(a.body)).To(Equal(path))
					}
					time.Sleep(delay * 2)
				}
			})
		})
	}
}

// TestAnswerOfAnotherCall: an upstream that mixes up the responses of two calls
// on a connection is detected by the request ID that it returns.
func TestAnswerOfAnotherCall(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var last atomic.Value
		last.Store("none")
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			for {
				r, err := readRequest(in)
				if err != nil {
					return
				}
				id := r.Header.Get(outcome.HeaderRequestID)
				previousID := last.Swap(id).(string)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
					outcome.HeaderRequestID, previousID, len(previousID), previousID)
			}
		})
		v := env.vm("vm1", teamSettings)
		for i := range 5 {
			r := request("POST", v, "/t/s/x", strings.NewReader("b"))
			r.Header.Set(outcome.HeaderRequestID, fmt.Sprint("id-", i))
			a := env.send(r)
			g.Expect(a.status).To(Equal(http.StatusBadGateway))
			g.Expect(a.header.Get(outcome.HeaderOutcome)).To(Equal("unknown"))
		}
		g.Expect(v.counters.Get("answers", "foreign")).To(BeEquivalentTo(5))
		g.Expect(v.counters.Get("answers", "rejected_foreign_id")).To(BeEquivalentTo(5))
	})
}

// TestSurplusBytesAmongWaitingCalls: a call that waits for a connection never
// receives surplus bytes of the previous response.
func TestSurplusBytesAmongWaitingCalls(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			for {
				r, err := readRequest(in)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"+
					"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers", len(r.URL.Path), r.URL.Path)
			}
		})
		v := env.vm("vm1", strings.ReplaceAll(teamSettings+moreUpstreams(29), "max_connections = 200", "max_connections = 1"))
		var foreign atomic.Int64
		var callers sync.WaitGroup
		for caller := range 16 {
			callers.Go(func() {
				client := env.net.client()
				defer client.CloseIdleConnections()
				for i := range 50 {
					path := fmt.Sprintf("/%d-%d", caller, i)
					a := sendWith(client, request("GET", v, "/t/s"+path, nil))
					if a.err == nil && a.status == http.StatusOK && string(a.body) != path {
						foreign.Add(1)
					}
				}
			})
		}
		callers.Wait()
		g.Expect(foreign.Load()).To(BeZero())
	})
}

// TestHopByHopHeadersAreNotForwarded: hop-by-hop headers are forwarded in neither
// direction.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var seen http.Header
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			w.Header().Set("Keep-Alive", "timeout=5")
			w.Header().Set("X-End", "1")
			w.Header().Set("Figfront-Outcome", "not run")
		}))
		v := env.vm("vm1", teamSettings)
		r := request("GET", v, "/t/s/x", nil)
		r.Header.Set("Connection", "X-Secret")
		r.Header.Set("X-Secret", "1")
		r.Header.Set("Te", "trailers, deflate")
		r.Header.Set("Proxy-Authorization", "x")
		r.Header.Set("X-End", "1")
		a := env.send(r)
		g.Expect(a.status).To(Equal(200))
		g.Expect(a.header).NotTo(HaveKey("X-Hop"))
		g.Expect(a.header).NotTo(HaveKey("Keep-Alive"))
		g.Expect(a.header.Get("X-End")).To(Equal("1"))
		g.Expect(a.header.Get("Figfront-Outcome")).To(Equal("ran"))
		g.Expect(seen).NotTo(HaveKey("X-Secret"))
		g.Expect(seen).NotTo(HaveKey("Proxy-Authorization"))
		g.Expect(seen.Get("Te")).To(Equal("trailers"))
		g.Expect(seen.Get("X-End")).To(Equal("1"))
	})
}

// TestAnswersWithoutBody: responses to HEAD and with status 204 or 304 keep their
// header and have no body, and the connection is reused for the next call.
func TestAnswersWithoutBody(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Etag", `"1"`)
			switch r.URL.Path {
			case "/head":
				w.Header().Set("Content-Length", "1234")
			case "/none":
				w.WriteHeader(http.StatusNoContent)
			case "/same":
				w.WriteHeader(http.StatusNotModified)
			default:
				_, _ = io.WriteString(w, "whole")
			}
		}))
		v := env.vm("vm1", teamSettings)
		client := env.net.client()
		defer client.CloseIdleConnections()
		a := sendWith(client, request("HEAD", v, "/t/s/head", nil))
		g.Expect(a.err).NotTo(HaveOccurred())
		g.Expect(a.header.Get("Content-Length")).To(Equal("1234"))
		a = sendWith(client, request("GET", v, "/t/s/none", nil))
		g.Expect(a.status).To(Equal(http.StatusNoContent))
		g.Expect(a.body).To(BeEmpty())
		a = sendWith(client, request("GET", v, "/t/s/same", nil))
		g.Expect(a.status).To(Equal(http.StatusNotModified))
		g.Expect(a.header.Get("Etag")).To(Equal(`"1"`))
		a = sendWith(client, request("GET", v, "/t/s/x", nil))
		g.Expect(string(a.body)).To(Equal("whole"))
		g.Expect(env.net.dials(v.address)).To(Equal(1))
		g.Expect(env.net.dials(upstream1)).To(Equal(1))
	})
}

// TestInterimResponsesAreForwarded: a 103 reaches the caller before the final
// response, and its header does not leak into the final one.
func TestInterimResponsesAreForwarded(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Link", "</style>; rel=preload")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Link")
			_, _ = io.WriteString(w, "whole")
		}))
		v := env.vm("vm1", teamSettings)
		var hints []string
		trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			hints = append(hints, fmt.Sprint(code, h.Get("Link")))
			return nil
		}}
		r := request("GET", v, "/t/s/x", nil)
		a := env.send(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
		g.Expect(hints).To(Equal([]string{"103</style>; rel=preload"}))
		g.Expect(a.header).NotTo(HaveKey("Link"))
		g.Expect(string(a.body)).To(Equal("whole"))
	})
}

// TestInterimResponseToAnotherCallIsNotForwarded guards against a caller that gets the hints of another
// call's response.
func TestInterimResponseToAnotherCallIsNotForwarded(t *testing.T) {
	var hints []string
	withTestEnv(t, func(_ *WithT, env *testEnv) {
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(outcome.HeaderRequestID, r.URL.Query().Get("id"))
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del(outcome.HeaderRequestID)
		}))
		v := env.vm("vm1", teamSettings)
		for _, id := range []string{"own", "another"} {
			trace := &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error {
				hints = append(hints, id)
				return nil
			}}
			r := request("GET", v, "/t/s/x?id="+id, nil)
			r.Header.Set(outcome.HeaderRequestID, "own")
			env.send(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
		}
	})
	NewWithT(t).Expect(hints).To(Equal([]string{"own"}))
}

// TestUpstreamIsCancelledWhenTheCallerLeaves: the upstream's request is cancelled
// as soon as the caller disconnects.
func TestUpstreamIsCancelledWhenTheCallerLeaves(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT"} {
		t.Run(method, func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				var cancelled atomic.Int64
				env.serve(upstream1, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
					cancelled.Add(1)
				}))
				v := env.vm("vm1", teamSettings)
				ctx, leave := context.WithCancel(context.Background())
				r := request(method, v, "/t/s/x", nil)
				if method != "GET" {
					r = request(method, v, "/t/s/x", strings.NewReader("body"))
				}
				time.AfterFunc(100*time.Millisecond, leave)
				a := env.send(r.WithContext(ctx))
				g.Expect(a.err).To(HaveOccurred())
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
				g.Expect(cancelled.Load()).To(BeEquivalentTo(1))
			})
		})
	}
}

// TestNotRunIsToldOnlyWhenNothingWasSent: a refused connection proves that a
// booking did not run; after a single byte was sent the outcome is unknown.
func TestNotRunIsToldOnlyWhenNothingWasSent(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		withTestEnv(t, func(g *WithT, env *testEnv) {
			v := env.vm("vm1", teamSettings)
			a := env.send(request("POST", v, "/t/s/x", strings.NewReader("b")))
			g.Expect(a.header.Get(outcome.HeaderOutcome)).To(Equal("not run"))
		})
	})
	for _, bytesRead := range []int{1, 10, 200} {
		t.Run(fmt.Sprint("closed after ", bytesRead), func(t *testing.T) {
			withTestEnv(t, func(g *WithT, env *testEnv) {
				var written atomic.Int64
				env.net.serveRaw(upstream1, func(_ net.Conn, in *bufio.Reader) {
					if n, _ := io.ReadFull(in, make([]byte, bytesRead)); n > 0 {
						written.Add(1)
					}
				})
				v := env.vm("vm1", teamSettings)
				r := request("POST", v, "/t/s/x", strings.NewReader("b"))
				r.Header.Set("Idempotency-Key", "k")
				a := env.send(r)
				g.Expect(a.header.Get(outcome.HeaderOutcome)).To(Equal("unknown"))
				g.Expect(written.Load()).To(BeEquivalentTo(1))
			})
		})
	}
}
