package process_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/drain"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/process"
	"github.com/figfront/figfront/internal/spectest"
	"github.com/figfront/figfront/internal/telemetry"
)

const (
	address = "10.0.0.1:80"
	lag     = 3 * time.Second
	timeout = time.Minute
)

// testServer is a server with its lifecycle on an in-memory network; it runs in a
// synctest bubble.
type testServer struct {
	network   *pipenet.Network
	server    *process.Server
	lifecycle *process.Lifecycle
	served    atomic.Int64
	// handle serves calls to /own; nil means that there are none.
	handle   http.HandlerFunc
	log      spectest.Buffer
	counters *telemetry.Counters
	// stopped receives the result of Stop.
	stopped chan error
}

func newTestServer(g *WithT) *testServer {
	network := pipenet.New()
	return newTestServerAt(g, network, network.Listen(address))
}

// newTestServerAt returns a server that accepts the connections of a listener.
func newTestServerAt(g *WithT, network *pipenet.Network, listener net.Listener) *testServer {
	s := &testServer{network: network, stopped: make(chan error, 1)}
	lifecycle, err := process.NewLifecycle(hclog.New(&hclog.LoggerOptions{Output: &s.log}))
	g.Expect(err).NotTo(HaveOccurred())
	s.lifecycle = lifecycle
	s.server = process.NewServer(http.HandlerFunc(s.serve), static.Limits{
		HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10,
	})
	s.counters = telemetry.NewCounters()
	s.server.CountIn(s.counters)
	go func() { _ = process.Serve(s.server, listener) }()
	lifecycle.Configured()
	return s
}

// serve reads the body, waits for 10 ms and responds with the body's length.
func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/own" {
		s.handle(w, r)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(10 * time.Millisecond)
	s.served.Add(1)
	_, _ = fmt.Fprint(w, n)
}

func (s *testServer) stop() {
	go func() { s.stopped <- s.lifecycle.Stop(s.server, drain.Times{Lag: lag, Drain: timeout}) }()
}

// withTestServer runs a test in a synctest bubble with a server that is ready.
func withTestServer(t *testing.T, run func(g *WithT, s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newTestServer(g)
		run(g, s)
		_ = s.server.Close()
		time.Sleep(2 * time.Minute)
	})
}

// TestStopUnderLoad checks that a graceful shutdown fails no call: neither those of
// callers that stop calling once the process is not ready nor uploads that are
// half sent when the shutdown begins.
func TestStopUnderLoad(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		var calls, failures atomic.Int64
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial}}
				defer client.CloseIdleConnections()
				for s.lifecycle.IsReady() {
					calls.Add(1)
					if !isServed(client, strings.NewReader("body"), 4) {
						failures.Add(1)
					}
					time.Sleep(7 * time.Millisecond)
				}
			})
		}
		for i := range 10 {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial}}
				defer client.CloseIdleConnections()
				calls.Add(1)
				if !isServed(client, &slowBody{left: 10 + 2*i}, 10+2*i) {
					failures.Add(1)
				}
			})
		}
		time.Sleep(2 * time.Second)
		s.stop()
		g.Expect(<-s.stopped).To(Succeed())
		callers.Wait()
		g.Expect(failures.Load()).To(BeZero())
		g.Expect(s.served.Load()).To(Equal(calls.Load()))
	})
}

// slowBody is a request body that delivers one byte per second.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second)
	b.left--
	p[0] = 'x'
	return 1, nil
}

// isServed reports whether the server receives a PUT of body completely: its response
// has to be the number of bytes received, size.
func isServed(client *http.Client, body io.Reader, size int) bool {
	r, err := http.NewRequest(http.MethodPut, "http://"+address+"/x", body)
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && string(text) == fmt.Sprint(size)
}

// dial opens a connection and sends text over it.
func (s *testServer) dial(g *WithT, text string) (net.Conn, *bufio.Reader) {
	conn, err := s.network.Dial(context.Background(), "", address)
	g.Expect(err).NotTo(HaveOccurred())
	if text != "" {
		_, err = io.WriteString(conn, text)
		g.Expect(err).NotTo(HaveOccurred())
	}
	return conn, bufio.NewReader(conn)
}

const getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// TestStopWaitsForPartialHeader checks that a call is served even if only a part of
// its header has arrived when draining begins. http.Server.Shutdown would cut it off.
func TestStopWaitsForPartialHeader(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		conn, in := s.dial(g, getRequest)
		first, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, first.Body)
		s.stop()
		time.Sleep(lag - time.Second)
		_, err = io.WriteString(conn, getRequest[:10])
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		_, err = io.WriteString(conn, getRequest[10:])
		g.Expect(err).NotTo(HaveOccurred())
		second, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.StatusCode).To(Equal(http.StatusOK))
		g.Expect(second.Close).To(BeTrue())
		g.Expect(<-s.stopped).To(Succeed())
	})
}

