package process_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/pipenet"
	"github.com/figfront/figfront/internal/process"
)

// crowdConns is the number of connections that the server of a crowd accepts.
const crowdConns = 8

// withCrowdServer runs a test in a synctest bubble with a server that accepts crowdConns connections.
func withCrowdServer(t *testing.T, run func(g *WithT, s *testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{network: pipenet.New()}
		s.server = process.NewServer(http.HandlerFunc(s.serve), static.Limits{
			HeaderTimeout: time.Minute, IdleTimeout: time.Hour, MaxHeaderBytes: 32 << 10, MaxConnections: crowdConns, Cores: 1,
		})
		listener := process.LimitConnections(s.network.Listen(address), crowdConns)
		go func() { _ = process.Serve(s.server, listener) }()
		run(NewWithT(t), s)
		_ = s.server.Close()
		time.Sleep(2 * time.Hour)
	})
}

// TestCrowdOfUnusedConnectionsKeepsNobodyOut guards against connections that fill the listener until a
// timeout: they send nothing, stop within a request, or stay idle after one.
func TestCrowdOfUnusedConnectionsKeepsNobodyOut(t *testing.T) {
	const patience = 4 * time.Second
	for name, sent := range map[string]string{
		"nothing":            "",
		"half a head":        "POST / HTTP/1.1\r\nHost:",
		"a body cut short":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n1234",
		"an unended chunk":   "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n1234",
		"a whole request":    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n1234",
		"a bodiless request": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withCrowdServer(t, func(g *WithT, s *testServer) {
				for range crowdConns {
					go s.keepOpen(sent)
				}
				time.Sleep(time.Second)
				client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}, Timeout: patience}
				for range 3 * crowdConns {
					g.Expect(isServed(client, strings.NewReader("body"), 4)).To(BeTrue())
				}
			})
		})
	}
}

// keepOpen sends text on a new connection and reads what comes back until it is closed.
func (s *testServer) keepOpen(text string) {
	conn, err := s.network.Dial(context.Background(), "", address)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	_, _ = io.Copy(io.Discard, conn)
}

// TestRunningCallsStayWhileACrowdComes opens connections while calls run on all others: these are answered.
func TestRunningCallsStayWhileACrowdComes(t *testing.T) {
	withCrowdServer(t, func(g *WithT, s *testServer) {
		var callers sync.WaitGroup
		for range crowdConns {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}}
				g.Expect(isServed(client, strings.NewReader("body"), 4)).To(BeTrue())
			})
		}
		for range crowdConns {
			go s.keepOpen("")
		}
		callers.Wait()
	})
}

// processorShare is the part of a core that small parts of requests may take.
const processorShare = 0.25

// TestBodyInTinyChunksLeavesTheProcessorToOthers sends a body in chunks of one byte. Its framing was read as
// fast as it came, and took the processor from all other callers.
func TestBodyInTinyChunksLeavesTheProcessorToOthers(t *testing.T) {
	const perByte = 15 * time.Nanosecond
	const length, framing = 256 << 10, 5
	withCrowdServer(t, func(g *WithT, s *testServer) {
		began := time.Now()
		s.sendAll(g, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"+
			strings.Repeat("1\r\nb\r\n", length)+"0\r\n\r\n", 16<<10)
		work := time.Duration(length*framing-64<<10) * perByte
		g.Expect(time.Since(began)).To(BeNumerically(">=", time.Duration(float64(work)/processorShare)))
	})
}

// TestRequestByteByByteLeavesTheProcessorToOthers sends a body and a head a byte at a time.
func TestRequestByteByByteLeavesTheProcessorToOthers(t *testing.T) {
	const perRead = 20 * time.Microsecond
	const length = 8 << 10
	for name, text := range map[string]string{
		"body": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("b", length)),
		"head": "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: " + strings.Repeat("b", length) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withCrowdServer(t, func(g *WithT, s *testServer) {
				began := time.Now()
				s.sendAll(g, text, 1)
				work := (length - 64) * perRead
				g.Expect(time.Since(began)).To(BeNumerically(">=", time.Duration(float64(work)/processorShare)))
			})
		})
	}
}

// TestOrdinaryBodiesDoNotWait sends bodies as clients do: at once, in pieces and in chunks.
func TestOrdinaryBodiesDoNotWait(t *testing.T) {
	const length = 1 << 20
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("b", 1<<10))
	for name, text := range map[string]string{
		"length":      fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("b", length)),
		"chunks":      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + strings.Repeat(chunk, 1<<10) + "0\r\n\r\n",
		"tiny chunks": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 3<<10) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			withCrowdServer(t, func(g *WithT, s *testServer) {
				began := time.Now()
				s.sendAll(g, text, 1400)
				g.Expect(time.Since(began)).To(Equal(10*time.Millisecond), "no more than the handler takes")
			})
		})
	}
}

// sendAll sends a request in pieces on a new connection and waits for the whole response.
func (s *testServer) sendAll(g *WithT, text string, pieceBytes int) {
	conn, err := s.network.Dial(context.Background(), "", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	answered := make(chan string, 1)
	go func() { answered <- readAnswer(conn) }()
	for len(text) > 0 {
		n := min(pieceBytes, len(text))
		_, err := io.WriteString(conn, text[:n])
		g.Expect(err).NotTo(HaveOccurred())
		text = text[n:]
	}
	g.Expect(<-answered).To(HavePrefix("HTTP/1.1 200 OK"))
}

func readAnswer(conn net.Conn) string {
	answer, _ := io.ReadAll(conn)
	return string(answer)
}
