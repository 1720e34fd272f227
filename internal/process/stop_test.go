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
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/process"
)

const (
	address = "10.0.0.1:80"
	lag     = 3 * time.Second
	timeout = time.Minute
)

// stage is a server with its life in a bubble.
type stage struct {
	network *pipenet.Network
	server  *process.Server
	life    *process.Life
	served  atomic.Int64
	stopped chan error
}

func newStage(g *WithT) *stage {
	s := &stage{network: pipenet.New(), stopped: make(chan error, 1)}
	life, err := process.NewLife(hclog.NewNullLogger())
	g.Expect(err).NotTo(HaveOccurred())
	s.life = life
	s.server = process.NewServer(http.HandlerFunc(s.serve), static.Limits{
		HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10,
	})
	listener := s.network.Listen(address)
	go func() { _ = process.Serve(s.server, listener) }()
	life.Configured()
	return s
}

// serve reads the body and answers after 10 ms.
func (s *stage) serve(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(10 * time.Millisecond)
	s.served.Add(1)
	_, _ = fmt.Fprint(w, n)
}

func (s *stage) stop() {
	go func() { s.stopped <- s.life.Stop(s.server, lag, timeout) }()
}

func inStage(t *testing.T, run func(g *WithT, s *stage)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newStage(g)
		run(g, s)
		_ = s.server.Close()
		time.Sleep(2 * time.Minute)
	})
}

// TestStopUnderLoad: callers that follow readiness see no cut call and no
// connection error through a planned stop; uploads that are half sent when it
// begins are served whole.
func TestStopUnderLoad(t *testing.T) {
	inStage(t, func(g *WithT, s *stage) {
		var calls, failures atomic.Int64
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial}}
				defer client.CloseIdleConnections()
				for s.life.IsReady() {
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
				if !isServed(client, &drip{left: 10 + 2*i}, 10+2*i) {
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

// drip gives a byte a second.
type drip struct{ left int }

func (d *drip) Read(p []byte) (int, error) {
	if d.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second)
	d.left--
	p[0] = 'x'
	return 1, nil
}

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

// open opens a connection and sends text.
func (s *stage) open(g *WithT, text string) (net.Conn, *bufio.Reader) {
	conn, err := s.network.Dial(context.Background(), "", address)
	g.Expect(err).NotTo(HaveOccurred())
	if text != "" {
		_, err = io.WriteString(conn, text)
		g.Expect(err).NotTo(HaveOccurred())
	}
	return conn, bufio.NewReader(conn)
}

const get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// TestStopWaitsForAHalfSentHeader: a call whose header has begun to arrive when
// the connections are closed is served. http.Server.Shutdown cuts it off.
func TestStopWaitsForAHalfSentHeader(t *testing.T) {
	inStage(t, func(g *WithT, s *stage) {
		conn, in := s.open(g, get)
		first, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, first.Body)
		s.stop()
		time.Sleep(lag - time.Second)
		_, err = io.WriteString(conn, get[:10])
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		_, err = io.WriteString(conn, get[10:])
		g.Expect(err).NotTo(HaveOccurred())
		second, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second.StatusCode).To(Equal(http.StatusOK))
		g.Expect(second.Close).To(BeTrue())
		g.Expect(<-s.stopped).To(Succeed())
	})
}

// TestStopClosesPolitely: from the stop on each answer says that it is the last
// of its connection; a call over an old connection is still served while the
// process drains; new connections are refused.
func TestStopClosesPolitely(t *testing.T) {
	inStage(t, func(g *WithT, s *stage) {
		late, lateIn := s.open(g, get)
		response, err := http.ReadResponse(lateIn, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Close).To(BeFalse())
		_, _ = io.Copy(io.Discard, response.Body)
		_, hold := s.open(g, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		_ = hold
		s.stop()
		time.Sleep(time.Second)
		g.Expect(s.life.IsReady()).To(BeFalse())
		_, in := s.open(g, get)
		response, err = http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Close).To(BeTrue())

		time.Sleep(lag - 500*time.Millisecond)
		_, err = s.network.Dial(context.Background(), "", address)
		g.Expect(err).To(HaveOccurred())
		_, err = io.WriteString(late, get)
		if err == nil {
			response, err = http.ReadResponse(lateIn, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	})
}

// TestStopTellsWhatItCutOff: a call that outlasts the timeout is cut off, and the
// process says so.
func TestStopTellsWhatItCutOff(t *testing.T) {
	inStage(t, func(g *WithT, s *stage) {
		conn, _ := s.open(g, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		defer func() { _ = conn.Close() }()
		started := time.Now()
		s.stop()
		g.Expect(<-s.stopped).To(MatchError(ContainSubstring("1 connections were still in use")))
		g.Expect(time.Since(started)).To(BeNumerically("<", lag+timeout+time.Second))
	})
}

// TestStopOfAnIdleProcess: connections that carry nothing hold a stop up for no
// longer than the lag and the quiet time.
func TestStopOfAnIdleProcess(t *testing.T) {
	inStage(t, func(g *WithT, s *stage) {
		for range 5 {
			conn, _ := s.open(g, "")
			defer func() { _ = conn.Close() }()
		}
		time.Sleep(time.Second)
		started := time.Now()
		s.stop()
		g.Expect(<-s.stopped).To(Succeed())
		g.Expect(time.Since(started)).To(BeNumerically("<=", lag+1100*time.Millisecond))
	})
}