// TestStopClosesConnectionsGracefully checks that once a stop has begun every
// response carries Connection: close, that calls on open connections are still served while the
// process drains and that new connections are refused.
func TestStopClosesConnectionsGracefully(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		idle, idleIn := s.dial(g, getRequest)
		response, err := http.ReadResponse(idleIn, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Close).To(BeFalse())
		_, _ = io.Copy(io.Discard, response.Body)
		_, upload := s.dial(g, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		_ = upload
		s.stop()
		time.Sleep(time.Second)
		g.Expect(s.lifecycle.IsReady()).To(BeFalse())
		_, in := s.dial(g, getRequest)
		response, err = http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Close).To(BeTrue())

		time.Sleep(lag - 500*time.Millisecond)
		_, err = s.network.Dial(context.Background(), "", address)
		g.Expect(err).To(HaveOccurred())
		_, err = io.WriteString(idle, getRequest)
		if err == nil {
			response, err = http.ReadResponse(idleIn, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	})
}

// TestStopReportsCutConnections checks that a call that outlasts the timeout is cut
// off and that Stop returns an error that says so.
func TestStopReportsCutConnections(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		conn, _ := s.dial(g, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		defer func() { _ = conn.Close() }()
		started := time.Now()
		s.stop()
		g.Expect(<-s.stopped).To(MatchError(ContainSubstring("1 connections were still in use")))
		g.Expect(time.Since(started)).To(BeNumerically("<", lag+timeout+time.Second))
	})
}

// TestStopTellsOfTheCallsThatItCutsOff checks that the log and the counters part connections that were
// cut off with a call on them from those that carried none.
func TestStopTellsOfTheCallsThatItCutsOff(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		for _, text := range []string{"PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", getRequest[:10]} {
			conn, _ := s.dial(g, text)
			defer func() { _ = conn.Close() }()
		}
		s.stop()
		g.Expect(<-s.stopped).To(HaveOccurred())
		g.Expect(s.log.String()).To(ContainSubstring("connections=2 unanswered_calls=1"))
		g.Expect(s.counters.Get("caller_conns", "cut")).To(Equal(int64(2)))
		g.Expect(s.counters.Get("caller_conns", "cut_unanswered")).To(Equal(int64(1)))
	})
}

const ownRequest = "GET /own HTTP/1.1\r\nHost: h\r\n\r\n"

// TestStopEndsOpenCallsBeforeItCutsThemOff guards against calls without an answer in any program: a handler
// that waits for something learns of the end of the stop while it can still answer.
func TestStopEndsOpenCallsBeforeItCutsThemOff(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			if drain.IsEnded(r.Context()) {
				w.WriteHeader(http.StatusBadGateway)
			}
		}
		_, in := s.dial(g, ownRequest)
		time.Sleep(time.Second)
		started := time.Now()
		s.stop()
		response, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		g.Expect(time.Since(started)).To(Equal(lag + timeout - 300*time.Millisecond))
		g.Expect(<-s.stopped).To(Succeed())
		g.Expect(s.counters.Get("caller_conns", "ended_calls")).To(Equal(int64(1)))
	})
}

// TestStopLetsAnAnswerThatHasBegunGoOn guards against an end of the calls that breaks off answers.
func TestStopLetsAnAnswerThatHasBegunGoOn(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		s.handle = func(w http.ResponseWriter, r *http.Request) {
			_ = drain.BeginAnswer(r.Context())
			_, _ = io.WriteString(w, "first ")
			time.Sleep(lag + timeout - 100*time.Millisecond)
			if r.Context().Err() == nil {
				_, _ = io.WriteString(w, "second")
			}
		}
		_, in := s.dial(g, ownRequest)
		s.stop()
		response, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("first second"))
		g.Expect(<-s.stopped).To(Succeed())
	})
}

// TestStopOfAnIdleProcess checks that idle connections delay a stop by no more than
// the lag and the time after which draining closes an idle connection.
func TestStopOfAnIdleProcess(t *testing.T) {
	withTestServer(t, func(g *WithT, s *testServer) {
		for range 5 {
			conn, _ := s.dial(g, "")
			defer func() { _ = conn.Close() }()
		}
		time.Sleep(time.Second)
		started := time.Now()
		s.stop()
		g.Expect(<-s.stopped).To(Succeed())
		g.Expect(time.Since(started)).To(BeNumerically("<=", lag+1100*time.Millisecond))
	})
}
