package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figfront/figfront/internal/outcome"
	"github.com/figfront/figfront/internal/upstreamstandin"
	. "github.com/onsi/gomega"
)

// TestSilentConnectionBesideAWorkingOne: a lookup on a connection that went silent
// is answered on another connection within its deadline, and the upstream stays
// in use.
func TestSilentConnectionBesideAWorkingOne(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var conns atomic.Int64
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			isFirst := conns.Add(1) == 1
			for i := 0; ; i++ {
				if _, err := readRequest(in); err != nil {
					return
				}
				if isFirst && i == 50 {
					time.Sleep(time.Hour)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			}
		})
		v := env.vm("vm1", teamSettings)
		for range 100 {
			started := time.Now()
			a := env.send(request("GET", v, "/t/s/x", nil))
			g.Expect(time.Since(started)).To(BeNumerically("<=", 900*time.Millisecond))
			g.Expect(a.status).To(Equal(http.StatusOK))
		}
		g.Expect(v.counters.Get("answers", "connection_silent")).To(BeEquivalentTo(1))
	})
}

// TestSilentConnectionOfOneUpstream: if one of several connections to an upstream
// goes silent, lookups are answered within their deadline over other connections
// or by the other upstream, and the upstream stays in use.
func TestSilentConnectionOfOneUpstream(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var conns, answered atomic.Int64
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			isFirst := conns.Add(1) == 1
			for i := 0; ; i++ {
				if _, err := readRequest(in); err != nil {
					return
				}
				if isFirst && i == 50 {
					time.Sleep(time.Hour)
				}
				time.Sleep(5 * time.Millisecond)
				answered.Add(1)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			}
		})
		env.upstream("u2", upstream2, upstreamstandin.Switches{ServiceTime: 5 * time.Millisecond})
		v := env.vm("vm1", teamSettings+secondUpstream)
		for range 400 {
			a := env.send(request("GET", v, "/t/s/x", nil))
			g.Expect(a.status).To(Equal(http.StatusOK))
		}
		g.Expect(conns.Load()).To(BeNumerically(">=", 2))
		g.Expect(answered.Load()).To(BeNumerically(">=", 100))
	})
}

// TestSilentConnectionIsNotItsUpstream: a booking on a connection that went silent
// ends at its deadline with an unknown outcome; the idle connections to the
// upstream are closed, and the upstream receives the next booking.
func TestSilentConnectionIsNotItsUpstream(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var conns atomic.Int64
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			isFirst := conns.Add(1) == 1
			for i := 0; ; i++ {
				if _, err := readRequest(in); err != nil {
					return
				}
				if isFirst && i == 1 {
					time.Sleep(time.Hour)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			}
		})
		v := env.vm("vm1", teamSettings)
		g.Expect(env.send(request("POST", v, "/t/s/x", strings.NewReader("b"))).status).To(Equal(http.StatusOK))
		a := env.send(request("POST", v, "/t/s/x", strings.NewReader("b")))
		g.Expect(a.header.Get(outcome.HeaderOutcome)).To(Equal("unknown"))
		g.Expect(v.counters.Get("answers", "connection_silent")).To(BeEquivalentTo(1))
		g.Expect(env.send(request("POST", v, "/t/s/x", strings.NewReader("b"))).status).To(Equal(http.StatusOK))
	})
}

// TestBookingAvoidsOldConnections: a booking never uses a connection that was idle
// for a while, because such a connection may have gone silent.
func TestBookingAvoidsOldConnections(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		env.net.serveRaw(upstream1, func(conn net.Conn, in *bufio.Reader) {
			last := time.Now()
			for {
				if _, err := readRequest(in); err != nil {
					return
				}
				if time.Since(last) > 3*time.Second {
					time.Sleep(time.Hour)
				}
				last = time.Now()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			}
		})
		v := env.vm("vm1", teamSettings)
		for _, idle := range []time.Duration{0, time.Second, 4 * time.Second, 10 * time.Second, 25 * time.Second} {
			time.Sleep(idle)
			a := env.send(request("POST", v, "/t/s/x", strings.NewReader("b")))
			g.Expect(a.status).To(Equal(http.StatusOK), idle.String())
		}
	})
}

// TestStalledCallerFreesItsSlot: an upload whose caller stalls in the middle of the
// body is refused, does not run and gives up its slot: the next upload is served.
func TestStalledCallerFreesItsSlot(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		u := env.upstream("u1", upstream1, upstreamstandin.Switches{})
		v := env.vm("vm1", teamSettings)
		conn, err := env.net.dial(context.Background(), "", v.address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "PUT /t/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n12345")
		g.Expect(err).NotTo(HaveOccurred())
		status := make(chan int, 1)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				status <- 0
				return
			}
			status <- response.StatusCode
		}()
		time.Sleep(35 * time.Second)
		synctest.Wait()
		g.Expect(status).To(Receive(Equal(http.StatusBadRequest)))
		g.Expect(u.Counts().Ran).To(BeZero())
		a := env.send(request("PUT", v, "/t/s/x", strings.NewReader("whole")))
		g.Expect(a.status).To(Equal(200))
	})
}

// TestResponseToStalledCallerIsAborted: a response is aborted within 40 s if its caller does
// not read it.
func TestResponseToStalledCallerIsAborted(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		var ended atomic.Bool
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer ended.Store(true)
			for range 100 {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}))
		v := env.vm("vm1", strings.Replace(teamSettings, "deadline = 900ms", "deadline = 20m", 1))
		conn, err := env.net.dial(context.Background(), "", v.address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "GET /t/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(40 * time.Second)
		synctest.Wait()
		g.Expect(ended.Load()).To(BeTrue())
	})
}

// TestSlowCallerGetsTheWholeAnswer: a caller that steadily reads 16 KiB per second
// receives all of a response of 1 MiB.
func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	withTestEnv(t, func(g *WithT, env *testEnv) {
		const size = 1<<20 - 1
		env.serve(upstream1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, size))
		}))
		v := env.vm("vm1", teamSettings)
		conn, err := env.net.dial(context.Background(), "", v.address)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "GET /t/s/x HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		received := 0
		for received < size {
			n, err := io.ReadFull(response.Body, make([]byte, min(16<<10, size-received)))
			received += n
			g.Expect(err).NotTo(HaveOccurred(), "after %d bytes", received)
			time.Sleep(time.Second)
		}
	})
}
